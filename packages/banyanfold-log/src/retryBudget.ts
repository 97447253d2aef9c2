import type {Clock} from '@banyanfold/core';

export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries added by each first attempt. */
  tokensPerAttempt: number;
  /**
   * Retries added over time, so that a process with little traffic can retry.
   */
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
 * A token bucket that limits retries to a share of the attempts. Without it,
 * each request is retried up to its limit when all attempts fail, which
 * multiplies the load during an overload.
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

  /** Adds tokens to the budget. To be called for each first attempt. */
  recordAttempt(): void {
    this.refill();
    this.add(this.options.tokensPerAttempt);
  }

  /** The number of whole retries left. */
  get available(): number {
    this.refill();
    return Math.floor(this.tokens);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
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
