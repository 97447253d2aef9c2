import type {IncomingMessage, ServerResponse} from 'node:http';
import {MIN_RETRY_AFTER_MS, priorityWeight} from '@banyanfold/decisions';
import type {Timer} from '@banyanfold/core';
import type {GatewayContext} from '../context.js';
import {adapterKey} from '../runners/heldCopies.js';
import type {PromptPermit} from '../runners/promptGate.js';
import type {StartedWork} from '../runners/runnerStates.js';
import type {CallerIdentity} from '../callers/callerIdentity.js';
import type {
  DecodedRequest,
  Organisation,
  ResponseInfo,
  RoutePolicy,
  RunnerRegistration,
} from '../types.js';
import {ResponseRelay, type AttemptResult} from './responseRelay.js';
import {decideRequestRetry} from './decideRequestRetry.js';
import {ERROR_STATUS, sendErrorResponse} from './errorResponse.js';
import {AdmissionChecks} from './admissionChecks.js';
import {pickService} from './pickService.js';
import {fingerprintOf} from './requestFingerprint.js';
import {SuspectStatus} from './suspectStatus.js';
import {chooseRetryAfterMs, retryAfterPauseMs} from './retryAfter.js';
import {RequestLog, type AttemptCounts} from './requestLog.js';
import {TargetChooser, type PausedState, type Target} from './targetChooser.js';
import {UsageCharge} from './usageCharge.js';
import {WakeablePause} from './wakeablePause.js';
import {workOf} from './workOf.js';

/** The runner doesn't hold the model or the adapter of the request. */
const MISDIRECTED_REQUEST = 421;
/** First pause before a full runner, or one fetching an adapter, is retried. */
const REJECTION_BACKOFF_MS = 25;
/**
 * The pause doubles with each rejection up to this limit, so that a full queue
 * can make progress between attempts. All attempts of a request then span at
 * least 0.4 s; without pauses they were used up within 20 ms, and the request
 * was refused because a single runner was full for a moment.
 */
const MAX_REJECTION_BACKOFF_MS = 200;
/** Interval at which a waiting request polls for a runner between changes. */
const RUNNER_POLL_MS = 100;
/** Interval at which a suspect requests a trial; a trial takes longer. */
const TRIAL_POLL_MS = 150;
/**
 * A prompt waits for its turn up to this share of the route's target time. Then
 * it is sent anyway, and the runner's own queue decides the order.
 */
const MAX_TURN_WAIT_SHARE = 0.25;

export interface RequestHandlerOptions {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  decoded: DecodedRequest;
  /** Carries the priority of the caller's organisation, if that defines one. */
  route: RoutePolicy;
  identity: CallerIdentity;
  /** The caller's organisation on arrival; undefined if it has none. */
  organisation: Organisation | undefined;
  body: Buffer;
  /** When the head of the request was read, in ms of the clock. */
  startedMs: number;
}

/**
 * Handles one request from admission to its final response: chooses runners,
 * sends attempts and retries them until the request succeeds, is refused or
 * reaches its deadline.
 */
export class RequestHandler {
  private readonly deadlineMs: number;
  /**
   * The caller disconnects at this time if no event has arrived. A request that
   * no runner can take is refused by then, so that the caller retries. When
   * such requests were held until their deadline instead, 1,279 of 7,995
   * requests of an overloaded day were lost.
   */
  private readonly responseStartDeadlineMs: number;
  private readonly service: string;
  private readonly requestWork: StartedWork;
  private readonly relay: ResponseRelay;
  private readonly targets: TargetChooser;
  private readonly log: RequestLog;
  private readonly fingerprint: string;
  private readonly suspect: SuspectStatus;
  private readonly admissionChecks: AdmissionChecks;
  private readonly usageCharge: UsageCharge;
  private deadlineTimer: Timer | undefined;
  private readonly pause: WakeablePause;
  private isFinished = false;
  private attemptsMade = 0;
  private sendCount = 0;
  private rejections = 0;
  private mayHaveRun = false;
  private hasLoggedWait = false;
  private stopWaiting: (() => void) | undefined;
  private nextBackoffMs = 0;
  private promptTurn: PromptPermit | undefined;

  constructor(private readonly options: RequestHandlerOptions) {
    const {context, request, route, decoded, body, startedMs, response} =
      options;
    const waitMs = Math.min(
      route.timeoutMs,
      decoded.request.deadlineMs ?? route.timeoutMs,
    );
    this.deadlineMs = startedMs + waitMs - context.options.deadlineMarginMs;
    const {callerIdleTimeoutMs = waitMs} = route;
    const startsWithinMs = Math.min(waitMs, callerIdleTimeoutMs);
    this.responseStartDeadlineMs =
      startedMs + startsWithinMs - context.options.deadlineMarginMs;
    this.pause = new WakeablePause(context.clock);
    this.service = pickService(route.services, context.random);
    const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
    this.requestWork = {
      priority: model === undefined ? undefined : route.priority,
      work: workOf({requests: 1, promptTokens, outputTokens: maxOutputTokens}),
      model,
      adapter:
        model !== undefined && adapter !== undefined
          ? adapterKey(model, adapter)
          : undefined,
    };
    this.targets = new TargetChooser({
      context,
      request: decoded.request,
      service: this.service,
    });
    this.fingerprint = fingerprintOf({
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      body,
    });
    this.suspect = new SuspectStatus(context, this.fingerprint);
    this.log = new RequestLog({
      context,
      decoded,
      fingerprint: this.fingerprint,
      route,
      startedMs,
      deadlineMs: this.deadlineMs,
    });
    this.usageCharge = new UsageCharge({
      context,
      request: decoded.request,
      organisation: options.organisation,
      log: this.log,
    });
    this.admissionChecks = new AdmissionChecks({
      context,
      request: decoded.request,
      route,
      startedMs,
      deadlineMs: this.deadlineMs,
      responseStartDeadlineMs: this.responseStartDeadlineMs,
    });
    this.relay = new ResponseRelay({
      context,
      route,
      response,
      decoded,
      startedMs,
    });
    response.once('close', () => this.onCallerClosed());
  }

  /** Whether a runner works on the request or may have worked on it. */
  private get mayHaveStarted(): boolean {
    return this.relay.isSent || this.relay.hasStarted || this.mayHaveRun;
  }

  /** The key may have moved to another organisation since the arrival. */
  private get currentOrganisation(): Organisation | undefined {
    const caller = this.options.identity.decide();
    return caller.kind === 'admitted' ? caller.organisation : undefined;
  }

  private get counts(): AttemptCounts {
    const {attemptsMade, rejections, mayHaveRun} = this;
    return {attemptsMade, rejections, mayHaveRun};
  }

  /** Handles the request; resolves once it is finished. */
  async run(): Promise<void> {
    const {context, decoded, startedMs} = this.options;
    const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
    // Before the demand is counted: it must not trigger loads of copies for
    // requests that are not run.
    if (this.suspect.verdict === 'quarantined') return this.endQuarantined();
    if (await this.refuseIfOverCap()) return;
    if (model !== undefined) {
      const {lowestPriority: leastUrgent} = context.view;
      const urgency = priorityWeight(this.options.route.priority, leastUrgent);
      const tokens = {promptTokens, maxOutputTokens};
      context.demand.recordArrival({model, adapter, urgency, ...tokens});
      context.workForecast.note(model, this.requestWork.work.prefill);
    }
    context.retryBudgetOf(this.service).recordAttempt();
    if (this.admissionChecks.outlastsDrain) return this.refuse('leaving');
    const leftMs = this.deadlineMs - context.clock.nowMs();
    this.deadlineTimer = context.clock.setTimer(leftMs, () =>
      this.onDeadline(),
    );
    const startLeftMs = this.responseStartDeadlineMs - context.clock.nowMs();
    const responseStartTimer = context.clock.setTimer(startLeftMs, () =>
      this.refuseIfNotStarted('no-place-in-time'),
    );
    while (!this.isFinished) await this.step();
    this.deadlineTimer.cancel();
    responseStartTimer.cancel();
    context.metrics.observeMs('request_ms', context.clock.nowMs() - startedMs, {
      kind: this.options.route.kind,
    });
  }

  private async step(): Promise<void> {
    if (this.nextBackoffMs > 0) await this.pause.wait(this.nextBackoffMs);
    this.nextBackoffMs = 0;
    if (this.isFinished) return;
    if (this.endIfAccessRevoked()) return;
    const {verdict} = this.suspect;
    if (verdict === 'quarantined') return this.endQuarantined();
    if (verdict === 'suspect') return this.runTrial();
    const target = this.targets.choose();
    if (target) await this.tryRunner(target);
    else await this.waitForRunner();
  }

  /** Returns undefined if the request was not sent. */
  private async tryRunner(target: Target): Promise<AttemptResult | undefined> {
    const {runnerId} = target.runner;
    const {rateLimits} = this.options.context;
    const permit = rateLimits.acquire(runnerId);
    if (permit.kind === 'refuse') {
      this.targets.noteRateLimited(runnerId, permit.retryAfterMs);
      return undefined;
    }
    const result = await this.sendTo(target);
    const isSent = result !== undefined && result.kind !== 'unreached';
    if (permit.kind === 'admit' && !isSent) rateLimits.release(runnerId);
    if (result && !this.isFinished) this.handleResult(target, result);
    return result;
  }

  private async sendTo(target: Target): Promise<AttemptResult | undefined> {
    if (target.needsAdapter && !(await this.fetchAdapter(target))) {
      return undefined;
    }
    if (this.isFinished || !this.targets.isStillUsable(target.runner)) {
      return undefined;
    }
    if (this.refuseIfQueueTooLong(target)) return undefined;
    return this.attempt(target);
  }

  private async waitForRunner(): Promise<void> {
    const paused = this.targets.pausedState();
    if (paused && this.endIfPaused(paused)) return;
    if (paused) return this.waitForChange(paused.forMs);
    if (this.refuseIfAllLeaving()) return;
    await this.waitForCopy();
  }

  /**
   * Refuses a request to a plain service whose runners are all leaving. For a
   * model, the delay of its next copy decides.
   */
  private refuseIfAllLeaving(): boolean {
    const isPlain = this.options.decoded.request.model === undefined;
    if (!isPlain || this.relay.hasStarted || this.mayHaveRun) return false;
    const counts = this.targets.candidateCounts();
    if (counts.runners === 0 || counts.staying > 0) return false;
    this.log.wait(counts);
    this.refuse('no-place');
    return true;
  }

  /**
   * Ends the request if the runners that could take it are paused for longer
   * than it can wait. A request that may have run waits up to its deadline,
   * because a 503 promises that it has not run.
   */
  private endIfPaused({reason, forMs}: PausedState): boolean {
    const {context} = this.options;
    if (this.relay.hasStarted || this.mayHaveRun) {
      const leftMs = this.deadlineMs - context.clock.nowMs();
      if (forMs < leftMs) return false;
      this.endWithoutAnswer();
      return true;
    }
    const isShort = reason === 'runner-backoff' && forMs <= RUNNER_POLL_MS;
    if (isShort) return false;
    const retryAfterMs = retryAfterPauseMs(forMs, context.random);
    this.log.refuseByPause(reason, this.service, retryAfterMs);
    this.respond(ERROR_STATUS.notRun, reason, retryAfterMs);
    return true;
  }

  /**
   * Runs a suspect on a runner that runs no other suspect, or waits for one.
   * Without trials, a request that crashes runners would crash one per entry
   * before it could be told apart from the other requests on those runners.
   */
  private async runTrial(): Promise<void> {
    const {context} = this.options;
    const runnerIds = this.targets.eligibleByOpenWork();
    if (runnerIds.length === 0) return this.waitForRunner();
    const runnerId = await context.permitTrial({
      fingerprint: this.fingerprint,
      runnerIds,
      forMs: this.deadlineMs - context.clock.nowMs(),
    });
    if (runnerId === undefined) {
      if (!this.isFinished) await this.pause.wait(TRIAL_POLL_MS);
      return;
    }
    const target = this.isFinished ? undefined : this.targets.choose(runnerId);
    const result = target && (await this.tryRunner(target));
    this.suspect.noteTrialEnd(result);
  }

  /** Refuses a request that exceeds the usage cap of its organisation. */
  private async refuseIfOverCap(): Promise<boolean> {
    const retryAfterMs = await this.usageCharge.charge();
    if (this.isFinished) {
      // The caller left while the charge waited.
      this.usageCharge.refund();
      return true;
    }
    if (retryAfterMs === undefined) return false;
    this.respond(ERROR_STATUS.overCap, 'usage-cap', retryAfterMs);
    return true;
  }

  /** Ends the request if its caller's key was revoked after it arrived. */
  private endIfAccessRevoked(): boolean {
    const caller = this.options.identity.decide();
    if (caller.kind === 'admitted') return false;
    if (this.relay.hasStarted) {
      this.options.response.destroy();
      this.finish('cut', 0);
    } else if (caller.kind === 'unauthorized') {
      this.respond(ERROR_STATUS.unauthorized, caller.reason);
    } else if (this.mayHaveRun) {
      this.respond(ERROR_STATUS.unknown, 'config-stale');
    } else {
      this.refuse('config-stale');
    }
    return true;
  }

  /** Ends a request that is in quarantine for crashing several runners. */
  private endQuarantined(): void {
    const {quarantinedForMs} = this.suspect;
    this.log.refuseQuarantined(this.fingerprint, quarantinedForMs);
    if (this.relay.hasStarted) {
      this.options.response.destroy();
      this.finish('cut', 0);
    } else if (this.mayHaveRun) {
      this.respond(ERROR_STATUS.unknown, 'quarantined');
    } else {
      this.respond(ERROR_STATUS.notRun, 'quarantined', quarantinedForMs);
    }
  }

  /** Refuses a request that would queue until its caller disconnects. */
  private refuseIfQueueTooLong({runner}: Target): boolean {
    if (this.relay.hasStarted) return false;
    const refusal = this.admissionChecks.checkQueue(runner.runnerId);
    if (!refusal) return false;
    const {decision} = refusal;
    this.log.refuseByQueue(runner.runnerId, refusal);
    if (this.mayHaveRun) this.respond(ERROR_STATUS.unknown, 'runner-failed');
    else this.respond(ERROR_STATUS.notRun, 'queue', decision.retryAfterMs);
    return true;
  }

  /** Waits for a copy of the model, or for any runner of a plain service. */
  private async waitForCopy(): Promise<void> {
    if (!this.hasLoggedWait) this.log.wait(this.targets.candidateCounts());
    this.hasLoggedWait = true;
    if (this.refuseIfCopyTooLate()) return;
    this.markWaiting();
    await this.waitForChange(RUNNER_POLL_MS);
  }

  private async waitForChange(maxMs: number): Promise<void> {
    const {view} = this.options.context;
    const unsubscribe = view.onChange(() => this.pause.wake());
    await this.pause.wait(Math.min(maxMs, RUNNER_POLL_MS));
    unsubscribe();
  }

  /** Refuses a request whose copy would be ready only after its caller left. */
  private refuseIfCopyTooLate(): boolean {
    if (this.relay.hasStarted || this.mayHaveRun) return false;
    const refusal = this.admissionChecks.checkCopyWait();
    if (!refusal) return false;
    this.log.refuseWithoutCopy(refusal);
    const {retryAfterMs} = refusal.decision;
    this.respond(ERROR_STATUS.notRun, 'no-copy-in-time', retryAfterMs);
    return true;
  }

  /** Counts the request as waiting until it is sent or finished. */
  private markWaiting(): void {
    const {context, decoded} = this.options;
    const {model} = decoded.request;
    if (model === undefined) return;
    this.stopWaiting ??= context.demand.trackWaiting(model);
  }

  private clearWaiting(): void {
    this.stopWaiting?.();
    this.stopWaiting = undefined;
  }

  private async fetchAdapter({runner}: Target): Promise<boolean> {
    const {context, decoded} = this.options;
    const {model, adapter} = decoded.request;
    const {runnerId} = runner;
    const isAvailable = await context.ensureAdapter({
      runnerId,
      model: model!,
      adapter: adapter!,
    });
    if (isAvailable || this.isFinished) return isAvailable;
    this.targets.noteRejected(runnerId);
    this.markWaiting();
    await this.pause.wait(REJECTION_BACKOFF_MS);
    return false;
  }

  /** Returns undefined if it was not sent because its turn came late. */
  private async attempt(target: Target): Promise<AttemptResult | undefined> {
    const {context, route, decoded} = this.options;
    const {runner} = target;
    this.clearWaiting();
    const aheadWork = context.runnerStates.workAhead(
      runner.runnerId,
      route.priority,
    );
    context.runnerStates.recordStart(
      runner.runnerId,
      this.service,
      this.requestWork,
    );
    const isPrompt = decoded.request.model !== undefined;
    this.promptTurn = isPrompt
      ? context.promptGate.acquire(
          runner.runnerId,
          route.priority,
          this.options.startedMs,
        )
      : undefined;
    const waitMs = route.targetMs * MAX_TURN_WAIT_SHARE;
    const turnTimer = context.clock.setTimer(waitMs, () =>
      this.promptTurn?.grantNow(),
    );
    const isTurnGranted = (await this.promptTurn?.granted) ?? true;
    turnTimer.cancel();
    const isUsable =
      isTurnGranted && !this.isFinished && !this.endIfAccessRevoked();
    if (!isUsable || !this.targets.isStillUsable(runner)) {
      this.promptTurn?.release();
      context.runnerStates.recordEnd(runner.runnerId, this.requestWork, false);
      return undefined;
    }
    return this.send(target, aheadWork);
  }

  private async send(
    target: Target,
    aheadWork: number,
  ): Promise<AttemptResult> {
    const {context, decoded, route, request, body} = this.options;
    const {runner} = target;
    const nowMs = context.clock.nowMs();
    const connection = context.connections.acquire(runner.address);
    this.log.route(target, this.counts, connection.isReused);
    const headers = context.codec.encodeAttempt(decoded, {
      runnerId: runner.runnerId,
      remainingMs: this.deadlineMs - nowMs,
      priority:
        decoded.request.model === undefined ? undefined : route.priority,
      lastEventId: this.relay.lastEventId,
      organisation: this.currentOrganisation?.name,
    });
    this.sendCount += 1;
    let isPromptRead = false;
    const result = await this.relay.relay(
      connection,
      {
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers,
        body,
      },
      {
        runnerId: runner.runnerId,
        onResponseInfo: info => this.recordResponseInfo(runner, info, nowMs),
        onFirstByte: () => {
          isPromptRead = true;
          this.promptTurn?.release();
          const tookMs = context.clock.nowMs() - nowMs;
          context.runnerStates.recordPromptRead(
            runner.runnerId,
            this.requestWork,
            {
              aheadWork,
              tookMs,
            },
          );
        },
      },
    );
    this.promptTurn?.release();
    context.runnerStates.recordEnd(
      runner.runnerId,
      this.requestWork,
      isPromptRead,
    );
    if (result.kind === 'broken' && result.isClosedByRunner) {
      context.crashWatch.noteConnectionLost(runner, this.fingerprint);
    }
    if (result.kind === 'delivered' || result.kind === 'rejected') {
      if (result.canReuse) {
        context.connections.release(runner.address, connection);
      } else {
        connection.destroy();
      }
    }
    return result;
  }

  private recordResponseInfo(
    runner: RunnerRegistration,
    info: ResponseInfo,
    sentMs: number,
  ): void {
    const {rateLimits, view, runnerBackoffs} = this.options.context;
    const {isLeaving, retryAfterMs = 0} = info;
    rateLimits.recordAnswer(runner.runnerId, info, sentMs);
    if (!isOwnResponse(info)) return;
    if (isLeaving) view.noteLeaving(runner, 'response');
    if (retryAfterMs > 0) runnerBackoffs.record(runner, retryAfterMs);
  }

  private handleResult(target: Target, result: AttemptResult): void {
    const {context} = this.options;
    const {runnerId} = target.runner;
    switch (result.kind) {
      case 'delivered':
        this.suspect.noteAnswered();
        this.notePace(runnerId);
        context.runnerStates.recordOutcome(
          runnerId,
          result.isSuccess,
          result.firstByteMs,
        );
        this.finish('answered', result.status);
        return;
      case 'unreached':
        context.runnerStates.markUnreachable(runnerId, this.service);
        this.retryOrFail(target, result);
        return;
      case 'rejected':
        if (result.fromOtherRunner) {
          context.runnerStates.markUnreachable(runnerId, this.service);
        } else {
          this.noteRejection(target, result.status);
        }
        this.retryOrFail(target, result);
        return;
      case 'failed':
      case 'broken':
        if (result.kind === 'failed') this.suspect.noteAnswered();
        this.attemptsMade += 1;
        this.mayHaveRun = true;
        context.runnerStates.recordOutcome(runnerId, false);
        this.retryOrFail(target, result);
        return;
      default:
        result satisfies never;
    }
  }

  private notePace(runnerId: string): void {
    const {context, route} = this.options;
    const {longestPauseMs} = this.relay;
    const {pauseTargetMs} = route;
    if (longestPauseMs === undefined || pauseTargetMs === undefined) return;
    context.promptGate.recordPace(runnerId, {longestPauseMs, pauseTargetMs});
  }

  private noteRejection({runner, needsAdapter}: Target, status: number): void {
    const {context, decoded} = this.options;
    const {model, adapter} = decoded.request;
    const isAbsent = status === MISDIRECTED_REQUEST;
    if (isAbsent && model !== undefined) {
      context.heldCopies.markAbsent(
        runner.runnerId,
        model,
        needsAdapter || adapter !== undefined ? adapter : undefined,
      );
    }
  }

  /** Schedules another attempt if the retry policy allows it, or fails. */
  private retryOrFail({runner}: Target, result: AttemptResult): void {
    const {context, route} = this.options;
    const wasRejected =
      result.kind === 'rejected' || result.kind === 'unreached';
    if (wasRejected) this.rejections += 1;
    this.targets.noteRejected(runner.runnerId);
    const budget = context.retryBudgetOf(this.service);
    const {shouldRetry, decision} = decideRequestRetry(context, route, {
      result,
      ...this.counts,
      hasStarted: this.relay.hasStarted,
      deadlineMs: this.deadlineMs,
      budgetTokens: budget.settle(),
    });
    this.log.retry(runner.runnerId, result, decision, this.mayHaveRun);
    if (!shouldRetry) {
      this.fail(result);
      return;
    }
    if (result.kind !== 'unreached') budget.tryTake();
    if (wasRejected) this.nextBackoffMs = this.rejectionBackoffMs();
    context.metrics.count('retries_total', {after: result.kind});
  }

  /** Returns 0 while a runner is left that has not rejected the request. */
  private rejectionBackoffMs(): number {
    const target = this.targets.choose();
    if (!target || !this.targets.hasRejected(target.runner)) return 0;
    const maxMs = Math.min(
      REJECTION_BACKOFF_MS * 2 ** (this.rejections - 1),
      MAX_REJECTION_BACKOFF_MS,
    );
    // Equal jitter spreads the retries of requests that were rejected together.
    return (maxMs * (1 + this.options.context.random())) / 2;
  }

  private fail(result: AttemptResult): void {
    if (result.kind === 'failed' && !this.relay.hasStarted) {
      this.relay.deliverFailure(result);
      this.finish('runner-failure', result.status);
      return;
    }
    if (this.relay.hasStarted || this.mayHaveRun) {
      this.endWithoutAnswer();
      return;
    }
    const paused = this.targets.pausedState();
    if (!paused || !this.endIfPaused(paused)) this.refuse('no-place');
  }

  /** Ends a request that may have run and can't be retried. */
  private endWithoutAnswer(): void {
    if (!this.relay.hasStarted) {
      this.respond(ERROR_STATUS.unknown, 'runner-failed');
      return;
    }
    this.options.response.destroy();
    this.finish('cut', 0);
  }

  private refuse(reason: string): void {
    const leftMs = this.deadlineMs - this.options.context.clock.nowMs();
    const {random} = this.options.context;
    const retryAfterMs = chooseRetryAfterMs(leftMs, random);
    this.respond(ERROR_STATUS.notRun, reason, retryAfterMs);
  }

  private respond(status: number, reason: string, retryAfterMs?: number): void {
    const {response, context} = this.options;
    this.finish(reason, status);
    sendErrorResponse(
      response,
      {status, reason, retryAfterMs},
      context.isDraining(),
    );
  }

  /** Refuses the request if unsent, so that it can go to another entry. */
  refuseUnsent(): void {
    this.refuseIfNotStarted('leaving');
  }

  private refuseIfNotStarted(reason: string): void {
    if (this.isFinished || this.mayHaveStarted) return;
    // An attempt that waits for its connection would be sent after the refusal.
    this.relay.cancel();
    this.refuse(reason);
  }

  private onDeadline(): void {
    if (this.isFinished) return;
    const wasSent = this.relay.cancel();
    if (this.relay.hasStarted) {
      this.options.response.destroy();
      this.finish('cut-at-deadline', 0);
      return;
    }
    if (wasSent || this.mayHaveRun) {
      this.respond(ERROR_STATUS.timeout, 'timeout');
    } else {
      this.respond(ERROR_STATUS.notRun, 'no-copy-in-time', MIN_RETRY_AFTER_MS);
    }
  }

  private onCallerClosed(): void {
    if (this.isFinished || this.options.response.writableFinished) return;
    this.relay.cancel();
    this.finish('caller-left', 0);
  }

  private finish(outcome: string, status: number): void {
    if (this.isFinished) return;
    this.isFinished = true;
    // Every attempt was rejected or reached no runner, so nothing has run.
    if (this.sendCount <= this.rejections) this.usageCharge.refund();
    this.clearWaiting();
    this.promptTurn?.release();
    this.pause.wake();
    const {context, route} = this.options;
    context.metrics.count('requests_total', {kind: route.kind, outcome});
    const {firstByteMs, longestPauseMs} = this.relay;
    const {kind} = route;
    if (firstByteMs !== undefined) {
      context.metrics.observeMs('first_byte_ms', firstByteMs, {kind});
    }
    if (longestPauseMs !== undefined) {
      context.metrics.observeMs('stream_pause_ms', longestPauseMs, {kind});
    }
    this.log.end(outcome, status, this.counts, {firstByteMs, longestPauseMs});
  }
}

/** Whether the runner that the request was sent to vouches for the response. */
function isOwnResponse(info: ResponseInfo): boolean {
  return !info.fromOtherRunner && (info.signed || info.notExecuted);
}
