import {MIN_RETRY_AFTER_MS, priorityWeight} from '@banyanfold/decisions';
import {AttemptResults} from './attemptResults.js';
import {AttemptSender} from './attemptSender.js';
import {ERROR_STATUS} from './errorResponse.js';
import {RequestAdmission, RUNNER_POLL_MS} from './requestAdmission.js';
import {RequestEnding} from './requestEnding.js';
import {RequestState, type RequestHandlerOptions} from './requestState.js';
import type {SentResult} from './responseRelay.js';
import type {Target} from './targetChooser.js';

export type {RequestHandlerOptions} from './requestState.js';

/** Interval at which a suspect requests a trial; a trial takes longer. */
const TRIAL_POLL_MS = 150;

/**
 * Handles one request from admission to its final response: chooses runners,
 * sends attempts and retries them until the request succeeds, is refused or
 * reaches its deadline.
 */
export class RequestHandler {
  private readonly state: RequestState;
  private readonly ending: RequestEnding;
  private readonly admission: RequestAdmission;
  private readonly sender: AttemptSender;
  private readonly results: AttemptResults;
  private hasLoggedWait = false;

  constructor(private readonly options: RequestHandlerOptions) {
    this.state = new RequestState(options);
    this.ending = new RequestEnding(this.state);
    this.admission = new RequestAdmission(this.state, this.ending);
    this.sender = new AttemptSender(this.state, this.admission);
    this.results = new AttemptResults(this.state, this.admission, this.ending);
    options.response.once('close', () => this.onCallerClosed());
    const {holding} = options;
    if (holding) holding.giveWay = () => this.ending.endToFreeMemory();
  }

  /** Handles the request; resolves once it is finished. */
  async run(): Promise<void> {
    try {
      await this.handle();
    } catch (thrown) {
      this.state.relay.cancel();
      this.ending.finish('failed-inside', ERROR_STATUS.unknown);
      throw thrown;
    }
  }

  private async handle(): Promise<void> {
    const {context, startedMs, route} = this.options;
    const {state, admission, ending} = this;
    if (admission.refuseIfDeadlineOver()) return;
    if (admission.refuseIfTooLargeForRunners()) return;
    // Before the demand is counted: it must not trigger loads of copies for
    // requests that are not run.
    if (state.suspect.verdict === 'quarantined') {
      return admission.endQuarantined();
    }
    if (await admission.refuseIfOverCap()) return;
    this.recordDemand();
    context.retryBudgetOf(state.service).recordRequest();
    if (admission.refuseIfOutlastsDrain()) return;
    // After the demand is counted: a model whose demand is refused for lack of
    // capacity needs more copies.
    if (admission.refuseIfOverShare()) return;
    const deadlineTimer = context.clock.setTimer(state.leftMs, () =>
      ending.endAtDeadline(),
    );
    const startLeftMs = state.responseStartDeadlineMs - context.clock.nowMs();
    const responseStartTimer = context.clock.setTimer(startLeftMs, () =>
      ending.refuseIfNotStarted('no-place-in-time'),
    );
    try {
      if (state.stream.isTakenUp) await this.resolveStream();
      while (!state.isFinished) await this.step();
    } finally {
      deadlineTimer.cancel();
      responseStartTimer.cancel();
    }
    context.metrics.observeMs('request_ms', context.clock.nowMs() - startedMs, {
      kind: route.kind,
    });
  }

  /** Logs the request as cut off by the exit of the process, if it is open. */
  logCutByExit(): void {
    const {state} = this;
    if (!state.isFinished) state.log.cutByExit(state.counts);
  }

  /** Refuses the request if unsent, so that it can go to another entry. */
  refuseUnsent(): void {
    this.ending.refuseIfNotStarted('leaving');
  }

  /** Binds a stream that is taken up to its version, or refuses it. */
  private async resolveStream(): Promise<void> {
    const {state, ending} = this;
    const sinceMs = this.options.context.clock.nowMs();
    const resolved = await state.stream.resolve();
    if (state.isFinished) return;
    state.log.takeUp(resolved, sinceMs);
    const {continuation} = resolved;
    if (continuation.kind !== 'refuse') return;
    ending.respond(
      ERROR_STATUS.notRun,
      continuation.reason,
      resolved.isFinal ? undefined : MIN_RETRY_AFTER_MS,
    );
  }

  private recordDemand(): void {
    const {context, decoded, route} = this.options;
    const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
    if (model === undefined) return;
    const {lowestPriority: leastUrgent, currentConfig} = context.view;
    const {engine} = currentConfig?.services.get(this.state.service) ?? {};
    // Callers can make up names, and the averages by model are kept.
    if (!engine?.models.has(model)) return;
    const urgency = priorityWeight(route.priority, leastUrgent);
    const tokens = {promptTokens, maxOutputTokens};
    context.demand.recordArrival({model, adapter, urgency, ...tokens});
    context.workForecast.note(model, this.state.work.work.prefill);
  }

  private async step(): Promise<void> {
    const {state, admission, results} = this;
    if (results.nextBackoffMs > 0) {
      await state.pause.wait(results.nextBackoffMs);
    }
    results.nextBackoffMs = 0;
    await this.options.context.viewFreshness.untilFresh();
    if (state.isFinished) return;
    if (admission.endIfAccessRevoked()) return;
    if (!(await results.renewPermit())) return;
    const {verdict} = state.suspect;
    if (verdict === 'quarantined') return admission.endQuarantined();
    if (verdict === 'suspect') return this.runTrial();
    const target = state.targets.choose();
    if (target) await this.tryRunner(target);
    else await this.waitForRunner();
  }

  /** Returns undefined if the request was not sent. */
  private async tryRunner(target: Target): Promise<SentResult | undefined> {
    const {state, results} = this;
    const result = await this.sender.trySend(target);
    if (!result || state.isFinished) return result;
    results.record(target, result);
    if (result.kind !== 'delivered') await results.retryOrFail(target, result);
    return result;
  }

  private async waitForRunner(): Promise<void> {
    const {admission} = this;
    if (admission.endIfVersionGone()) return;
    const paused = this.state.targets.pausedState();
    if (paused && admission.endIfPaused(paused)) return;
    if (paused) return this.waitForChange(paused.forMs);
    if (admission.refuseIfAllLeaving()) return;
    await this.waitForCopy();
  }

  /**
   * Runs a suspect on a runner that runs no other suspect, or waits for one.
   * Without trials, a request that crashes runners would crash one per entry
   * before it could be told apart from the other requests on those runners.
   */
  private async runTrial(): Promise<void> {
    const {state} = this;
    const runnerIds = state.targets.eligibleByOpenWork();
    if (runnerIds.length === 0) return this.waitForRunner();
    const trialKey = state.suspect.suspectKey;
    const runnerId = await this.options.context.permitTrial({
      fingerprint: trialKey,
      runnerIds,
      forMs: state.leftMs,
    });
    if (runnerId === undefined) {
      if (!state.isFinished) await state.pause.wait(TRIAL_POLL_MS);
      return;
    }
    state.suspect.beginTrial(trialKey);
    const target = state.isFinished
      ? undefined
      : state.targets.choose(runnerId);
    const result = target && (await this.tryRunner(target));
    state.suspect.noteTrialEnd(result);
  }

  /** Waits for a copy of the model, or for any runner of a plain service. */
  private async waitForCopy(): Promise<void> {
    const {state, admission} = this;
    if (!this.hasLoggedWait) state.log.wait(state.targets.candidateCounts());
    this.hasLoggedWait = true;
    if (admission.endIfNoCopyOfVersion()) return;
    if (admission.refuseIfCopyTooLate()) return;
    state.markWaiting();
    await this.waitForChange(RUNNER_POLL_MS);
  }

  private async waitForChange(maxMs: number): Promise<void> {
    const {view} = this.options.context;
    const {pause} = this.state;
    const unsubscribe = view.onChange(() => pause.wake());
    await pause.wait(Math.min(maxMs, RUNNER_POLL_MS));
    unsubscribe();
  }

  private onCallerClosed(): void {
    const {state, ending} = this;
    if (state.isFinished || this.options.response.writableFinished) return;
    state.relay.cancel();
    ending.finish('caller-left', 0);
  }
}
