import {runInBackground, sleep} from '@banyanfold/core';
import {
  DEFAULT_RETRY_OPTIONS,
  decideRetry,
  type RetryDecision,
} from '@banyanfold/decisions';
import {v4 as uuidV4} from 'uuid';
import type {EntryContext} from '../context.js';
import {ApiError} from '../http/apiErrors.js';
import type {RequestJob, RequestResult} from '../requests/types.js';
import {routeAttempt} from '../routing/routeAttempt.js';
import type {AgentState} from '../view/agentState.js';
import {
  finalError,
  isInvalidRequestRefusal,
  routeRefusalError,
  type LastFailure,
} from './finalError.js';
import {OutcomeTracker} from './outcomeTracker.js';
import {runAttempt, type AttemptResult} from './runAttempt.js';
import {sealAttempt, type SealTarget} from './sealAttempt.js';

/**
 * Runs a request: routes it to an agent and retries on other agents until it is
 * answered, a retry is not allowed, or its time or retry budget is spent.
 */
export async function runRequest(
  context: EntryContext,
  job: RequestJob,
): Promise<RequestResult> {
  return new RequestRun(context, job).run();
}

class RequestRun {
  private readonly outcomes = new OutcomeTracker();
  private readonly triedVmIds: string[] = [];
  private lastFailure: LastFailure | undefined;

  constructor(
    private readonly context: EntryContext,
    private readonly job: RequestJob,
  ) {}

  async run(): Promise<RequestResult> {
    this.context.retryBudget.recordAttempt();
    for (;;) {
      if (this.job.signal.aborted) return {kind: 'caller-gone'};
      const decision = routeAttempt(this.context, this.job, this.triedVmIds);
      if (decision.kind === 'refuse') {
        this.countMiss(decision.code);
        return this.fail(routeRefusalError(decision));
      }
      const agent = this.context.view.agent(decision.vmId)!;
      this.triedVmIds.push(agent.vmId);
      const result = await this.attemptOn(agent);
      if (result.kind === 'done') return result.result;
      if (!(await this.prepareRetry())) return this.fail(undefined);
    }
  }

  private async attemptOn(agent: AgentState): Promise<AttemptResult> {
    const {context, job} = this;
    const target = {agent, attemptId: uuidV4(), incarnation: agent.incarnation};
    const result = await runAttempt({context, job, ...target});
    this.logAttempt(target, result);
    if (result.kind === 'refused') {
      this.outcomes.record(result.refusal.outcome === 'not-run');
      this.lastFailure = result;
    } else if (result.kind === 'failed') {
      this.lastFailure = result;
      await this.resolveFailedAttempt(target, result.neverSent);
    } else {
      this.stopAbandoned(target, result.result);
    }
    return result;
  }

  /**
   * Determines whether a failed attempt may have started. The attempt may still
   * be running or on its way to the agent; sealing it stops it and returns its
   * state. A request that may not be repeated waits for that state before any
   * retry. Other requests need it only if they fail for good.
   */
  private async resolveFailedAttempt(
    target: SealTarget,
    neverSent: boolean,
  ): Promise<void> {
    if (neverSent) {
      this.outcomes.record(true);
      return;
    }
    this.outcomes.recordPending(sealAttempt(this.context, target));
    if (!this.job.target.selector.repeatable) await this.outcomes.settle();
  }

  /** Stops an attempt whose answer nobody reads, to free its accelerator. */
  private stopAbandoned(target: SealTarget, result: RequestResult): void {
    if (result.kind === 'caller-gone' || result.kind === 'broken') {
      const {context} = this;
      runInBackground({logger: context.logger, step: 'seal'}, async () => {
        await sealAttempt(context, target);
      });
    }
  }

  /** Decides on a retry and waits for its delay; false if there is none. */
  private async prepareRetry(): Promise<boolean> {
    if (isFinalRefusal(this.lastFailure)) return false;
    const {context, job} = this;
    const decision = this.decideRetry();
    context.logger.info('retry', {
      request: job.requestId,
      attempts: job.attempts,
      decision: decision.kind,
      reason: decision.reason,
    });
    if (decision.kind === 'stop') return false;
    await sleep(context.clock, decision.delayMs);
    return true;
  }

  private decideRetry(): RetryDecision {
    const {context, job} = this;
    const {clock, retryBudget, random} = context;
    const nowMs = clock.nowMs();
    const decide = (budgetTokens: number) =>
      decideRetry(
        {
          attemptsMade: this.triedVmIds.length,
          budgetTokens,
          firstByteSent: job.callerStream.started,
          allNeverStarted: this.outcomes.allNeverStarted,
          repeatable: job.target.selector.repeatable,
          remainingBudgetMs: job.wholeDeadlineMs - nowMs,
        },
        nowMs,
        DEFAULT_RETRY_OPTIONS,
        random,
      );
    // Takes a token from the retry budget only if all other checks pass.
    const decision = decide(1);
    if (decision.kind === 'stop') return decision;
    return retryBudget.tryTake() ? decision : decide(0);
  }

  private async fail(refusal: ApiError | undefined): Promise<RequestResult> {
    const outcome = await this.outcomes.settle();
    return {
      kind: 'failed',
      error: finalError(this.lastFailure, refusal, outcome),
    };
  }

  private countMiss(code: string): void {
    if (code === 'no-copy') this.context.misses.add(this.job.target.artifact);
  }

  private logAttempt(target: SealTarget, result: AttemptResult): void {
    const {context, job} = this;
    const resultKind =
      result.kind === 'done' ? result.result.kind : result.kind;
    context.metrics.count('attempts_total', {result: resultKind});
    context.logger.info('attempt', {
      request: job.requestId,
      attempt: target.attemptId,
      agent: target.agent.vmId,
      result: resultKind,
      reason: reasonOf(result),
    });
  }
}

function reasonOf(result: AttemptResult): string | undefined {
  if (result.kind === 'failed') return result.reason;
  if (result.kind === 'refused') return result.refusal.code;
  return result.result.kind === 'broken' ? result.result.reason : undefined;
}

/** Whether the request is invalid, so that every agent would refuse it. */
function isFinalRefusal(lastFailure: LastFailure | undefined): boolean {
  return (
    lastFailure?.kind === 'refused' &&
    isInvalidRequestRefusal(lastFailure.refusal)
  );
}
