/** Tokens are whole, so work is a whole number of these. */
const UNITS_PER_WORK = 1_000;

/**
 * Sum of the work of open requests. Counts whole units, so that it is the same
 * after a request as before it, in whatever order requests end; a sum of
 * fractions would keep rounding errors.
 *
 * @example
 * const sum = new WorkSum();
 * sum.add(0.3);
 * sum.subtract(0.3);
 * sum.work // 0
 */
export class WorkSum {
  private units = 0;

  /** In thousands of prompt tokens. */
  get work(): number {
    return this.units / UNITS_PER_WORK;
  }

  add(work: number): void {
    this.units += toUnits(work);
  }

  /** @param work an amount that was added before. */
  subtract(work: number): void {
    this.units -= toUnits(work);
  }
}

function toUnits(work: number): number {
  return Math.round(work * UNITS_PER_WORK);
}
