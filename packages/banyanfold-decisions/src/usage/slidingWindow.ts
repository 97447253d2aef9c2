/** Slots per window; an amount expires up to one slot late. */
const SLOTS = 32;
/**
 * Slots from which the rate of expiry is computed: 0.75 s of a window of 8 s,
 * about the time for which an entry goes by it. Over 2 s, entries admitted up
 * to 1.3 s early what a surge had used within a second.
 */
const EXPIRING_SLOTS = 3;
const MS_PER_SECOND = 1000;

/**
 * Sum of amounts over a sliding window.
 *
 * @example
 * const window = new SlidingWindow(8_000);
 * window.add(9_000, nowMs);
 * window.sum(nowMs + 9_000) // 0
 */
export class SlidingWindow {
  private readonly slotMs: number;
  private readonly amounts = new Array<number>(SLOTS + 1).fill(0);
  private newestSlot = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {
    this.slotMs = windowMs / SLOTS;
  }

  add(amount: number, nowMs: number): void {
    this.advance(nowMs);
    this.amounts[this.indexOf(this.newestSlot)]! += amount;
  }

  /**
   * Subtracts an amount that was charged at a time and added then or later.
   * Subtracted at the current time, it would still reduce the sum after the
   * added amount has expired, and as much use too much would be admitted until
   * it expires itself. What was never added, because it was reported to another
   * holder, is ignored.
   */
  subtractAt(amount: number, chargedMs: number): void {
    const {newestSlot} = this;
    const slot = Math.floor(chargedMs / this.slotMs);
    const isEmpty = newestSlot === Number.NEGATIVE_INFINITY;
    if (isEmpty || slot < newestSlot - SLOTS) return;
    let remaining = amount;
    for (let at = Math.min(slot, newestSlot); at <= newestSlot; at++) {
      const index = this.indexOf(at);
      const added = Math.max(0, this.amounts[index]!);
      const taken = Math.min(remaining, added);
      this.amounts[index]! -= taken;
      remaining -= taken;
      if (remaining <= 0) return;
    }
  }

  /**
   * Adds an amount as if it had been added evenly over the preceding window.
   */
  addEvenly(amount: number, nowMs: number): void {
    this.advance(nowMs);
    for (let i = 0; i < SLOTS; i++) {
      this.amounts[this.indexOf(this.newestSlot - i)]! += amount / SLOTS;
    }
  }

  /** Adds the amounts of another window of the same length, slot by slot. */
  addWindow(other: SlidingWindow): void {
    if (!Number.isFinite(other.newestSlot)) return;
    this.advance(other.newestSlot * this.slotMs);
    for (let i = 0; i <= SLOTS; i++) {
      const slot = other.newestSlot - i;
      if (slot < this.newestSlot - SLOTS) return;
      this.amounts[this.indexOf(slot)]! += other.amounts[other.indexOf(slot)]!;
    }
  }

  /**
   * The amounts of equal parts of the window, the newest first.
   *
   * @example window.amountsByAge(2, nowMs) // [9_000, 0]
   */
  amountsByAge(parts: number, nowMs: number): number[] {
    this.advance(nowMs);
    const amounts = new Array<number>(parts).fill(0);
    for (let i = 0; i <= SLOTS; i++) {
      const part = Math.min(parts - 1, Math.floor((i * parts) / SLOTS));
      amounts[part]! += this.amounts[this.indexOf(this.newestSlot - i)]!;
    }
    return amounts;
  }

  /**
   * Adds amounts of equal parts of the window that ends at `nowMs`, the newest
   * first. Each counts as added at the end of its part, so that it doesn't
   * expire early.
   */
  addByAge(amounts: readonly number[], nowMs: number): void {
    this.advance(nowMs);
    for (const [part, amount] of amounts.entries()) {
      const age = Math.floor((part * SLOTS) / amounts.length);
      this.amounts[this.indexOf(this.newestSlot - age)]! += amount;
    }
  }

  /** Multiplies all amounts added so far. */
  scale(factor: number): void {
    for (const i of this.amounts.keys()) this.amounts[i]! *= factor;
  }

  sum(nowMs: number): number {
    this.advance(nowMs);
    return this.amounts.reduce((sum, amount) => sum + amount, 0);
  }

  /** The part of the current amounts that has not expired at a later time. */
  sumLeftAt(laterMs: number): number {
    const firstSlot = Math.floor(laterMs / this.slotMs) - SLOTS;
    let sum = 0;
    for (let i = 0; i <= SLOTS; i++) {
      const slot = this.newestSlot - i;
      if (slot < firstSlot) break;
      sum += this.amounts[this.indexOf(slot)]!;
    }
    return sum;
  }

  /** Amount per second that expires during the next slots. */
  expiringPerSecond(nowMs: number): number {
    this.advance(nowMs);
    let sum = 0;
    for (let i = 0; i < EXPIRING_SLOTS; i++) {
      sum += this.amounts[this.indexOf(this.newestSlot - SLOTS + i)]!;
    }
    return (sum * MS_PER_SECOND) / (EXPIRING_SLOTS * this.slotMs);
  }

  private advance(nowMs: number): void {
    const slot = Math.floor(nowMs / this.slotMs);
    if (slot <= this.newestSlot) return;
    const passed = Math.min(slot - this.newestSlot, this.amounts.length);
    for (let i = 0; i < passed; i++) this.amounts[this.indexOf(slot - i)] = 0;
    this.newestSlot = slot;
  }

  private indexOf(slot: number): number {
    const {length} = this.amounts;
    return ((slot % length) + length) % length;
  }
}
