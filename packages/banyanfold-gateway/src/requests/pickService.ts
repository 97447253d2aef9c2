import type {ServiceShare} from '../types.js';

/** Draws one of a route's services by weight. */
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
