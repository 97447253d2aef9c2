import type {Clock} from '@banyanfold/core';

interface Entry<T> {
  dueMs: number;
  item: T;
}

/**
 * Calls back for each item a fixed time after it was added. One timer serves
 * all of them, so that a bench with many requests has few pending timers.
 */
export class StreamExpiry<T> {
  private readonly entries: Array<Entry<T>> = [];
  private isTimerSet = false;

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
    private readonly onExpired: (item: T) => void,
  ) {}

  add(item: T): void {
    this.entries.push({dueMs: this.clock.nowMs() + this.windowMs, item});
    this.setTimer();
  }

  private setTimer(): void {
    const first = this.entries[0];
    if (this.isTimerSet || !first) return;
    this.isTimerSet = true;
    this.clock.setTimer(first.dueMs - this.clock.nowMs(), () => {
      this.isTimerSet = false;
      this.expireDue();
      this.setTimer();
    });
  }

  private expireDue(): void {
    const nowMs = this.clock.nowMs();
    const firstKept = this.entries.findIndex(({dueMs}) => dueMs > nowMs);
    const dueCount = firstKept < 0 ? this.entries.length : firstKept;
    for (const {item} of this.entries.splice(0, dueCount)) {
      this.onExpired(item);
    }
  }
}
