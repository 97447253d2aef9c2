import {SlidingWindow} from './slidingWindow.js';

/**
 * Use of a cap by all entries over the last window, as an entry learns of it
 * from one snapshot after the other.
 *
 * A snapshot tells how much is used and not when it was. A holder that took the
 * use it knew to be spread over the window would free the use of the last
 * seconds too early, and the cap would be passed.
 *
 * @example
 * const history = new UseHistory(8_000);
 * history.record(9_000, nowMs);
 * history.window.sum(nowMs + 7_000) // 9000
 */
export class UseHistory {
  readonly window: SlidingWindow;
  private isEmpty = true;

  /**
   * @param isUnused whether nothing was used before the first record;
   *   otherwise that use counts as spread over the window before it.
   */
  constructor(
    windowMs: number,
    private readonly isUnused = true,
  ) {
    this.window = new SlidingWindow(windowMs);
  }

  /**
   * @param used amount used within the window that ends at `atMs`.
   * @param usedByAge its distribution over that window, as far as it is known;
   *   see {@link SlidingWindow.amountsByAge}. Counts for the first record only.
   */
  record(used: number, atMs: number, usedByAge?: readonly number[]): void {
    const known = this.window.sum(atMs);
    const total = Math.max(0, used);
    if (this.isEmpty && !this.isUnused) this.addFirst(total, atMs, usedByAge);
    else if (total >= known) this.window.add(total - known, atMs);
    else this.window.scale(total / known);
    this.isEmpty = false;
  }

  private addFirst(
    total: number,
    atMs: number,
    usedByAge: readonly number[] = [],
  ): void {
    const sum = usedByAge.reduce((part, amount) => part + amount, 0);
    if (sum <= 0) return this.window.addEvenly(total, atMs);
    const amounts = usedByAge.map(amount => (amount * total) / sum);
    this.window.addByAge(amounts, atMs);
  }
}
