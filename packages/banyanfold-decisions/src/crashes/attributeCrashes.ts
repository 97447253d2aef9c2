/** Runner crashes during which one request was in flight at the runner. */
export interface CrashHistory {
  fingerprint: string;
  /** Incarnations of runners that crashed while the request was there. */
  crashes: ReadonlySet<string>;
  /** Whether one of them crashed while it ran this request in a trial. */
  hasCrashedAlone: boolean;
  /** Trials whose result is unknown: neither an answer nor a crash. */
  unresolvedTrials: number;
  /** Whether it was quarantined before; its crashes may have been dropped. */
  hasPriorQuarantine: boolean;
}

/**
 * A suspect runs only where no other suspect does; a quarantined request is not
 * run. Requests without a verdict run normally.
 */
export type CrashVerdict = 'suspect' | 'quarantined';

export interface AttributeCrashesOptions {
  /** Number of crashes from which a request is a suspect. */
  suspectCrashes: number;
  /** Number of crashes from which a request may be quarantined. */
  quarantineCrashes: number;
  /** Number of unresolved trials that counts as proof. */
  maxUnresolvedTrials: number;
}

/**
 * A request may crash three runners, and reach three more once all entries can
 * know of it. The third run is therefore a trial already, and two of the three
 * remaining runs may end without a result.
 */
export const DEFAULT_ATTRIBUTE_CRASHES_OPTIONS: AttributeCrashesOptions = {
  suspectCrashes: 2,
  quarantineCrashes: 3,
  maxUnresolvedTrials: 2,
};

/**
 * Decides which requests crash runners, as opposed to requests that were only
 * in flight at a runner that crashed.
 *
 * Dozens of requests are in flight at a runner that crashes, and those that are
 * retried together meet again at the next one. A count of crashes alone would
 * quarantine them with the cause, or quarantine requests for an event that took
 * down several runners at once, such as a rack without power. A request is
 * therefore the cause only if a runner crashed while it ran there in a trial,
 * and no other request was at all the runners that crashed under it. Crashes
 * attributed to it don't count against other requests.
 *
 * Designed for one request that is sent again and again, among many that share
 * its model and therefore its runners.
 *
 * @param isSettled whether all entries have reported which requests were at an
 * incarnation.
 * @returns verdicts by fingerprint; requests that run normally are omitted.
 * @example
 * attributeCrashes([{fingerprint: 'a', crashes: new Set(['r1', 'r2', 'r3']),
 *   hasCrashedAlone: true, unresolvedTrials: 0, hasPriorQuarantine: false}],
 *   () => true)
 * // Map {'a' => 'quarantined'}
 */
export function attributeCrashes(
  histories: Iterable<CrashHistory>,
  isSettled: (incarnation: string) => boolean,
  options: AttributeCrashesOptions = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
): Map<string, CrashVerdict> {
  const sorted = [...histories].sort(
    (a, b) =>
      b.crashes.size - a.crashes.size || compare(a.fingerprint, b.fingerprint),
  );
  const verdicts = new Map<string, CrashVerdict>();
  const attributed = new Set<string>();
  for (const history of sorted) {
    const unattributed = [...history.crashes].filter(
      incarnation => !attributed.has(incarnation),
    );
    const settled = unattributed.filter(isSettled);
    if (
      history.hasPriorQuarantine ||
      isCause(history, settled, sorted, options)
    ) {
      verdicts.set(history.fingerprint, 'quarantined');
      for (const incarnation of history.crashes) attributed.add(incarnation);
    } else if (unattributed.length >= options.suspectCrashes) {
      verdicts.set(history.fingerprint, 'suspect');
    }
  }
  return verdicts;
}

function isCause(
  history: CrashHistory,
  crashes: readonly string[],
  histories: readonly CrashHistory[],
  {quarantineCrashes, maxUnresolvedTrials}: AttributeCrashesOptions,
): boolean {
  if (crashes.length < quarantineCrashes) return false;
  if (history.unresolvedTrials >= maxUnresolvedTrials) return true;
  if (!history.hasCrashedAlone) return false;
  return !histories.some(
    other =>
      other !== history &&
      crashes.every(incarnation => other.crashes.has(incarnation)),
  );
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
