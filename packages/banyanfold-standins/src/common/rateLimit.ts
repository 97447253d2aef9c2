import type {Clock} from '@banyanfold/core';

const MS_PER_SECOND = 1000;

/** A token bucket that holds one second's worth, at least one. */
export class RateLimit {
  private tokens: number;
  private filledAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = this.capacity();
    this.filledAtMs = clock.nowMs();
  }

  /** @returns 0 when taken, or the time in ms until one is free. */
  take(): number {
    this.refill();
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) / this.perSecond) * MS_PER_SECOND);
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const gained = ((nowMs - this.filledAtMs) / MS_PER_SECOND) * this.perSecond;
    this.tokens = Math.min(this.capacity(), this.tokens + gained);
    this.filledAtMs = nowMs;
  }

  private capacity(): number {
    return Math.max(1, this.perSecond);
  }
}
