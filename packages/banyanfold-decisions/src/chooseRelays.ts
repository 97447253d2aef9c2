import {groupByDomain} from './groupByDomain.js';
import {hashRank, rankByWeight} from './rankByWeight.js';

/** An entry that can relay state between the lease holder and other entries. */
export interface RelayCandidate {
  address: string;
  failureDomain: string;
  /** Processor share of the process, in cores. */
  processorShare: number;
}

export interface ChooseRelaysOptions {
  /**
   * Up to this many entries exchange state with the holder directly. Their
   * state is fresher by one exchange, and each answer costs the holder 1 ms of
   * processor time.
   */
  maxDirectEntries: number;
  /**
   * Number of entries per relay. It is close to the square root of 730, the
   * number of entries that the system is designed for, so that the holder and
   * each relay exchange state with about as many.
   */
  entriesPerRelay: number;
  /** A relay stays unless an entry has this many times its processor share. */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_RELAYS_OPTIONS: ChooseRelaysOptions = {
  maxDirectEntries: 8,
  entriesPerRelay: 16,
  hysteresisFactor: 1.5,
};

/** Relay addresses by failure domain; empty if all entries use the holder. */
export type RelaysByDomain = ReadonlyMap<string, readonly string[]>;

/**
 * Chooses the relays through which the entries of a failure domain exchange
 * state with the lease holder: in each domain the entries with the largest
 * processor share, as many as its number of entries requires. The holder is
 * never a relay, because it has its own work. Current relays are preferred,
 * because their groups would have to switch.
 *
 * Designed for many entries of unequal size. With 17 entries, a holder with
 * 0.12 cores answered in 20 ms at first, and in 140 ms once it paid the full
 * processor cost of its work. From the first callers on, most exchanges timed
 * out, and entries decided on state with a median age of 13 s.
 *
 * @param holder address of the process that holds the lease.
 * @param previous the current relays.
 * @example
 * chooseRelays(entries, 'a:7', new Map()).get('hall-b') // ['b3:7']
 */
export function chooseRelays(
  entries: readonly RelayCandidate[],
  holder: string,
  previous: RelaysByDomain,
  options: ChooseRelaysOptions = DEFAULT_CHOOSE_RELAYS_OPTIONS,
): RelaysByDomain {
  const relays = new Map<string, readonly string[]>();
  if (entries.length <= options.maxDirectEntries) return relays;
  for (const [domain, members] of groupByDomain(entries)) {
    const others = members.filter(({address}) => address !== holder);
    // A relay that serves only itself would add a hop and save none.
    if (others.length < 2) continue;
    const count = Math.ceil(others.length / options.entriesPerRelay);
    const current = new Set(previous.get(domain));
    const ranked = rankByWeight(others, entry =>
      weightOf(entry, current, options),
    );
    relays.set(
      domain,
      ranked.slice(0, count).map(({address}) => address),
    );
  }
  return relays;
}

/**
 * Returns the relay of an entry, or undefined if the entry uses the holder
 * directly. An entry keeps its relay as long as the set of relays stays the
 * same, and the relays serve about the same number of entries each.
 *
 * @example relayOf('b1:7', ['b3:7']) // 'b3:7'
 */
export function relayOf(
  entry: string,
  relays: readonly string[],
): string | undefined {
  if (relays.includes(entry)) return undefined;
  let best: string | undefined;
  let bestRank = '';
  for (const relay of relays) {
    const rank = hashRank(`${entry}\n${relay}`);
    if (rank > bestRank) [best, bestRank] = [relay, rank];
  }
  return best;
}

function weightOf(
  {address, processorShare}: RelayCandidate,
  current: ReadonlySet<string>,
  {hysteresisFactor}: ChooseRelaysOptions,
): number {
  return current.has(address)
    ? processorShare * hysteresisFactor
    : processorShare;
}
