import type {ChosenRunner} from './chooseRunner.js';

/** A runner that can take a plain call. Work is counted in calls. */
export interface PlainCandidate {
  runnerId: string;
  failureDomain: string;
  /** Calls of this entry that are open at the runner. */
  ownWork: number;
  /** Open calls of all entries, averaged over some seconds. */
  meanWork: number;
  /**
   * Number of the last call that this entry sent to the runner, counted over
   * its service; undefined if it has sent none.
   */
  lastSent?: number;
  /** Speed of its machine at present; 1, the default, is as usual. */
  speed?: number;
  /** The runner failed recently; it is chosen only if all candidates did. */
  isSuspect: boolean;
}

/** The unit is one open call of this entry. */
export interface ChoosePlainRunnerOptions {
  /** Cost of another failure domain: traffic between domains is billed. */
  otherDomainWork: number;
  /**
   * Share of the new call's own duration that counts. With 1, a slow runner
   * comes after all fast ones for entries with few calls of their own, which
   * then fill the fast ones; with 0, a slow runner takes its share of calls
   * although faster ones are idle.
   */
  callWork: number;
  /** Maximum cost of each call that is open at a runner on average. */
  meanWorkCost: number;
  /**
   * Maximum cost of the calls that are open at all runners on average. All
   * entries react to the same average some hundred ms later, so the reaction
   * must not grow with the number of calls. Without this limit, 67 entries
   * before 34 runners overfilled some of them.
   */
  maxTotalCost: number;
}

export const DEFAULT_PLAIN_RUNNER_OPTIONS: ChoosePlainRunnerOptions = {
  otherDomainWork: 1.5,
  callWork: 0.4,
  meanWorkCost: 0.05,
  maxTotalCost: 1.5,
};

export interface PlainChoice {
  failureDomain: string;
  /** Returns a uniform number in [0, 1). */
  random(): number;
}

/**
 * Chooses the runner of a plain call by the entry's own open calls; among equal
 * ones, the runner whose turn is next, where faster runners have more turns.
 *
 * The open calls of other entries are known only some hundred ms late, which is
 * longer than a call lasts. Entries that add them choose the same runner, fill
 * it and leave it together. Their average over some seconds is not out of date
 * so soon; it moves calls from a runner that is busier for long, such as one in
 * a failure domain with more callers. Its cost for a runner is small, so that it
 * shifts a share of the calls and never all of them.
 *
 * Designed for calls that last less than an exchange of state between entries.
 *
 * @example
 * choosePlainRunner(runners, {failureDomain: 'hall-a', random})?.runnerId
 */
export function choosePlainRunner(
  runners: readonly PlainCandidate[],
  {failureDomain, random}: PlainChoice,
  options: ChoosePlainRunnerOptions = DEFAULT_PLAIN_RUNNER_OPTIONS,
): ChosenRunner | undefined {
  const unsuspected = runners.filter(runner => !runner.isSuspect);
  const candidates = unsuspected.length > 0 ? unsuspected : runners;
  const ranked = byNextTurn(candidates, random);
  const workCost = meanWorkCost(candidates, options);
  let chosen: PlainCandidate | undefined;
  let leastCost = Number.POSITIVE_INFINITY;
  for (const [rank, runner] of ranked.entries()) {
    const cost =
      (runner.ownWork + options.callWork) / (runner.speed ?? 1) +
      runner.meanWork * workCost +
      rank / ranked.length +
      (runner.failureDomain === failureDomain ? 0 : options.otherDomainWork);
    if (cost >= leastCost) continue;
    leastCost = cost;
    chosen = runner;
  }
  return chosen && {runnerId: chosen.runnerId, reason: 'least-work'};
}

/**
 * Orders runners by the call at which this entry would next use them if it gave
 * each a share of its calls in proportion to its speed. A runner that it has
 * not used starts at a random one of these calls, as entries would all begin
 * with the same runner.
 */
function byNextTurn(
  runners: readonly PlainCandidate[],
  random: () => number,
): PlainCandidate[] {
  const totalSpeed = runners.reduce((sum, {speed = 1}) => sum + speed, 0);
  const turnOf = ({lastSent, speed = 1}: PlainCandidate) => {
    const callsPerTurn = totalSpeed / speed;
    return lastSent === undefined
      ? random() * callsPerTurn
      : lastSent + callsPerTurn;
  };
  return runners
    .map(runner => ({runner, turn: turnOf(runner)}))
    .sort((a, b) => a.turn - b.turn)
    .map(({runner}) => runner);
}

function meanWorkCost(
  runners: readonly PlainCandidate[],
  {meanWorkCost, maxTotalCost}: ChoosePlainRunnerOptions,
): number {
  const totalWork = runners.reduce((sum, {meanWork}) => sum + meanWork, 0);
  return Math.min(meanWorkCost, maxTotalCost / Math.max(totalWork, 1));
}
