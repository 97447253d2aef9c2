import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws that depend on the seed alone. */
export interface Draw {
  /** A whole number in [from, to]. */
  int(from: number, to: number): number;
  pick<T>(values: readonly T[]): T;
}

/** @example createDraw(7).pick(['a', 'b']) */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  const int = (from: number, to: number) => uniformInt(generator, from, to);
  return {int, pick: values => values[int(0, values.length - 1)]!};
}
