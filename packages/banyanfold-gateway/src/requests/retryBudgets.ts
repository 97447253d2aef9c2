import type {Clock, Metrics} from '@banyanfold/core';
import {RetryBudget} from '@banyanfold/log';

export interface RetryBudgetsOptions {
  clock: Clock;
  metrics: Metrics;
  /** Repeats that the deployment allows for each request, and besides. */
  retryRatio: number;
  retrySlack: number;
  retryWindowMs: number;
  /** Of what is allowed, the share that is used. */
  usedShare: number;
  /** Entries at work, this one included. */
  entryCount(): number;
}

/** Of the slack, what comes back over a window; the rest is there at once. */
const REFILLED_SLACK = 0.3;
const LEAST_CAPACITY = 2;
const MS_PER_SECOND = 1000;

/** This entry's part of the retry budget of each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryBudgetsOptions) {}

  /** @example budgets.of('drafting').tryTake() */
  of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = this.create();
      this.budgets.set(service, budget);
      const made = budget;
      this.options.metrics.gauge('retry_budget_left', () => made.available, {
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
      entryCount: entries,
    } = this.options;
    const slack = (retrySlack * usedShare) / entries();
    const windowSeconds = retryWindowMs / MS_PER_SECOND;
    return new RetryBudget({
      clock,
      tokensPerAttempt: retryRatio * usedShare,
      tokensPerSecond: (slack * REFILLED_SLACK) / windowSeconds,
      capacity: Math.max(LEAST_CAPACITY, slack * (1 - REFILLED_SLACK)),
    });
  }
}
