const MS_PER_SECOND = 1000;

/**
 * Rate of added amounts, with exponential decay.
 *
 * @example
 * const rate = new DecayingRate(1_500);
 * rate.add(9_000, nowMs);
 * rate.perSecond(nowMs) // 6000
 */
export class DecayingRate {
  private value = 0;
  private updatedMs = 0;

  /** @param smoothingMs time constant, after which 0.37 of it remains. */
  constructor(private readonly smoothingMs: number) {}

  add(amount: number, nowMs: number): void {
    this.value =
      this.perSecond(nowMs) + (amount * MS_PER_SECOND) / this.smoothingMs;
    this.updatedMs = nowMs;
  }

  perSecond(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    return this.value * Math.exp(-elapsedMs / this.smoothingMs);
  }
}
