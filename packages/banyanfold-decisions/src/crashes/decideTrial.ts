/** A request that waits for a trial, by its suspects. */
export interface WaitingTrial {
  /** The fewest crashes that one of its suspects has. */
  crashes: number;
  /** Number of its suspects. */
  suspects: number;
}

/** A request that wants a trial, and the trials of others. */
export interface TrialView {
  /** The suspects among the fingerprints of the request. */
  fingerprints: readonly string[];
  /** The fewest crashes that one of them has. */
  crashes: number;
  /**
   * Whether one of them may be quarantined once all entries report the last
   * crash.
   */
  isVerdictPending: boolean;
  /** Runners that could run it, best first. */
  runnerIds: readonly string[];
  /** Runners and suspects of the trials in progress. */
  activeTrials: ReadonlyArray<{
    runnerId: string;
    fingerprints: readonly string[];
  }>;
  /** Other requests that wait for a trial. */
  others: readonly WaitingTrial[];
}

export type TrialDecision =
  | {kind: 'run'; runnerId: string}
  | {
      kind: 'wait';
      reason: 'under-way' | 'being-judged' | 'others-first' | 'runners-taken';
    };

/**
 * Decides where a request with suspects may run: at a runner where no other
 * suspect runs, and never one suspect at two runners at once. If that runner
 * crashes, no other suspect was at all the runners that crashed under these.
 *
 * The request whose suspects have the most crashes goes first: once its cause
 * is quarantined, the suspects that ran beside it need no trial. Of equal ones,
 * the request with the fewest suspects goes first, because its result tells
 * them apart from the others.
 *
 * Designed for dozens of suspects that were at the same two runners.
 *
 * @example
 * decideTrial({fingerprints: ['a'], crashes: 2, isVerdictPending: false,
 *   runnerIds: ['r1', 'r2'], others: [],
 *   activeTrials: [{runnerId: 'r1', fingerprints: ['b']}]})
 * // {kind: 'run', runnerId: 'r2'}
 */
export function decideTrial(view: TrialView): TrialDecision {
  const {fingerprints, runnerIds, activeTrials, others} = view;
  const isUnderWay = activeTrials.some(trial =>
    trial.fingerprints.some(suspect => fingerprints.includes(suspect)),
  );
  if (isUnderWay) return {kind: 'wait', reason: 'under-way'};
  if (view.isVerdictPending) return {kind: 'wait', reason: 'being-judged'};
  if (others.some(other => goesBefore(other, view))) {
    return {kind: 'wait', reason: 'others-first'};
  }
  const occupied = new Set(activeTrials.map(({runnerId}) => runnerId));
  const runnerId = runnerIds.find(id => !occupied.has(id));
  if (runnerId === undefined) return {kind: 'wait', reason: 'runners-taken'};
  return {kind: 'run', runnerId};
}

function goesBefore(
  other: WaitingTrial,
  {crashes, fingerprints}: TrialView,
): boolean {
  if (other.crashes !== crashes) return other.crashes > crashes;
  return other.suspects < fingerprints.length;
}
