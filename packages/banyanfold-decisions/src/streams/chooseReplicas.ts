import {groupByDomain} from '../groupByDomain.js';
import {hashRank, rankByWeight} from '../rankByWeight.js';

/** An entry that can keep records of other entries. */
export interface ReplicaCandidate {
  address: string;
  failureDomain: string;
  /** Processor share of the process, in cores. */
  processorShare: number;
}

/** An entry that keeps records of other entries. */
export type Replica = Pick<ReplicaCandidate, 'address' | 'failureDomain'>;

export interface ChooseReplicasOptions {
  /** In fleets up to this size each entry is a replica. */
  maxSmallFleet: number;
  /** Entries per replica in larger fleets. */
  entriesPerReplica: number;
  /** A replica stays unless an entry has this many times its processor share. */
  hysteresisFactor: number;
}

export const DEFAULT_CHOOSE_REPLICAS_OPTIONS: ChooseReplicasOptions = {
  maxSmallFleet: 16,
  entriesPerReplica: 8,
  hysteresisFactor: 1.5,
};

/**
 * Chooses the entries that keep records of others: those with the largest
 * processor share, in proportion in each failure domain. Current replicas are
 * preferred, because a new one has no records.
 *
 * @param previous addresses of the current replicas.
 * @returns the replicas, ordered by address.
 * @example chooseReplicas([{address: 'a:7', failureDomain: 'x', processorShare: 1}], new Set())
 */
export function chooseReplicas(
  entries: readonly ReplicaCandidate[],
  previous: ReadonlySet<string>,
  options: ChooseReplicasOptions = DEFAULT_CHOOSE_REPLICAS_OPTIONS,
): Replica[] {
  const {maxSmallFleet, entriesPerReplica, hysteresisFactor} = options;
  const isSmall = entries.length <= maxSmallFleet;
  const domains = groupByDomain(entries);
  const replicas = [...domains.values()].flatMap(members => {
    const ranked = rankByWeight(members, ({address, processorShare}) =>
      previous.has(address)
        ? processorShare * hysteresisFactor
        : processorShare,
    );
    const count = Math.ceil(members.length / entriesPerReplica);
    return isSmall ? ranked : ranked.slice(0, count);
  });
  return replicas
    .map(({address, failureDomain}) => ({address, failureDomain}))
    .sort((a, b) => (a.address < b.address ? -1 : 1));
}

/**
 * Orders the replicas by which an entry has its records kept. Those of other
 * failure domains come first, alternately one of each domain, so that the loss
 * of a domain leaves a copy. When a replica is lost, the others stay in order.
 *
 * @example rankReplicas({address: 'a:7', failureDomain: 'x'}, replicas)[0]
 */
export function rankReplicas(
  entry: Replica,
  replicas: readonly Replica[],
): string[] {
  const others = replicas.filter(({address}) => address !== entry.address);
  const ranked = others
    .map(replica => ({
      replica,
      rank: hashRank(`${entry.address}\n${replica.address}`),
    }))
    .sort((a, b) => (a.rank > b.rank ? -1 : 1));
  const nthOfDomain = new Map<string, number>();
  return ranked
    .map(({replica: {address, failureDomain}}) => {
      // Its own failure domain counts as used once already.
      const own = failureDomain === entry.failureDomain ? 1 : 0;
      const nth = nthOfDomain.get(failureDomain) ?? own;
      nthOfDomain.set(failureDomain, nth + 1);
      return {address, nth};
    })
    .sort((a, b) => a.nth - b.nth)
    .map(({address}) => address);
}
