import {hashRank} from './rankByWeight.js';

/** One runner that could take a request. */
export interface RunnerCandidate {
  runnerId: string;
  failureDomain: string;
  /** Work open there, in the unit of the caller's choice. */
  openWork: number;
  /** The request's adapter is there, or none is asked for. */
  hasAdapter: boolean;
  /** It failed lately; taken only where all did. */
  isSuspect: boolean;
}

/** What a request shares with others. */
export interface Affinity {
  /** All entries rank the runners by it alike. */
  key: string;
  /** Work that is saved where the shared part is cached. */
  sharedWork: number;
}

/** What comes before the entries hear of each other's requests. */
export interface ConcurrentArrivals {
  /** Work for the same runners, of all entries. */
  work: number;
  /** Uniform in [0, 1). */
  random(): number;
}

/** All in the unit of open work; a plain call, or 1,000 prompt tokens, is 1. */
export interface ChooseRunnerOptions {
  /**
   * Work over the least loaded that is no reason to leave affinity, besides
   * what the cache saves. With 0 a runner in a short queue has every shared part
   * read elsewhere too (of 24 requests a second at four runners 72% were in
   * target, with 3 92%); with 24 a burst queues at one runner.
   */
  slackWork: number;
  /** Work that an adapter's fetch counts as: some 40 ms, and a place taken. */
  adapterFetchWork: number;
  /** Work that another failure domain counts as: its bytes have a price. */
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

const NO_FLOW: ConcurrentArrivals = {work: 0, random: () => 0};

/**
 * Chooses a runner by prefix affinity with bounded load. All entries rank the
 * runners alike by a hash of the key, so that requests that share a prompt meet
 * where it is cached without anything being told. A runner is passed over once
 * the work that waits there exceeds the level by more than reading the shared part
 * again would cost; without a key the least loaded is taken, any one of several:
 * all entries would send to the first in the list. Runners of the entry's
 * own failure domain go first: a prompt is then cached once a domain, and its
 * bytes stay within it.
 *
 * The level is where the least loaded runners would be filled to by what comes
 * before the entries hear of each other. A runner that has little room up to it is
 * passed over by a share of the requests only, or all entries would leave it for
 * the one that seems idle: 37 entries sent 56 of a model's 76 prompts of one second
 * to a copy that had just come, and 4 each to the five others.
 *
 * Answers the load of many short prompts that share long prefixes while one
 * group of them bursts, from few entries or many.
 *
 * @param affinity what the request shares with others; undefined for none.
 * @param flow what comes besides; without it this entry is taken to be alone.
 * @example
 * chooseRunner(choices, {key: 'm1/5c1e', sharedWork: 6.3}, 'hall-a')?.runnerId
 */
export function chooseRunner(
  choices: readonly RunnerCandidate[],
  affinity: Affinity | undefined,
  failureDomain: string,
  flow: ConcurrentArrivals = NO_FLOW,
  options: ChooseRunnerOptions = DEFAULT_CHOOSE_RUNNER_OPTIONS,
): ChosenRunner | undefined {
  const sound = choices.filter(choice => !choice.isSuspect);
  const candidates = sound.length > 0 ? sound : choices;
  if (candidates.length === 0) return undefined;
  if (affinity) {
    const ranked = candidates
      .map(choice => ({
        choice,
        rank: hashRank(`${affinity.key}\n${choice.runnerId}`),
        isOwnDomain: choice.failureDomain === failureDomain,
        cost: costOf(choice, options),
      }))
      .sort((a, b) =>
        a.isOwnDomain === b.isOwnDomain
          ? a.rank < b.rank
            ? 1
            : -1
          : Number(b.isOwnDomain) - Number(a.isOwnDomain),
      );
    const costs = ranked.map(({cost}) => cost);
    const bound =
      waterLevel(costs, flow.work) + affinity.sharedWork + options.slackWork;
    const first =
      ranked.find(({cost}) => isTaken(bound - cost, costs.length, flow)) ??
      ranked.reduce((least, each) => (each.cost < least.cost ? each : least));
    return {runnerId: first.choice.runnerId, reason: 'affinity'};
  }
  const least = leastOf(candidates, failureDomain, options);
  const chosen = least[Math.floor(flow.random() * least.length)]!;
  return {runnerId: chosen.runnerId, reason: 'least-work'};
}

/** The candidates of least cost, which may be several. */
function leastOf(
  candidates: readonly RunnerCandidate[],
  failureDomain: string,
  options: ChooseRunnerOptions,
): RunnerCandidate[] {
  const costs = candidates.map(
    choice =>
      costOf(choice, options) +
      (choice.failureDomain === failureDomain ? 0 : options.otherDomainWork),
  );
  const leastCost = Math.min(...costs);
  return candidates.filter((_choice, i) => costs[i] === leastCost);
}

/** Whether a runner with so much room takes its share of the flow, or part of it. */
function isTaken(
  room: number,
  runners: number,
  flow: ConcurrentArrivals,
): boolean {
  if (room < 0) return false;
  const share = flow.work / runners;
  return room >= share || flow.random() * share < room;
}

/**
 * The load to which work fills the least loaded of several, all to one height.
 *
 * @example waterLevel([0, 10, 50], 20) // 15
 */
export function waterLevel(loads: readonly number[], work: number): number {
  const sorted = [...loads].sort((a, b) => a - b);
  let filled = work;
  for (const [i, load] of sorted.entries()) {
    filled += load;
    const level = filled / (i + 1);
    if (i + 1 === sorted.length || level <= sorted[i + 1]!) return level;
  }
  return 0;
}

function costOf(choice: RunnerCandidate, options: ChooseRunnerOptions): number {
  return choice.openWork + (choice.hasAdapter ? 0 : options.adapterFetchWork);
}
