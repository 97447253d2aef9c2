const MS_PER_SECOND = 1000;
/**
 * Loads that a process may begin before it has heard of those of others. The
 * store's bound lies a tenth and three loads over its rate; two processes that
 * start within one window stay under it: for 1.1 loads a second and 5 s, 5 known
 * and 4 of these against 9. With none, callers of a model that nobody held waited
 * out the whole window after all processes were killed.
 */
const LOADS_BEFORE_SYNC = 2;

/**
 * Loads from the weight store within a sliding window. The store refuses none
 * but slows all of them down when more begin than it allows.
 */
export class LoadRate {
  private startedMs: number[] = [];

  /**
   * @param unsyncedUntilMs until then others may have begun as many loads as are
   *   allowed; a process that has just started has not heard of them yet, and
   *   with a window of its own the store would get twice as many. It begins only
   *   as many as the store bears over its rate.
   */
  constructor(
    private readonly windowMs: number,
    private unsyncedUntilMs: number,
  ) {}

  record(nowMs: number): void {
    this.startedMs.push(nowMs);
  }

  /** Since each load that still counts, for the next holder. */
  loadAgesMs(nowMs: number): number[] {
    return this.startedMs
      .map(atMs => nowMs - atMs)
      .filter(ageMs => ageMs < this.windowMs);
  }

  /**
   * What the holder has begun. A new holder that counted only its own would
   * begin as many again within the same window.
   */
  restore(agesMs: readonly number[], nowMs: number): void {
    this.unsyncedUntilMs = Number.NEGATIVE_INFINITY;
    this.startedMs = agesMs.map(ageMs => nowMs - ageMs);
  }

  remaining(loadsPerSecond: number, nowMs: number): number {
    this.startedMs = this.startedMs.filter(
      atMs => nowMs - atMs < this.windowMs,
    );
    if (nowMs < this.unsyncedUntilMs) {
      return Math.max(0, LOADS_BEFORE_SYNC - this.startedMs.length);
    }
    const allowed = Math.floor(
      (loadsPerSecond * this.windowMs) / MS_PER_SECOND,
    );
    return Math.max(0, Math.max(1, allowed) - this.startedMs.length);
  }
}
