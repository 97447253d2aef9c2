import {createHash} from 'node:crypto';

/**
 * Sorts entries by descending weight. Ties are ordered by a hash of the
 * address, which spreads them over the failure domains.
 *
 * @example rankByWeight(entries, entry => entry.processorShare)[0] // the largest
 */
export function rankByWeight<E extends {address: string}>(
  entries: readonly E[],
  weightOf: (entry: E) => number,
): E[] {
  const ranked = entries.map(entry => ({
    entry,
    weight: weightOf(entry),
    rank: hashRank(entry.address),
  }));
  ranked.sort((a, b) => b.weight - a.weight || (a.rank < b.rank ? 1 : -1));
  return ranked.map(({entry}) => entry);
}

/** Returns a sort key that looks random and is the same in every process. */
export function hashRank(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}
