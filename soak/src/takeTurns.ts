/**
 * Picks one of the values by the seed, so that seeds in a row play all of them.
 *
 * @example takeTurns(['a', 'b'], 3) // 'b'
 */
export function takeTurns<T>(values: readonly T[], seed: number): T {
  return values[seed % values.length]!;
}
