const MS_PER_SECOND = 1000;
/**
 * Number of loads that a process may start before it has received the loads of
 * other processes. The bound of the store is 1.1 times its rate plus three
 * loads. Two processes that start within one window stay below it: for 1.1
 * loads per second and 5 s, 5 known loads and 4 of these, against a bound of 9.
 * With 0 here, requests for a model that no runner held waited for the whole
 * window after all processes had been killed.
 */
const LOADS_BEFORE_SYNC = 2;

/**
 * Limits loads from the weight store within a sliding window. The store refuses
 * none but slows all of them down when more are started than it allows.
 */
export class LoadRate {
  private startedMs: number[] = [];

  /**
   * @param unsyncedUntilMs until this time other processes may have started as
   *   many loads as are allowed. A process that has just started doesn't know
   *   of them yet, and a full window of its own would double the load of the
   *   store. It starts only as many loads as the store tolerates beyond its
   *   rate.
   */
  constructor(
    private readonly windowMs: number,
    private unsyncedUntilMs: number,
  ) {}

  record(nowMs: number): void {
    this.startedMs.push(nowMs);
  }

  /** Age of each load within the window, for the next holder. */
  loadAgesMs(nowMs: number): number[] {
    return this.startedMs
      .map(atMs => nowMs - atMs)
      .filter(ageMs => ageMs < this.windowMs);
  }

  /**
   * Takes over the loads that the holder has started. A new holder that counted
   * only its own would start as many again within the same window.
   */
  restore(agesMs: readonly number[], nowMs: number): void {
    this.unsyncedUntilMs = Number.NEGATIVE_INFINITY;
    this.startedMs = agesMs.map(ageMs => nowMs - ageMs);
  }

  /** No other process has started loads. */
  markSynced(): void {
    this.unsyncedUntilMs = Number.NEGATIVE_INFINITY;
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
