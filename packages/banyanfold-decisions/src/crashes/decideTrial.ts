/** A suspect that requests a trial, and the trials of other suspects. */
export interface TrialView {
  fingerprint: string;
  /** Number of crashes under it; suspects are tried in order of it. */
  crashes: number;
  /** Whether it may be quarantined once all entries report the last crash. */
  isVerdictPending: boolean;
  /** Runners that could run it, best first. */
  runnerIds: readonly string[];
  /** Runners of the trials in progress, by fingerprint. */
  activeTrials: ReadonlyMap<string, string>;
  /** Crashes under each other suspect that waits for a trial. */
  otherCrashCounts: readonly number[];
}

export type TrialDecision =
  | {kind: 'run'; runnerId: string}
  | {
      kind: 'wait';
      reason: 'under-way' | 'being-judged' | 'others-first' | 'runners-taken';
    };

/**
 * Decides where a suspect may run: at a runner where no other suspect runs, and
 * never at two runners at once. If that runner crashes, no other suspect was at
 * all the runners that crashed under this one. The suspect with the most
 * crashes goes first: once it is quarantined, the suspects that ran beside it
 * need no trial.
 *
 * Designed for dozens of suspects that were at the same two runners.
 *
 * @example
 * decideTrial({fingerprint: 'a', crashes: 2, isVerdictPending: false,
 *   runnerIds: ['r1', 'r2'], activeTrials: new Map([['b', 'r1']]),
 *   otherCrashCounts: []})
 * // {kind: 'run', runnerId: 'r2'}
 */
export function decideTrial(view: TrialView): TrialDecision {
  const {fingerprint, crashes, runnerIds, activeTrials, otherCrashCounts} =
    view;
  if (activeTrials.has(fingerprint)) return {kind: 'wait', reason: 'under-way'};
  if (view.isVerdictPending) return {kind: 'wait', reason: 'being-judged'};
  if (otherCrashCounts.some(others => others > crashes)) {
    return {kind: 'wait', reason: 'others-first'};
  }
  const occupied = new Set(activeTrials.values());
  const runnerId = runnerIds.find(id => !occupied.has(id));
  if (runnerId === undefined) return {kind: 'wait', reason: 'runners-taken'};
  return {kind: 'run', runnerId};
}
