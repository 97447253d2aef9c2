import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '@banyanfold/decisions';

const RANGE = 2 ** 31;

/** A seeded generator of numbers in [0, 1). */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE;
}

/** An exponentially distributed value. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** An index drawn with the given weights. */
export function weightedIndex(random: Random, weights: number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random() * total;
  for (let index = 0; index < weights.length; index++) {
    left -= weights[index]!;
    if (left < 0) return index;
  }
  return weights.length - 1;
}

/** Weights that fall as 1/rank, to the power of `skew`. */
export function zipfWeights(count: number, skew: number): number[] {
  return Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
}
