import type {Clock} from '@banyanfold/core';

export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries earned by each first attempt. */
  tokensPerAttempt: number;
  /** Retries earned by time alone, so that a quiet process may retry too. */
  tokensPerSecond: number;
  capacity: number;
}

export const DEFAULT_RETRY_BUDGET = {
  tokensPerAttempt: 0.1,
  tokensPerSecond: 0.5,
  capacity: 20,
} as const;

const MS_PER_SECOND = 1000;

/**
 * A token bucket that bounds retries to a share of the attempts. Without it,
 * when everything fails, each request is tried again as often as it may be,
 * and the load multiplies just when there is no room for it.
 *
 * @example
 * const budget = new RetryBudget({clock});
 * budget.recordAttempt();
 * if (budget.tryTake()) retry();
 */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  private tokens: number;
  private filledAtMs: number;

  constructor(
    options: Partial<RetryBudgetOptions> & Pick<RetryBudgetOptions, 'clock'>,
  ) {
    this.options = {...DEFAULT_RETRY_BUDGET, ...options};
    this.tokens = this.options.capacity;
    this.filledAtMs = this.options.clock.nowMs();
  }

  /** Called for each first attempt. */
  recordAttempt(): void {
    this.refill();
    this.add(this.options.tokensPerAttempt);
  }

  /** Whole retries that are left. */
  get available(): number {
    this.refill();
    return Math.floor(this.tokens);
  }

  /** Takes a retry out of the budget, or says that there is none. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  private refill(): void {
    const {clock, tokensPerSecond} = this.options;
    const nowMs = clock.nowMs();
    const elapsedSeconds = (nowMs - this.filledAtMs) / MS_PER_SECOND;
    this.filledAtMs = nowMs;
    this.add(elapsedSeconds * tokensPerSecond);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
  }
}
