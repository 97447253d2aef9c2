import type {ServiceShare} from '../types.js';

/**
 * Picks one of a route's services at random, in proportion to their weights.
 *
 * @param random uniform in [0, 1).
 * @example pickService([{service: 'drafting', weight: 1}], Math.random)
 * // 'drafting'
 */
export function pickService(
  shares: readonly ServiceShare[],
  random: () => number,
): string {
  const total = shares.reduce((sum, {weight}) => sum + weight, 0);
  let drawn = random() * total;
  for (const {service, weight} of shares) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return shares.at(-1)?.service ?? '';
}
