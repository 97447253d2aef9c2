import {groupByDomain} from '../groupByDomain.js';
import {hashRank, rankByWeight} from '../rankByWeight.js';

/** An entry that can keep records of other entries. */
export interface KeeperCandidate {
  address: string;
  failureDomain: string;
  /** Processor share of the process, in cores. */
  processorShare: number;
}

/** An entry that keeps records of other entries. */
export type Keeper = Pick<KeeperCandidate, 'address' | 'failureDomain'>;

export interface ChooseKeepersOptions {
  /** In fleets up to this size each entry is a keeper. */
  maxSmallFleet: number;
  /** Entries per keeper in larger fleets. */
  entriesPerKeeper: number;
  /** A keeper stays unless an entry has this many times its processor share. */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_KEEPERS_OPTIONS: ChooseKeepersOptions = {
  maxSmallFleet: 16,
  entriesPerKeeper: 8,
  hysteresisFactor: 1.5,
};

/**
 * Chooses the entries that keep records of others: those with the largest
 * processor share, in proportion in each failure domain. Current keepers are
 * preferred, because a new one has no records.
 *
 * @param previous addresses of the current keepers.
 * @returns the keepers, ordered by address.
 * @example chooseKeepers([{address: 'a:7', failureDomain: 'x', processorShare: 1}], new Set())
 */
export function chooseKeepers(
  entries: readonly KeeperCandidate[],
  previous: ReadonlySet<string>,
  options: ChooseKeepersOptions = DEFAULT_CHOOSE_KEEPERS_OPTIONS,
): Keeper[] {
  const {maxSmallFleet, entriesPerKeeper, hysteresisFactor} = options;
  const isSmall = entries.length <= maxSmallFleet;
  const domains = groupByDomain(entries);
  const keepers = [...domains.values()].flatMap(members => {
    const ranked = rankByWeight(members, ({address, processorShare}) =>
      previous.has(address)
        ? processorShare * hysteresisFactor
        : processorShare,
    );
    const count = Math.ceil(members.length / entriesPerKeeper);
    return isSmall ? ranked : ranked.slice(0, count);
  });
  return keepers
    .map(({address, failureDomain}) => ({address, failureDomain}))
    .sort((a, b) => (a.address < b.address ? -1 : 1));
}

/**
 * Orders the keepers by which an entry has its records kept. Those of other
 * failure domains come first, alternately one of each domain, so that the loss
 * of a domain leaves a copy. When a keeper is lost, the others stay in order.
 *
 * @example rankReplicas({address: 'a:7', failureDomain: 'x'}, keepers)[0]
 */
export function rankReplicas(
  entry: Keeper,
  keepers: readonly Keeper[],
): string[] {
  const others = keepers.filter(({address}) => address !== entry.address);
  const ranked = others
    .map(keeper => ({
      keeper,
      rank: hashRank(`${entry.address}\n${keeper.address}`),
    }))
    .sort((a, b) => (a.rank > b.rank ? -1 : 1));
  const nthOfDomain = new Map<string, number>();
  return ranked
    .map(({keeper: {address, failureDomain}}) => {
      // Its own failure domain counts as used once already.
      const own = failureDomain === entry.failureDomain ? 1 : 0;
      const nth = nthOfDomain.get(failureDomain) ?? own;
      nthOfDomain.set(failureDomain, nth + 1);
      return {address, nth};
    })
    .sort((a, b) => a.nth - b.nth)
    .map(({address}) => address);
}
