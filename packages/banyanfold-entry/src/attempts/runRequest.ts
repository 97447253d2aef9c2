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
  isRequestFault,
  routeRefusal,
  type LastFailure,
} from './finalError.js';
import {OutcomeProof} from './outcomeProof.js';
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
  private readonly proof = new OutcomeProof();
  private readonly triedVmIds: string[] = [];
  private last: LastFailure | undefined;

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
        this.noteMiss(decision.code);
        return this.fail(routeRefusal(decision));
      }
      const agent = this.context.view.agent(decision.vmId)!;
      this.triedVmIds.push(agent.vmId);
      const result = await this.attemptAt(agent);
      if (result.kind === 'done') return result.result;
      if (!(await this.mayRetry())) return this.fail(undefined);
    }
  }

  private async attemptAt(agent: AgentState): Promise<AttemptResult> {
    const {context, job} = this;
    const seal = {agent, attemptId: uuidV4(), incarnation: agent.incarnation};
    const result = await runAttempt({context, job, ...seal});
    this.logEnd(seal, result);
    if (result.kind === 'refused') {
      this.proof.note(result.refusal.outcome === 'not-run');
      this.last = result;
    } else if (result.kind === 'failed') {
      this.last = result;
      await this.proveFailed(seal, result.neverSent);
    } else {
      this.stopAbandoned(seal, result.result);
    }
    return result;
  }

  /**
   * A failed attempt may be running, or still on its way. The seal stops it
   * and tells which. One that may not be repeated waits for that before
   * anything else is tried; for others it is only needed for a refusal.
   */
  private async proveFailed(
    seal: SealTarget,
    neverSent: boolean,
  ): Promise<void> {
    if (neverSent) {
      this.proof.note(true);
      return;
    }
    this.proof.noteLater(sealAttempt(this.context, seal));
    if (!this.job.target.selector.repeatable) await this.proof.settle();
  }

  /** A stream nobody reads any more must not hold an accelerator. */
  private stopAbandoned(seal: SealTarget, result: RequestResult): void {
    if (result.kind === 'caller-gone' || result.kind === 'broken') {
      void sealAttempt(this.context, seal);
    }
  }

  private async mayRetry(): Promise<boolean> {
    if (isFinalRefusal(this.last)) return false;
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
          firstByteSent: job.out.started,
          allNeverStarted: this.proof.allNeverStarted,
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
    const outcome = await this.proof.settle();
    return {kind: 'failed', error: finalError(this.last, refusal, outcome)};
  }

  private noteMiss(code: string): void {
    if (code === 'no-copy') this.context.misses.add(this.job.target.artifact);
  }

  private logEnd(seal: SealTarget, result: AttemptResult): void {
    const {context, job} = this;
    const ended = result.kind === 'done' ? result.result.kind : result.kind;
    context.metrics.count('attempts_total', {result: ended});
    context.logger.info('attempt', {
      request: job.requestId,
      attempt: seal.attemptId,
      agent: seal.agent.vmId,
      result: ended,
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
function isFinalRefusal(last: LastFailure | undefined): boolean {
  return last?.kind === 'refused' && isRequestFault(last.refusal);
}
