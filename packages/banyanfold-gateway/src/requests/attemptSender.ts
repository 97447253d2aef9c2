import type {RunnerConnection} from '../runners/runnerConnections.js';
import type {OpenRequest} from '../runners/runnerStates.js';
import type {ResponseInfo, RunnerRegistration} from '../types.js';
import {isRepeatable} from './decideRequestRetry.js';
import {namedRequestOf, type IncomingResponse} from './incomingResponse.js';
import type {RequestAdmission} from './requestAdmission.js';
import {AttemptTrace} from './attemptTrace.js';
import type {RequestState} from './requestState.js';
import type {SentResult} from './responseRelay.js';
import type {Target} from './targetChooser.js';

/** Pause before another runner is tried for an adapter that isn't available. */
const ADAPTER_BACKOFF_MS = 25;
/**
 * A prompt waits for its turn up to this share of the route's target time. Then
 * it is sent anyway, and the runner's own queue decides the order.
 */
const MAX_TURN_WAIT_SHARE = 0.25;

/** Sends attempts of one request to the chosen runners. */
export class AttemptSender {
  private readonly usedConnections = new Set<RunnerConnection>();

  constructor(
    private readonly state: RequestState,
    private readonly admission: RequestAdmission,
  ) {}

  /** Returns undefined if the request was not sent. */
  async trySend(target: Target): Promise<SentResult | undefined> {
    const {runnerId} = target.runner;
    const {targets, options} = this.state;
    const {rateLimits} = options.context;
    const permit = rateLimits.acquire(runnerId);
    if (permit.kind === 'refuse') {
      targets.noteRateLimited(runnerId, permit.retryAfterMs);
      return undefined;
    }
    const result = await this.sendTo(target);
    const isSent = result !== undefined && result.kind !== 'unreached';
    if (permit.kind === 'admit' && !isSent) rateLimits.release(runnerId);
    return result;
  }

  private async sendTo(target: Target): Promise<SentResult | undefined> {
    const {state, admission} = this;
    if (target.needsAdapter && !(await this.fetchAdapter(target))) {
      return undefined;
    }
    if (state.isFinished || !state.targets.isStillUsable(target.runner)) {
      return undefined;
    }
    if (admission.refuseIfQueueTooLong(target)) return undefined;
    return this.sendInTurn(target);
  }

  private async fetchAdapter({runner}: Target): Promise<boolean> {
    const {state} = this;
    const {context, decoded} = state.options;
    const {model, adapter} = decoded.request;
    const {runnerId} = runner;
    const isAvailable = await context.ensureAdapter({
      runnerId,
      model: model!,
      adapter: adapter!,
    });
    if (isAvailable || state.isFinished) return isAvailable;
    state.targets.noteRejected(runnerId);
    state.markWaiting();
    await state.pause.wait(ADAPTER_BACKOFF_MS);
    return false;
  }

  /** Returns undefined if it was not sent because its turn came late. */
  private async sendInTurn(target: Target): Promise<SentResult | undefined> {
    const {state, admission} = this;
    const {context, route} = state.options;
    const {runnerId} = target.runner;
    state.clearWaiting();
    const aheadWork = context.runnerStates.workAhead(runnerId, route.priority);
    const openRequest = context.runnerStates.recordStart(
      runnerId,
      state.service,
      state.work,
    );
    const isTurnGranted = await this.waitForTurn(runnerId);
    // A verdict may have arrived in the meantime.
    const isUsable =
      isTurnGranted &&
      !state.isFinished &&
      state.suspect.mayBeSent &&
      state.permits.maySend &&
      !admission.endIfAccessRevoked();
    if (!isUsable || !state.targets.isStillUsable(target.runner)) {
      state.promptTurn?.release();
      openRequest.end();
      return undefined;
    }
    return this.send(target, aheadWork, openRequest);
  }

  /** Returns false if the turn was given up before it was granted. */
  private async waitForTurn(runnerId: string): Promise<boolean> {
    const {state} = this;
    const {context, route, decoded, startedMs} = state.options;
    const isPrompt = decoded.request.model !== undefined;
    state.promptTurn = isPrompt
      ? context.promptGate.acquire(runnerId, {
          priority: route.priority,
          startedMs,
          isOverShare: this.isOverShare,
        })
      : undefined;
    const waitMs = route.targetMs * MAX_TURN_WAIT_SHARE;
    const turnTimer = context.clock.setTimer(waitMs, () =>
      state.promptTurn?.grantNow(),
    );
    const isGranted = (await state.promptTurn?.granted) ?? true;
    turnTimer.cancel();
    return isGranted;
  }

  private get isOverShare(): boolean {
    const {pool, options} = this.state;
    const {context, organisation} = options;
    return context.fairShares.isOverShare(pool, organisation?.name);
  }

  /** Returns undefined if the runner left before its connection was open. */
  private async send(
    target: Target,
    aheadWork: number,
    openRequest: OpenRequest,
  ): Promise<SentResult | undefined> {
    const {state} = this;
    const {context, decoded, route, request, body} = state.options;
    const {runner} = target;
    const {runnerId} = runner;
    const nowMs = context.clock.nowMs();
    state.suspect.noteSent();
    const connection = this.acquireConnection(runner.address);
    connection.isWanted = () =>
      state.targets.isStillUsable(runner) && state.permits.maySend;
    state.log.route(target, state.counts, {
      isReused: connection.isReused,
      afterEvent: state.relay.lastEventId ?? decoded.request.lastEventId,
      trialKey: state.suspect.trialKey,
    });
    const headers = context.codec.encodeAttempt(decoded, {
      runnerId,
      remainingMs: state.deadlineMs - nowMs,
      priority:
        decoded.request.model === undefined ? undefined : route.priority,
      lastEventId: state.relay.lastEventId,
      organisation: state.currentOrganisation?.name,
    });
    if (state.relay.lastEventId !== undefined) {
      context.metrics.count('streams_resumed_in_response_total');
    }
    state.permits.noteAttempt();
    state.sendCount += 1;
    state.lastRunnerId = runnerId;
    const trace = new AttemptTrace({
      context,
      connection,
      requestId: decoded.request.requestId,
      runnerId,
      attemptNumber: state.sendCount,
    });
    const result = await state.relay.relay(
      connection,
      {
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers,
        body,
      },
      {
        runnerId,
        onResponse: response => {
          trace.noteResponse(response);
          this.noteAttribution(runner, response);
        },
        beforeEvents: () => {
          state.stream.noteEvents(runner);
          state.suspect.noteEvents(runner);
        },
        onResponseInfo: info => this.recordResponseInfo(runner, info, nowMs),
        onFirstByte: () => {
          state.promptTurn?.release();
          state.admittedWork?.markStarted();
          const tookMs = context.clock.nowMs() - nowMs;
          openRequest.markRead({
            aheadWork,
            tookMs,
            speed: context.capacities.speed(runnerId),
          });
        },
      },
    );
    state.log.attempt(trace, result);
    const {kind} = result;
    state.permits.noteResult(kind !== 'unreached' && kind !== 'withdrawn');
    state.promptTurn?.release();
    openRequest.end();
    if (result.kind === 'withdrawn') {
      connection.destroy();
      state.sendCount -= 1;
      state.log.withdraw(runnerId);
      return undefined;
    }
    if (result.kind === 'broken' && result.isClosedByRunner) {
      context.crashWatch.noteConnectionLost(runner, state.fingerprints);
    }
    if (result.kind === 'broken' && result.limit) {
      const {limit} = result;
      context.metrics.count('responses_cut_off_total', {limit});
      context.runnerStates.ejectForLimit(runnerId, state.service, limit);
    }
    if (result.kind === 'unreached' && result.isRefused) {
      context.crashWatch.noteRefused(runner);
    }
    if ('canReuse' in result && result.canReuse) {
      context.connections.release(runner.address, connection);
    } else {
      connection.destroy();
    }
    return result;
  }

  /**
   * Returns a connection that has carried no attempt of this request. A late
   * second response to that attempt bears the same request id as this one's, so
   * that a rejection would be taken for the answer to an attempt that runs.
   * Responses to a request without an id can't be told from any other.
   */
  private acquireConnection(address: string): RunnerConnection {
    const {context, route, decoded} = this.state.options;
    const hasId = decoded.request.requestId !== undefined;
    const connection = context.connections.acquire(address, {
      runsOnce: !isRepeatable(route),
      isUsable: idle => hasId && !this.usedConnections.has(idle),
    });
    this.usedConnections.add(connection);
    return connection;
  }

  private noteAttribution(
    {runnerId, address}: RunnerRegistration,
    {info}: IncomingResponse,
  ): void {
    const {context, decoded} = this.state.options;
    const {requestId} = decoded.request;
    const names = namedRequestOf(info, requestId);
    if (requestId === undefined || names === 'own') return;
    if (!context.connections.noteAmbiguous(address)) return;
    context.logger.warn('runner-ambiguous', {runner: runnerId, names});
  }

  private recordResponseInfo(
    runner: RunnerRegistration,
    info: ResponseInfo,
    sentMs: number,
  ): void {
    const {rateLimits, view, runnerBackoffs, capacities, crashWatch} =
      this.state.options.context;
    crashWatch.noteSignOfLife(runner);
    const {isLeaving, retryAfterMs = 0} = info;
    rateLimits.recordAnswer(runner.runnerId, info, sentMs);
    if (!isOwnResponse(info)) return;
    if (info.isLoadInvalid) capacities.countInvalid('malformed');
    if (info.load) capacities.record(runner, info.load);
    if (isLeaving) view.noteLeaving(runner, 'response');
    if (retryAfterMs > 0) runnerBackoffs.record(runner, retryAfterMs);
  }
}

/** Whether the runner that the request was sent to vouches for the response. */
function isOwnResponse(info: ResponseInfo): boolean {
  return !info.fromOtherRunner && (info.signed || info.notExecuted);
}
