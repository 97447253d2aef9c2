import type {Clock, Metrics} from '@banyanfold/core';
import {RetryBudget} from '@banyanfold/log';

export interface RetryBudgetsOptions {
  clock: Clock;
  metrics: Metrics;
  /** Retries that the deployment allows per request. */
  retryRatio: number;
  /** Retries that it allows per window in addition, over all entries. */
  retrySlack: number;
  retryWindowMs: number;
  /** Share of the allowed retries that is used. */
  usedShare: number;
  /** Number of active entries, including this one. */
  entryCount(): number;
}

/** Share of the slack that refills over a window; the rest is the burst. */
const REFILLED_SLACK_SHARE = 0.3;
const MIN_CAPACITY = 2;
const MS_PER_SECOND = 1000;

/** This entry's share of the retry budget of each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryBudgetsOptions) {}

  /** @example budgets.of('drafting').tryTake() */
  of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = this.create();
      this.budgets.set(service, budget);
      const created = budget;
      this.options.metrics.gauge('retry_budget_left', () => created.available, {
        service,
      });
    }
    return budget;
  }

  private create(): RetryBudget {
    const {
      clock,
      retryRatio,
      retrySlack,
      retryWindowMs,
      usedShare,
      entryCount,
    } = this.options;
    const slack = (retrySlack * usedShare) / entryCount();
    const windowSeconds = retryWindowMs / MS_PER_SECOND;
    return new RetryBudget({
      clock,
      tokensPerAttempt: retryRatio * usedShare,
      tokensPerSecond: (slack * REFILLED_SLACK_SHARE) / windowSeconds,
      capacity: Math.max(MIN_CAPACITY, slack * (1 - REFILLED_SLACK_SHARE)),
    });
  }
}
