import type {Clock, Timer} from '@banyanfold/core';

/** Extra wait before the callback, as a share of the idle time. */
const RECHECK_SHARE = 0.1;

/**
 * Calls back when no activity was recorded for the idle time. It reuses a
 * single timer, because resetting a timer for each chunk would cost more than
 * handling the chunk.
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

  /** Stops counting idle time until the next `recordActivity`. */
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
   * Checks once more after a short delay. After a stall of the event loop,
   * timers run before pending input is read, so an active stream would look
   * idle.
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
