import {rankByWeight} from './rankByWeight.js';

/** An entry that could give orders. */
export interface StandbyCandidate {
  address: string;
  /** Cores' worth of processor that the process may use. */
  processorShare: number;
}

export interface ChooseStandbysOptions {
  /**
   * Entries that stand by for the lease, the holder included. Each costs some
   * calls a second at the store; with six, three may go within the second that
   * the store takes to notice, and two be under way.
   */
  count: number;
  /**
   * The holder keeps the lease unless another entry has this many times its
   * processor: a change of holder costs some seconds without orders.
   */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_STANDBYS_OPTIONS: ChooseStandbysOptions = {
  count: 6,
  hysteresisFactor: 1.5,
};

/**
 * The entries that stand by for the lease on orders: those with the most
 * processor, and among equals an order that doesn't follow their addresses, so
 * that they are spread over the failure domains.
 *
 * Answers the load of many entries of unequal size: the holder hears from each
 * some times a second and asks every runner for reports. On one of the small VMs
 * it answered late, all others read the store for themselves, and a day of 28
 * entries took 8,544 calls, and 3,608 since (one run each, other changes included).
 *
 * @param holder address of the process that has the lease.
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
  const own = entries.find(({address}) => address === holder);
  const keeps =
    own !== undefined &&
    own.processorShare * options.hysteresisFactor > largest;
  const others = ranked.filter(({address}) => address !== holder);
  const chosen = others.slice(0, options.count - (keeps ? 1 : 0));
  const standbys = new Set(chosen.map(({address}) => address));
  if (keeps) standbys.add(holder);
  return standbys;
}
