import {hashRank, rankByWeight} from './rankByWeight.js';

/** An entry that could pass the holder's word on to others. */
export interface RelayCandidate {
  address: string;
  failureDomain: string;
  /** Cores' worth of processor that the process may use. */
  processorShare: number;
}

export interface ChooseRelaysOptions {
  /**
   * Up to so many entries all ask the holder itself: the word is fresher by one
   * exchange, and one answer takes it 1 ms of a processor.
   */
  maxDirectEntries: number;
  /**
   * Entries that share one relay. Near the root of the entries that are designed
   * for, 730, so that the holder and a relay hear from about as many.
   */
  entriesPerRelay: number;
  /** A relay stays unless another entry has this many times its processor. */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_RELAYS_OPTIONS: ChooseRelaysOptions = {
  maxDirectEntries: 8,
  entriesPerRelay: 16,
  hysteresisFactor: 1.5,
};

/** Addresses of the relays, by failure domain; none where all ask the holder. */
export type RelaysByDomain = ReadonlyMap<string, readonly string[]>;

/**
 * The entries through which the others of their failure domain speak with the
 * holder of orders: in each domain those with the most processor, as many as
 * its entries need. The holder is none of them; it has its own work. One that
 * was a relay before stays, as its group would have to find another one.
 *
 * Answers the load of many entries of unequal size. With 17 of them the holder,
 * on a machine of 0.12 cores, answered in 20 ms at first and in 140 once it
 * worked at its full price, and from the first callers on most exchanges ended by
 * their limit: entries decided by what they had known 13 s ago in the median.
 *
 * @param holder address of the process that has the lease.
 * @param before the relays so far.
 * @example
 * chooseRelays(entries, 'a:7', new Map()).get('hall-b') // ['b3:7']
 */
export function chooseRelays(
  entries: readonly RelayCandidate[],
  holder: string,
  before: RelaysByDomain,
  options: ChooseRelaysOptions = DEFAULT_CHOOSE_RELAYS_OPTIONS,
): RelaysByDomain {
  const relays = new Map<string, readonly string[]>();
  if (entries.length <= options.maxDirectEntries) return relays;
  for (const [domain, members] of byDomain(entries)) {
    const others = members.filter(({address}) => address !== holder);
    // A relay for itself alone would only be one stop more.
    if (others.length < 2) continue;
    const count = Math.ceil(others.length / options.entriesPerRelay);
    const kept = new Set(before.get(domain));
    const ranked = rankByWeight(others, entry =>
      weightOf(entry, kept, options),
    );
    relays.set(
      domain,
      ranked.slice(0, count).map(({address}) => address),
    );
  }
  return relays;
}

/**
 * The relay that an entry speaks through; undefined if it asks the holder. Each
 * entry prefers the same one while the relays stay, and they share the entries
 * about evenly.
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
  kept: ReadonlySet<string>,
  {hysteresisFactor}: ChooseRelaysOptions,
): number {
  return kept.has(address) ? processorShare * hysteresisFactor : processorShare;
}

function byDomain(
  entries: readonly RelayCandidate[],
): Map<string, RelayCandidate[]> {
  const domains = new Map<string, RelayCandidate[]>();
  for (const entry of entries) {
    const members = domains.get(entry.failureDomain);
    if (members) members.push(entry);
    else domains.set(entry.failureDomain, [entry]);
  }
  return domains;
}
