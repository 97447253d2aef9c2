import {createHash} from 'node:crypto';

/** One runner that could take a request. */
export interface RunnerChoice {
  runnerId: string;
  failureDomain: string;
  /** Work open there, in the unit of the caller's choice. */
  openWork: number;
  /** The request's adapter is there, or none is asked for. */
  hasAdapter: boolean;
  /** It failed lately; taken only where all did. */
  isSuspect: boolean;
}

export interface ChooseRunnerOptions {
  /** The first runner by affinity is taken up to this many times the mean. */
  boundFactor: number;
  /** And up to this much over the mean, so that quiet times keep affinity. */
  boundSlack: number;
  /** Work that an adapter's fetch counts as. */
  adapterFetchWork: number;
  /** Work that another failure domain counts as; small, to break ties. */
  otherDomainWork: number;
}

export const DEFAULT_CHOOSE_RUNNER_OPTIONS: ChooseRunnerOptions = {
  boundFactor: 1.3,
  boundSlack: 3,
  adapterFetchWork: 1,
  otherDomainWork: 0.05,
};

export interface ChosenRunner {
  runnerId: string;
  reason: 'affinity' | 'least-work';
}

/**
 * Chooses a runner by prefix affinity with bounded load. All entries rank the
 * runners alike by a hash of the key, so that requests that share a prompt meet
 * where it is cached without anything being told; a runner over the bound is
 * passed over, and without a key the least loaded one is taken. Runners of the
 * entry's own failure domain go first: a prompt is then cached once a domain,
 * and its bytes stay within it.
 *
 * Answers the load of many short prompts that share long prefixes while one
 * group of them bursts.
 *
 * @param affinityKey what the request shares with others; empty for none.
 * @example chooseRunner(choices, 'model/a1/5c1e', 'hall-a')?.runnerId
 */
export function chooseRunner(
  choices: readonly RunnerChoice[],
  affinityKey: string,
  failureDomain: string,
  options: ChooseRunnerOptions = DEFAULT_CHOOSE_RUNNER_OPTIONS,
): ChosenRunner | undefined {
  const sound = choices.filter(choice => !choice.isSuspect);
  const candidates = sound.length > 0 ? sound : choices;
  if (candidates.length === 0) return undefined;
  const cost = (choice: RunnerChoice) => costOf(choice, failureDomain, options);
  if (affinityKey !== '') {
    const meanWork =
      candidates.reduce((sum, {openWork}) => sum + openWork, 0) /
      candidates.length;
    const bound = meanWork * options.boundFactor + options.boundSlack;
    const ranked = [...candidates]
      .map(choice => ({choice, rank: rankOf(affinityKey, choice.runnerId)}))
      .sort((a, b) => (a.rank < b.rank ? 1 : -1));
    const within = ranked.filter(({choice}) => cost(choice) <= bound);
    const first =
      within.find(({choice}) => choice.failureDomain === failureDomain) ??
      within[0];
    if (first) return {runnerId: first.choice.runnerId, reason: 'affinity'};
  }
  let best = candidates[0]!;
  for (const choice of candidates) {
    if (cost(choice) < cost(best)) best = choice;
  }
  return {runnerId: best.runnerId, reason: 'least-work'};
}

function costOf(
  choice: RunnerChoice,
  failureDomain: string,
  options: ChooseRunnerOptions,
): number {
  let cost = choice.openWork;
  if (!choice.hasAdapter) cost += options.adapterFetchWork;
  if (choice.failureDomain !== failureDomain) cost += options.otherDomainWork;
  return cost;
}

function rankOf(key: string, runnerId: string): string {
  return createHash('sha1').update(`${key}\n${runnerId}`).digest('hex');
}
