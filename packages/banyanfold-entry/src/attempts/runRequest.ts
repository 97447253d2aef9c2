import {sleep} from '@banyanfold/core';
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

/** Tries a request at one agent after another, within its budgets. */
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
    this.context.retryBudget.noteAttempt();
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
   * A failed attempt may be running, or still on its way. The seal stops it
   * and tells which. One that may not be repeated waits for that before
   * anything else is tried; for others it is only needed for a refusal.
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

  /** A stream nobody reads any more must not hold an accelerator. */
  private stopAbandoned(target: SealTarget, result: RequestResult): void {
    if (result.kind === 'caller-gone' || result.kind === 'broken') {
      void sealAttempt(this.context, target);
    }
  }

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
    // A token is taken only for a retry that everything else allows.
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

/** The request itself is at fault; every agent would say the same. */
function isFinalRefusal(lastFailure: LastFailure | undefined): boolean {
  return (
    lastFailure?.kind === 'refused' &&
    isInvalidRequestRefusal(lastFailure.refusal)
  );
}
