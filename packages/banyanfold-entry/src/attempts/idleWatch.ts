import type {Clock, Timer} from '@banyanfold/core';

/**
 * Calls back once nothing was noted for a while. It has one timer whatever the
 * number of events, as a timer for each chunk would cost more than the chunk.
 */
export class IdleWatch {
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

  note(): void {
    this.paused = false;
    this.lastMs = this.clock.nowMs();
  }

  stop(): void {
    this.timer?.cancel();
  }

  private arm(delayMs: number): void {
    this.timer = this.clock.setTimer(delayMs, () => {
      if (this.paused) this.lastMs = this.clock.nowMs();
      const leftMs = this.lastMs + this.idleMs - this.clock.nowMs();
      if (leftMs > 0) this.arm(leftMs);
      else this.onIdle();
    });
  }
}
