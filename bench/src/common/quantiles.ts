/**
 * The value below which a share of the values lies, 0 for no values.
 *
 * @example quantile([1, 2, 3], 0.5) // 2
 */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
