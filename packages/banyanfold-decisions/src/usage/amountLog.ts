/** Interval within which amounts are merged. */
const STEP_MS = 50;

/**
 * Amounts by time, for sums over a span that varies.
 *
 * @example
 * const log = new AmountLog(2_000);
 * log.add(500, 1_000);
 * log.sumSince(900) // 500
 */
export class AmountLog {
  private entries: Array<{atMs: number; amount: number}> = [];

  /** @param keptMs age up to which amounts are kept. */
  constructor(private readonly keptMs: number) {}

  add(amount: number, nowMs: number): void {
    const {entries, keptMs} = this;
    const last = entries.at(-1);
    if (last && nowMs - last.atMs < STEP_MS) last.amount += amount;
    else entries.push({atMs: nowMs, amount});
    while (entries[0]!.atMs < nowMs - keptMs) entries.shift();
  }

  /** Subtracts an amount that was added at a time, if it is still kept. */
  subtractAt(amount: number, addedMs: number): void {
    const entry = this.entries.findLast(({atMs}) => atMs <= addedMs);
    if (entry) entry.amount -= amount;
  }

  /** Sum of the amounts added at or after a time. */
  sumSince(sinceMs: number): number {
    let sum = 0;
    for (const {atMs, amount} of this.entries) {
      if (atMs >= sinceMs) sum += amount;
    }
    return sum;
  }
}
