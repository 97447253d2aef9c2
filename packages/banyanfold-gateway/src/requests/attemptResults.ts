import {decideRequestRetry} from './decideRequestRetry.js';
import type {RequestAdmission} from './requestAdmission.js';
import type {RequestEnding} from './requestEnding.js';
import type {RequestState} from './requestState.js';
import type {SentResult} from './responseRelay.js';
import type {Target} from './targetChooser.js';

/** The runner doesn't hold the model or the adapter of the request. */
const MISDIRECTED_REQUEST = 421;
/** First pause before a full runner is retried. */
const REJECTION_BACKOFF_MS = 25;
/**
 * The pause doubles with each rejection up to this limit, so that a full queue
 * can make progress between attempts. All attempts of a request then span at
 * least 0.4 s; without pauses they were used up within 20 ms, and the request
 * was refused because a single runner was full for a moment.
 */
const MAX_REJECTION_BACKOFF_MS = 200;

type ResultOf<Kind extends SentResult['kind']> = Extract<
  SentResult,
  {kind: Kind}
>;

type FailedResult = Exclude<SentResult, {kind: 'delivered'}>;

const BUDGET_SPENT = {kind: 'stop', reason: 'retry-budget-spent'} as const;

/** Records the results of attempts, and decides whether another one follows. */
export class AttemptResults {
  /** Pause before the next attempt, in ms. */
  nextBackoffMs = 0;
  private lastFailure: FailedResult | undefined;

  constructor(
    private readonly state: RequestState,
    private readonly admission: RequestAdmission,
    private readonly ending: RequestEnding,
  ) {}

  /**
   * Records a result. It runs in the same step in which the result arrives,
   * because a request that may have run must not be refused after that.
   */
  record(target: Target, result: SentResult): void {
    const {state} = this;
    switch (result.kind) {
      case 'delivered':
        return this.recordDelivered(target, result);
      case 'unreached':
        state.rejections += 1;
        return this.markUnreachable(target);
      case 'rejected':
        state.rejections += 1;
        if (result.fromOtherRunner) this.markUnreachable(target);
        else this.noteRejection(target, result.status);
        return;
      case 'failed':
      case 'broken':
        return this.recordFailure(target);
      default:
        result satisfies never;
    }
  }

  private recordDelivered(
    {runner}: Target,
    {isSuccess, firstByteMs, status, isEndedByClose}: ResultOf<'delivered'>,
  ): void {
    const {runnerStates} = this.state.options.context;
    if (isSuccess) this.state.suspect.noteAnswered(runner, isEndedByClose);
    this.notePace(runner.runnerId);
    runnerStates.recordOutcome(runner.runnerId, isSuccess, firstByteMs);
    this.ending.finish('answered', status);
  }

  private recordFailure({runner}: Target): void {
    const {state} = this;
    state.attemptsMade += 1;
    state.mayHaveRun = true;
    state.options.context.runnerStates.recordOutcome(runner.runnerId, false);
  }

  private markUnreachable({runner}: Target): void {
    const {options, service} = this.state;
    options.context.runnerStates.markUnreachable(runner.runnerId, service);
  }

  private notePace(runnerId: string): void {
    const {context, route} = this.state.options;
    const {longestPauseMs} = this.state.relay;
    const {pauseTargetMs} = route;
    if (longestPauseMs === undefined || pauseTargetMs === undefined) return;
    context.promptGate.recordPace(runnerId, {longestPauseMs, pauseTargetMs});
  }

  private noteRejection({runner, needsAdapter}: Target, status: number): void {
    const {context, decoded} = this.state.options;
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

  /** Schedules another attempt if policy and budget allow it, or fails. */
  async retryOrFail({runner}: Target, result: FailedResult): Promise<void> {
    const {state} = this;
    this.lastFailure = result;
    const {context, route} = state.options;
    const wasRejected =
      result.kind === 'rejected' || result.kind === 'unreached';
    state.targets.noteRejected(runner.runnerId);
    const policy = decideRequestRetry(context, route, {
      result,
      ...state.counts,
      hasStarted: state.relay.hasStarted,
      isVersionUncertain: state.stream.isVersionUncertain,
      deadlineMs: state.deadlineMs,
    });
    const isAllowed = policy.shouldRetry && (await state.permits.obtain());
    if (state.isFinished) return;
    const decision =
      policy.shouldRetry && !isAllowed ? BUDGET_SPENT : policy.decision;
    state.log.retry(runner.runnerId, result, decision, {
      mayHaveRun: state.mayHaveRun,
      budgetLeft: state.permits.left,
    });
    if (!isAllowed) {
      this.fail(result);
      return;
    }
    if (wasRejected) this.nextBackoffMs = this.rejectionBackoffMs();
    context.metrics.count('retries_total', {after: result.kind});
  }

  /**
   * Replaces the permit of a request that has waited for longer than its permit
   * was valid; fails the request and returns false if there is none.
   */
  async renewPermit(): Promise<boolean> {
    const {state, lastFailure} = this;
    if (await state.permits.obtain()) return !state.isFinished;
    if (!state.isFinished && lastFailure) this.fail(lastFailure);
    return false;
  }

  /** Returns 0 while a runner is left that has not rejected the request. */
  private rejectionBackoffMs(): number {
    const {targets, rejections, options} = this.state;
    const target = targets.choose();
    if (!target || !targets.hasRejected(target.runner)) return 0;
    const maxMs = Math.min(
      REJECTION_BACKOFF_MS * 2 ** (rejections - 1),
      MAX_REJECTION_BACKOFF_MS,
    );
    // Equal jitter spreads the retries of requests that were rejected together.
    return (maxMs * (1 + options.context.random())) / 2;
  }

  private fail(result: FailedResult): void {
    const {state, ending, admission} = this;
    if (result.kind === 'failed' && !state.relay.hasStarted) {
      state.relay.deliverFailure(result);
      ending.finish('runner-failure', result.status);
      return;
    }
    if (state.relay.hasStarted || state.mayHaveRun) {
      ending.endWithoutAnswer();
      return;
    }
    const paused = state.targets.pausedState();
    if (!paused || !admission.endIfPaused(paused)) ending.refuse('no-place');
  }
}
