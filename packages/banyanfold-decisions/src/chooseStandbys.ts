import {rankByWeight} from './rankByWeight.js';

/** An entry that can hold the lease on orders. */
export interface StandbyCandidate {
  address: string;
  /** Processor share of the process, in cores. */
  processorShare: number;
}

export interface ChooseStandbysOptions {
  /**
   * Number of entries that stand by for the lease, including its holder. Each
   * of them sends a few calls per second to the store. With six, three can fail
   * within the second that the store takes to detect it, while two others are
   * joining or leaving.
   */
  count: number;
  /**
   * The holder keeps the lease unless another entry has this many times its
   * processor share, because a change of holder interrupts orders for some
   * seconds.
   */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_STANDBYS_OPTIONS: ChooseStandbysOptions = {
  count: 6,
  hysteresisFactor: 1.5,
};

/**
 * Chooses the entries that stand by for the lease on orders: those with the
 * largest processor share. Ties are ordered by a hash of the address, which
 * spreads them over the failure domains.
 *
 * Designed for many entries of unequal size. The holder receives a state update
 * from each entry several times per second and requests reports from every
 * runner. On a small VM it answered late, and all other entries read the store
 * themselves: a day with 28 entries took 8,544 store calls, against 3,608 with
 * this choice (one run each, other changes included).
 *
 * @param holder address of the process that holds the lease.
 * @example
 * chooseStandbys(entries, 'a:7')?.has('b:7')
 */
export function chooseStandbys(
  entries: readonly StandbyCandidate[],
  holder: string,
  options: ChooseStandbysOptions = DEFAULT_CHOOSE_STANDBYS_OPTIONS,
): ReadonlySet<string> {
  const ranked = rankByWeight(entries, ({processorShare}) => processorShare);
  const largest = ranked[0]?.processorShare ?? 0;
  const holderEntry = entries.find(({address}) => address === holder);
  const keepsHolder =
    holderEntry !== undefined &&
    holderEntry.processorShare * options.hysteresisFactor > largest;
  const others = ranked.filter(({address}) => address !== holder);
  const chosen = others.slice(0, options.count - (keepsHolder ? 1 : 0));
  const standbys = new Set(chosen.map(({address}) => address));
  if (keepsHolder) standbys.add(holder);
  return standbys;
}
