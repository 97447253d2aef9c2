import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {RetryBudget, type RetryBudgetLimits} from '@banyanfold/log';

export interface RetryBudgetsOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Retries that the deployment allows per request. */
  retryRatio: number;
  /** Retries that it allows per window in addition, over all entries. */
  retrySlack: number;
  retryWindowMs: number;
  /** Share of the allowed retries that is used. */
  usedShare: number;
  /**
   * Number of active entries, including this one; undefined until it is known.
   */
  entryCount(): number | undefined;
  random(): number;
}

/** Share of the slack that refills over a window; the rest is the burst. */
const REFILLED_SLACK_SHARE = 0.3;
/**
 * Longest wait of a retry for the number of entries: a process that has just
 * started is told within two exchanges. If it isn't, only the first retries
 * wait.
 */
const MAX_KNOWN_WAIT_MS = 500;
const MS_PER_SECOND = 1000;

/**
 * This entry's share of the retry budget of each service. Retries per request
 * are earned here; the slack is divided by the number of entries, so that no
 * entry needs to know the retries of the others. Until the number is known, an
 * entry uses no slack: any assumed number is too low for a larger fleet whose
 * processes all start at once.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private entries: number | undefined;
  private readonly waiting = new Set<() => void>();
  private isWaitOver = false;

  constructor(private readonly options: RetryBudgetsOptions) {}

  /** @example budgets.of('drafting').tryTake() */
  of(service: string): RetryBudget {
    this.followEntryCount();
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

  /** Ends all waits of `untilKnown` once the number of entries is known. */
  noteEntryCount(): void {
    for (const finish of [...this.waiting]) finish();
  }

  /**
   * Waits for the number of entries. Without this, callers of a process that
   * has just started would be refused after the first failure of a runner.
   */
  async untilKnown(): Promise<void> {
    const {clock, entryCount} = this.options;
    if (entryCount() !== undefined || this.isWaitOver) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        timer.cancel();
        this.waiting.delete(finish);
        resolve();
      };
      const timer = clock.setTimer(MAX_KNOWN_WAIT_MS, () => {
        this.isWaitOver = true;
        finish();
      });
      this.waiting.add(finish);
    });
  }

  private create(): RetryBudget {
    const {clock, random} = this.options;
    return new RetryBudget({
      clock,
      random,
      tokensPerAttempt: this.tokensPerAttempt,
      ...this.limits(),
    });
  }

  private followEntryCount(): void {
    const entries = this.options.entryCount();
    if (entries === this.entries) return;
    const wasUnknown = this.entries === undefined;
    const before = this.limits();
    this.entries = entries;
    const limits = this.limits();
    this.options.logger.info('retry-budget-sized', {
      entries,
      burst: limits.capacity,
      perSecond: limits.tokensPerSecond,
    });
    const addedRetries = wasUnknown ? limits.capacity - before.capacity : 0;
    for (const budget of this.budgets.values()) {
      budget.resize(limits, Math.max(0, addedRetries));
    }
  }

  private get tokensPerAttempt(): number {
    return this.options.retryRatio * this.options.usedShare;
  }

  private limits(): RetryBudgetLimits {
    const {retrySlack, retryWindowMs, usedShare} = this.options;
    const allowedSlack = retrySlack * usedShare;
    const slack = this.entries === undefined ? 0 : allowedSlack / this.entries;
    const windowSeconds = retryWindowMs / MS_PER_SECOND;
    return {
      tokensPerSecond: (slack * REFILLED_SLACK_SHARE) / windowSeconds,
      // What one attempt earns must fit beside the burst.
      capacity: slack * (1 - REFILLED_SLACK_SHARE) + this.tokensPerAttempt,
    };
  }
}
