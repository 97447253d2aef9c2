import type {Clock, Timer} from '@banyanfold/core';

/** Share of the idle time that is waited once more before it calls back. */
const CONFIRM_SHARE = 0.1;

/**
 * Calls back once nothing was noted for a while. It has one timer whatever the
 * number of events, as a timer for each chunk would cost more than the chunk.
 */
export class IdleTimer {
  private lastMs: number;
  private paused = false;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly idleMs: number,
    private readonly onIdle: () => void,
  ) {
    this.lastMs = clock.nowMs();
    this.arm(idleMs);
  }

  /** Nothing counts as idle until the next `note`. */
  pause(): void {
    this.paused = true;
  }

  recordActivity(): void {
    this.paused = false;
    this.lastMs = this.clock.nowMs();
  }

  stop(): void {
    this.timer?.cancel();
  }

  private arm(delayMs: number): void {
    this.timer = this.clock.setTimer(delayMs, () => {
      const leftMs = this.leftMs();
      if (leftMs > 0) this.arm(leftMs);
      else this.confirm();
    });
  }

  /**
   * After a stall of this process its timers run before it reads what has come
   * in the meantime, and a stream that goes on would count as silent.
   */
  private confirm(): void {
    this.timer = this.clock.setTimer(this.idleMs * CONFIRM_SHARE, () => {
      const leftMs = this.leftMs();
      if (leftMs > 0) this.arm(leftMs);
      else this.onIdle();
    });
  }

  private leftMs(): number {
    const nowMs = this.clock.nowMs();
    if (this.paused) this.lastMs = nowMs;
    return this.lastMs + this.idleMs - nowMs;
  }
}
