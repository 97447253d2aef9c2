/** What one party asks for, and its weight in the division. */
export interface WeightedDemand {
  /** Not negative. */
  demand: number;
  /** Greater than 0. */
  weight: number;
}

/**
 * Divides a capacity by weighted max-min fairness: a party that asks for less
 * than its weighted part gets what it asks for, and what it leaves unused goes
 * to the others by their weights.
 *
 * @param capacity in the unit of the demands; below 0 it counts as 0.
 * @returns the amount for each party, in the order of `demands`.
 * @example divideByMaxMin([{demand: 2, weight: 1}, {demand: 9, weight: 1}], 8)
 * // [2, 6]
 */
export function divideByMaxMin(
  demands: readonly WeightedDemand[],
  capacity: number,
): number[] {
  const amounts = demands.map(() => 0);
  const byRatio = demands.map(({demand, weight}, index) => ({
    index,
    demand,
    weight,
    ratio: demand / weight,
  }));
  byRatio.sort((a, b) => a.ratio - b.ratio);
  let left = Math.max(0, capacity);
  let weightLeft = byRatio.reduce((sum, {weight}) => sum + weight, 0);
  for (const {index, demand, weight} of byRatio) {
    const amount = Math.min(demand, (left * weight) / weightLeft);
    amounts[index] = amount;
    left -= amount;
    weightLeft -= weight;
  }
  return amounts;
}
