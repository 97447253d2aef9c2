/** What the wait for the first byte is computed from. */
export interface WaitSample {
  /** Work that waits for its first byte. */
  backlog: number;
  completedPerSecond: number;
}

/** Outlasts the variation of some seconds, and follows a release of runners. */
const SMOOTHING_MS = 5_000;
const MS_PER_SECOND = 1000;

/**
 * The wait for a first byte while demand is not in excess: the time that runners
 * take for a request although they have room.
 *
 * Without it, a pool whose runners usually take longer than the target would be
 * reduced without effect: fewer requests are completed if fewer are admitted,
 * and the backlog stays too long for what is completed.
 */
export class UsualWait {
  private backlog = 0;
  private completedPerSecond = 0;
  private sampledMs = Number.NEGATIVE_INFINITY;

  /** In ms; 0 if it is not known. */
  get ms(): number {
    const {completedPerSecond, backlog} = this;
    if (completedPerSecond === 0) return 0;
    return (backlog * MS_PER_SECOND) / completedPerSecond;
  }

  /** Adds a sample of a time without an excess of demand. */
  add({backlog, completedPerSecond}: WaitSample, nowMs: number): void {
    const weight = 1 - Math.exp((this.sampledMs - nowMs) / SMOOTHING_MS);
    this.sampledMs = nowMs;
    this.backlog += (backlog - this.backlog) * weight;
    this.completedPerSecond +=
      (completedPerSecond - this.completedPerSecond) * weight;
  }
}
