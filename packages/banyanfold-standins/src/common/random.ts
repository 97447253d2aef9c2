import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** For those who pass no generator in. */
export const DEFAULT_SEED = 1;

/** Gives numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;

/**
 * A generator that gives the same numbers for the same seed.
 *
 * @example createRandom(7)()
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
