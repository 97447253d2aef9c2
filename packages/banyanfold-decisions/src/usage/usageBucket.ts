const MS_PER_SECOND = 1000;

/** Rate and depth of a token bucket. */
export interface BucketLimits {
  ratePerSecond: number;
  burst: number;
}

/**
 * A token bucket whose limits may change, and that may be overdrawn: a request
 * larger than the whole burst is admitted from a full bucket, and paid off before
 * the next one.
 *
 * @example
 * const bucket = new UsageBucket(nowMs);
 * bucket.fill({ratePerSecond: 100, burst: 50}, nowMs + 1_000);
 * bucket.left // 50
 */
export class UsageBucket {
  left = 0;

  /** @param filledMs since when it fills from empty; -Infinity for a full one. */
  constructor(private filledMs: number) {}

  fill({ratePerSecond, burst}: BucketLimits, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.filledMs);
    this.filledMs = Math.max(this.filledMs, nowMs);
    const refilled = (ratePerSecond * elapsedMs) / MS_PER_SECOND;
    this.left = Math.min(burst, this.left + refilled);
  }
}
