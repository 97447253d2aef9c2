/** A suspect that asks to run, and what else is tried now. */
export interface TrialView {
  fingerprint: string;
  /** Crashes under it, by which those that asked lately are put in order. */
  crashes: number;
  /** It may be found guilty as soon as all have told of the last crash. */
  isVerdictPending: boolean;
  /** Where it could run, the best one first. */
  runnerIds: readonly string[];
  /** Trials under way: the runner of each, by fingerprint. */
  activeTrials: ReadonlyMap<string, string>;
  /** Crashes under each other suspect that asked lately and isn't tried now. */
  otherCrashCounts: readonly number[];
}

export type TrialDecision =
  | {kind: 'run'; runnerId: string}
  | {
      kind: 'wait';
      reason: 'under-way' | 'being-judged' | 'others-first' | 'runners-taken';
    };

/**
 * Where a suspect may run: by itself at a runner, as far as suspects go, and
 * never at two runners at once. If that runner crashes, no other suspect was at
 * all the runners that crashed under it. The one under which most have crashed
 * goes first: when it is found guilty, those that ran beside it need no trial.
 *
 * Answers the load of dozens of suspects that were at the same two runners.
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
  const taken = new Set(activeTrials.values());
  const runnerId = runnerIds.find(id => !taken.has(id));
  if (runnerId === undefined) return {kind: 'wait', reason: 'runners-taken'};
  return {kind: 'run', runnerId};
}
