/** What is known of one request that was at runners when they crashed. */
export interface CrashHistory {
  fingerprint: string;
  /** The lives of runners that crashed while they had it. */
  crashes: ReadonlySet<string>;
  /** One of them crashed when it ran there by itself. */
  hasCrashedAlone: boolean;
  /** Runs by itself of which nothing is known: neither answered nor crashed. */
  unresolvedTrials: number;
  /** Found guilty before; the crashes that proved it may be forgotten. */
  hasPriorQuarantine: boolean;
}

/**
 * A suspect runs where no other suspect does; one in quarantine isn't run.
 * Requests without a verdict run like all others.
 */
export type CrashVerdict = 'suspect' | 'quarantined';

export interface AttributeCrashesOptions {
  /** From so many on a request is a suspect. */
  suspectCrashes: number;
  /** From so many on it may be put into quarantine. */
  quarantineCrashes: number;
  /** So many trials without a result are taken for a proof. */
  maxUnresolvedTrials: number;
}

/**
 * A request may crash three runners, and reach three more once all can know. So
 * the third run is watched already, and of the three that are left two may end
 * without a result.
 */
export const DEFAULT_ATTRIBUTE_CRASHES_OPTIONS: AttributeCrashesOptions = {
  suspectCrashes: 2,
  quarantineCrashes: 3,
  maxUnresolvedTrials: 2,
};

/**
 * Whether a request crashes its runners, or only was at them when others did.
 * Dozens of requests are at a runner that crashes, and those that are sent on
 * together meet again at the next one: a count alone would put them into
 * quarantine with the one that did it, or with what crashed several runners at
 * once, such as a rack without power. So a request is to blame only if a runner
 * crashed when it ran there by itself, and no other one was at all the runners
 * that crashed under it. What it is to blame for doesn't count against the others.
 *
 * Answers the load of one request that comes again and again, among many that
 * share its model and so its runners.
 *
 * @param isSettled whether all entries have told by now who was at a runner.
 * @returns by fingerprint; those that run like all others are left out.
 * @example
 * attributeCrashes([{fingerprint: 'a', crashes: new Set(['r1', 'r2', 'r3']),
 *   hasCrashedAlone: true, unresolvedTrials: 0, hasPriorQuarantine: false}],
 *   () => true)
 * // Map {'a' => 'quarantined'}
 */
export function attributeCrashes(
  rows: Iterable<CrashHistory>,
  isSettled: (life: string) => boolean,
  options: AttributeCrashesOptions = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
): Map<string, CrashVerdict> {
  const byCrashes = [...rows].sort(
    (a, b) =>
      b.crashes.size - a.crashes.size || compare(a.fingerprint, b.fingerprint),
  );
  const verdicts = new Map<string, CrashVerdict>();
  const explained = new Set<string>();
  for (const row of byCrashes) {
    const left = [...row.crashes].filter(life => !explained.has(life));
    const settled = left.filter(isSettled);
    if (row.hasPriorQuarantine || isToBlame(row, settled, byCrashes, options)) {
      verdicts.set(row.fingerprint, 'quarantined');
      for (const life of row.crashes) explained.add(life);
    } else if (left.length >= options.suspectCrashes) {
      verdicts.set(row.fingerprint, 'suspect');
    }
  }
  return verdicts;
}

function isToBlame(
  row: CrashHistory,
  crashes: readonly string[],
  rows: readonly CrashHistory[],
  {quarantineCrashes, maxUnresolvedTrials}: AttributeCrashesOptions,
): boolean {
  if (crashes.length < quarantineCrashes) return false;
  if (row.unresolvedTrials >= maxUnresolvedTrials) return true;
  if (!row.hasCrashedAlone) return false;
  return !rows.some(
    other => other !== row && crashes.every(life => other.crashes.has(life)),
  );
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
