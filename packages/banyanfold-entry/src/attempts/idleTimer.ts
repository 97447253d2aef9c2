import type {Clock, Timer} from '@banyanfold/core';

/** Share of the idle time that is waited once more before it calls back. */
const RECHECK_SHARE = 0.1;

/**
 * Calls back once nothing was noted for a while. It has one timer whatever the
 * number of events, as a timer for each chunk would cost more than the chunk.
 */
export class IdleTimer {
  private lastActivityMs: number;
  private paused = false;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly idleMs: number,
    private readonly onIdle: () => void,
  ) {
    this.lastActivityMs = clock.nowMs();
    this.schedule(idleMs);
  }

  /** Nothing counts as idle until the next `note`. */
  pause(): void {
    this.paused = true;
  }

  recordActivity(): void {
    this.paused = false;
    this.lastActivityMs = this.clock.nowMs();
  }

  stop(): void {
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    this.timer = this.clock.setTimer(delayMs, () => {
      const remainingMs = this.remainingMs();
      if (remainingMs > 0) this.schedule(remainingMs);
      else this.scheduleRecheck();
    });
  }

  /**
   * After a stall of this process its timers run before it reads what has come
   * in the meantime, and a stream that goes on would count as silent.
   */
  private scheduleRecheck(): void {
    this.timer = this.clock.setTimer(this.idleMs * RECHECK_SHARE, () => {
      const remainingMs = this.remainingMs();
      if (remainingMs > 0) this.schedule(remainingMs);
      else this.onIdle();
    });
  }

  private remainingMs(): number {
    const nowMs = this.clock.nowMs();
    if (this.paused) this.lastActivityMs = nowMs;
    return this.lastActivityMs + this.idleMs - nowMs;
  }
}
