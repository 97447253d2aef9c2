import {hashRank} from './rankByWeight.js';

/** A runner that can take a request. */
export interface RunnerCandidate {
  runnerId: string;
  failureDomain: string;
  /** Outstanding work at the runner; see {@link ChooseRunnerOptions}. */
  openWork: number;
  /** Whether the request's adapter is loaded, or it needs none. */
  hasAdapter: boolean;
  /** Speed of its machine at present; 1, the default, is as usual. */
  speed?: number;
  /** The runner failed recently; it is chosen only if all candidates did. */
  isSuspect: boolean;
}

/** The prompt prefix that a request shares with other requests. */
export interface Affinity {
  /** Ranks the runners; every entry derives the same order from it. */
  key: string;
  /** Work saved at a runner that has the shared prefix cached. */
  sharedWork: number;
  /**
   * Work of the whole prompt, 0 by default. It takes longer at a slow runner:
   * without it, slow runners read as many prompts until they have a queue.
   */
  promptWork?: number;
}

/** Requests that arrive before the entries learn of each other's requests. */
export interface ConcurrentArrivals {
  /** Their work for the candidates, summed over all entries. */
  work: number;
  /** Returns a uniform number in [0, 1). */
  random(): number;
}

/** In the unit of open work: a plain call, or 1,000 prompt tokens, is 1. */
export interface ChooseRunnerOptions {
  /**
   * Work above the water level, on top of what the cache saves, at which a
   * request still goes to its preferred runner. With 0, a short queue makes
   * other runners read each shared prefix too: at 24 requests per second and
   * four runners, 72% of the requests meet their target, against 92% with 3.
   * With 24, a burst queues at one runner.
   */
  slackWork: number;
  /** Cost of fetching an adapter: about 40 ms, and an adapter slot. */
  adapterFetchWork: number;
  /** Cost of another failure domain: traffic between domains is billed. */
  otherDomainWork: number;
}

export const DEFAULT_CHOOSE_RUNNER_OPTIONS: ChooseRunnerOptions = {
  slackWork: 3,
  adapterFetchWork: 3,
  otherDomainWork: 1.5,
};

export interface ChosenRunner {
  runnerId: string;
  reason: 'affinity' | 'least-work';
}

const NO_ARRIVALS: ConcurrentArrivals = {work: 0, random: () => 0};

/**
 * Chooses a runner by prefix affinity with bounded load.
 *
 * Every entry ranks the runners by the same hash of the key. Requests that
 * share a prompt prefix therefore reach the runner that has it cached, without
 * coordination between entries. A runner is skipped once its open work exceeds
 * the water level by more than reading the prefix again would cost. Runners in
 * the failure domain of the entry rank first, so that a prefix is cached once
 * per domain and its bytes stay within the domain. Without a key, a random one
 * of the least loaded runners is chosen, because all entries would choose the
 * first one.
 *
 * The water level is the load to which the concurrent arrivals would fill the
 * least loaded runners. A runner with little spare work takes only a share of
 * the requests; otherwise all entries would leave it for the runner that seems
 * idle. Without this, 37 entries sent 56 of the 76 prompts of one second to a
 * copy that had just been loaded, and 4 each to the five other copies.
 *
 * Designed for many short prompts with long shared prefixes, where one group of
 * prompts bursts, from few entries or many.
 *
 * @param affinity undefined if the request shares no prefix.
 * @param arrivals concurrent requests of all entries; by default this entry is
 * the only one.
 * @example
 * chooseRunner(runners, {key: 'm1/5c1e', sharedWork: 6.3}, 'hall-a')?.runnerId
 */
export function chooseRunner(
  runners: readonly RunnerCandidate[],
  affinity: Affinity | undefined,
  failureDomain: string,
  arrivals: ConcurrentArrivals = NO_ARRIVALS,
  options: ChooseRunnerOptions = DEFAULT_CHOOSE_RUNNER_OPTIONS,
): ChosenRunner | undefined {
  const unsuspected = runners.filter(runner => !runner.isSuspect);
  const candidates = unsuspected.length > 0 ? unsuspected : runners;
  if (candidates.length === 0) return undefined;
  if (affinity) {
    const ranked = candidates
      .map(runner => ({
        runner,
        rank: hashRank(`${affinity.key}\n${runner.runnerId}`),
        isOwnDomain: runner.failureDomain === failureDomain,
        cost: costOf(runner, options, affinity.promptWork),
      }))
      .sort((a, b) =>
        a.isOwnDomain === b.isOwnDomain
          ? a.rank < b.rank
            ? 1
            : -1
          : Number(b.isOwnDomain) - Number(a.isOwnDomain),
      );
    const costs = ranked.map(({cost}) => cost);
    const maxCost =
      waterLevel(costs, arrivals.work) +
      affinity.sharedWork +
      options.slackWork;
    const selected =
      ranked.find(({cost}) =>
        isAccepted(maxCost - cost, costs.length, arrivals),
      ) ??
      ranked.reduce((least, each) => (each.cost < least.cost ? each : least));
    return {runnerId: selected.runner.runnerId, reason: 'affinity'};
  }
  const least = leastCostCandidates(candidates, failureDomain, options);
  const chosen = least[Math.floor(arrivals.random() * least.length)]!;
  return {runnerId: chosen.runnerId, reason: 'least-work'};
}

/** Returns all candidates that share the lowest cost. */
function leastCostCandidates(
  candidates: readonly RunnerCandidate[],
  failureDomain: string,
  options: ChooseRunnerOptions,
): RunnerCandidate[] {
  const costs = candidates.map(
    runner =>
      costOf(runner, options) +
      (runner.failureDomain === failureDomain ? 0 : options.otherDomainWork),
  );
  const leastCost = Math.min(...costs);
  return candidates.filter((_runner, i) => costs[i] === leastCost);
}

/**
 * Whether a runner with this much spare work takes the request. A runner that
 * has less than its share of the arrivals takes only a part of them.
 */
function isAccepted(
  spareWork: number,
  runnerCount: number,
  arrivals: ConcurrentArrivals,
): boolean {
  if (spareWork < 0) return false;
  const share = arrivals.work / runnerCount;
  return spareWork >= share || arrivals.random() * share < spareWork;
}

/**
 * Returns the level up to which `work` fills the least loaded runners.
 *
 * @example waterLevel([0, 10, 50], 20) // 15
 */
export function waterLevel(loads: readonly number[], work: number): number {
  const sorted = [...loads].sort((a, b) => a - b);
  let total = work;
  for (const [i, load] of sorted.entries()) {
    total += load;
    const level = total / (i + 1);
    if (i + 1 === sorted.length || level <= sorted[i + 1]!) return level;
  }
  return 0;
}

function costOf(
  runner: RunnerCandidate,
  options: ChooseRunnerOptions,
  promptWork = 0,
): number {
  const {openWork, speed = 1, hasAdapter} = runner;
  const openCost = openWork / speed;
  const promptCost = promptWork * (1 / speed - 1);
  return openCost + promptCost + (hasAdapter ? 0 : options.adapterFetchWork);
}
