import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {RetryGrant} from '../peers/retryGrantContract.js';
import {ServiceRetryBudget} from './serviceRetryBudget.js';

export interface RetryBudgetsOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Retries that the deployment allows per request. */
  retryRatio: number;
  retryWindowMs: number;
  /** Share of the allowed retries that is used. */
  usedShare: number;
  /**
   * Requests permits from the lease holder; resolves to undefined if it doesn't
   * answer.
   */
  requestGrant(service: string, count: number): Promise<RetryGrant | undefined>;
  random(): number;
}

/** How long a permit of the lease holder is valid. */
export const GRANTED_FOR_MS = 2_000;
/**
 * Retries within a window use what was earned in it and in the one before it,
 * and only the requests of one of them allow retries.
 */
const EARNING_WINDOWS = 2;

/**
 * The retry budgets of this entry, by service. Over all entries they stay within
 * what the deployment allows, however many entries there are.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, ServiceRetryBudget>();

  constructor(private readonly options: RetryBudgetsOptions) {}

  /** @example await budgets.of('drafting').acquire() */
  of(service: string): ServiceRetryBudget {
    const existing = this.budgets.get(service);
    if (existing) return existing;
    const budget = this.create(service);
    this.budgets.set(service, budget);
    this.options.metrics.gauge('retry_budget_left', () => budget.available, {
      service,
    });
    return budget;
  }

  private create(service: string): ServiceRetryBudget {
    const {
      clock,
      logger,
      random,
      retryRatio,
      usedShare,
      retryWindowMs,
      requestGrant,
    } = this.options;
    return new ServiceRetryBudget({
      clock,
      logger,
      service,
      random,
      permitsPerRequest: (retryRatio * usedShare) / EARNING_WINDOWS,
      earnedForMs: retryWindowMs,
      grantedForMs: GRANTED_FOR_MS,
      requestGrant: count => requestGrant(service, count),
    });
  }
}
