import type {Clock} from '@banyanfold/core';

/** Smaller differences come from corrections of the time of day. */
const MIN_JUMP_MS = 300;

/**
 * Notices that the monotonic clock and the time of day have moved by different
 * amounts: the process was suspended, or the time of day was set.
 */
export class ClockJumps {
  private offsetMs: number;
  private jumpedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {
    this.offsetMs = clock.wallMs() - clock.nowMs();
  }

  /** Compares the clocks; call it at short intervals. */
  check(): void {
    const nowMs = this.clock.nowMs();
    const offsetMs = this.clock.wallMs() - nowMs;
    if (Math.abs(offsetMs - this.offsetMs) < MIN_JUMP_MS) return;
    this.offsetMs = offsetMs;
    this.jumpedAtMs = nowMs;
  }

  /** Time since the last difference was noticed, in ms of the monotonic clock. */
  sinceLastMs(): number {
    this.check();
    return this.clock.nowMs() - this.jumpedAtMs;
  }
}
