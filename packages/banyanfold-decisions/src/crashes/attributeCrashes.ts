import {joinFingerprints, splitFingerprints} from './fingerprintSet.js';

/**
 * Runner crashes during which a fingerprint was in flight at the runner. A
 * fingerprint stands for one request, or for a prompt part that many share.
 */
export interface CrashHistory {
  fingerprint: string;
  /** Incarnations of runners that crashed since its last complete answer. */
  crashes: ReadonlySet<string>;
  /** Whether runners answered it shortly before these crashes. */
  wasAnswered: boolean;
  /** Time since the first of these crashes, in ms. */
  crashingForMs: number;
  /** Trials whose result is unknown: neither an answer nor a crash. */
  unresolvedTrials: number;
}

/** A runner that crashed while it ran a request in a trial. */
export interface TrialCrash {
  incarnation: string;
  /** The suspects among the fingerprints of that request. */
  suspects: readonly string[];
}

export interface CrashEvidence {
  histories: Iterable<CrashHistory>;
  trialCrashes: Iterable<TrialCrash>;
  /** Keys quarantined before; their crashes may have been dropped. */
  priorQuarantine: Iterable<string>;
  /** Whether all entries have reported what was at an incarnation. */
  isSettled(incarnation: string): boolean;
}

/**
 * A request with a suspect runs only where no other suspect does; one with all
 * fingerprints of a quarantined key is not run. Others run normally.
 */
export type CrashVerdict = 'suspect' | 'quarantined';

export interface AttributeCrashesOptions {
  /** Number of crashes from which a fingerprint is a suspect. */
  suspectCrashes: number;
  /** Number of crashes from which a fingerprint may be quarantined. */
  quarantineCrashes: number;
  /**
   * Number of unresolved trials that counts as proof against a fingerprint that
   * was not answered before.
   */
  maxUnresolvedTrials: number;
  /** Number of crashes in trials that prove a cause that was answered before. */
  trialCrashesIfAnswered: number;
  /**
   * How long after its first crash a fingerprint that was answered before is
   * not a suspect yet, in ms.
   */
  answerGraceMs: number;
}

/**
 * A cause may crash five runners, and reach three more once all entries can
 * know of it. The third run is therefore a trial already, and two of the three
 * remaining runs may end without a result.
 */
export const DEFAULT_ATTRIBUTE_CRASHES_OPTIONS: AttributeCrashesOptions = {
  suspectCrashes: 2,
  quarantineCrashes: 3,
  maxUnresolvedTrials: 2,
  trialCrashesIfAnswered: 2,
  answerGraceMs: 1_500,
};

/** Fingerprints of which at least one caused the crash in a trial. */
interface Candidate {
  fingerprints: readonly string[];
  /** Crashes with all of them that are settled and not explained yet. */
  crashes: readonly string[];
}

/**
 * Decides which requests and prompt parts crash runners, as opposed to those
 * that were only in flight at a runner that crashed.
 *
 * Dozens of requests are in flight at a runner that crashes, and those that are
 * retried together meet again at the next one. A count of crashes alone would
 * quarantine them with the cause, or quarantine what all runners of a rack had
 * when it lost power. A fingerprint is therefore the cause only if a runner
 * crashed while it ran a request with it in a trial, and no other fingerprint
 * was at all the runners that crashed under it. Crashes attributed to it don't
 * count against others.
 *
 * What runners answered shortly before is most likely sound: requests that share
 * it were at several runners that failed together. A trial's runner may fail by
 * chance too, or return an error, so one crash in a trial or trials without a
 * result don't prove it the cause.
 *
 * If the request of a trial had several suspects and no answer tells them apart,
 * only requests with all of them are quarantined, and each one by itself stays
 * a suspect.
 *
 * Designed for requests that share a prompt part, among many more requests that
 * share all their other parts and their runners.
 *
 * @returns verdicts by key; fingerprints that run normally are omitted.
 * @example
 * attributeCrashes({histories: [{fingerprint: 'a', crashes: new Set(['r1', 'r2',
 *   'r3']), wasAnswered: false, crashingForMs: 900, unresolvedTrials: 0}],
 *   trialCrashes: [{incarnation: 'r3', suspects: ['a']}], priorQuarantine: [],
 *   isSettled: () => true}) // Map {'a' => 'quarantined'}
 */
export function attributeCrashes(
  evidence: CrashEvidence,
  options: AttributeCrashesOptions = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
): Map<string, CrashVerdict> {
  return new Attribution(evidence, options).decide();
}

class Attribution {
  private readonly histories: ReadonlyMap<string, CrashHistory>;
  private readonly trialCrashes: readonly TrialCrash[];
  private readonly verdicts = new Map<string, CrashVerdict>();
  private readonly explained = new Set<string>();
  /** Members of quarantined combinations. */
  private readonly undecided = new Set<string>();

  constructor(
    private readonly evidence: CrashEvidence,
    private readonly options: AttributeCrashesOptions,
  ) {
    this.histories = new Map(
      [...evidence.histories].map(each => [each.fingerprint, each]),
    );
    this.trialCrashes = [...evidence.trialCrashes];
  }

  decide(): Map<string, CrashVerdict> {
    for (const key of this.evidence.priorQuarantine) {
      this.quarantine(splitFingerprints(key));
    }
    for (const fingerprints of this.orderedCandidates()) {
      const candidate = this.candidateOf(fingerprints);
      if (this.isCause(candidate)) this.quarantine(candidate.fingerprints);
    }
    for (const fingerprint of this.undecided) this.markSuspect(fingerprint);
    for (const history of this.histories.values()) {
      if (this.isSuspect(history)) this.markSuspect(history.fingerprint);
    }
    return this.verdicts;
  }

  /** Suspects of trials, those with the most crashes first. */
  private orderedCandidates(): Array<readonly string[]> {
    const ofTrials = this.trialCrashes.map(trial =>
      trial.suspects.filter(fingerprint =>
        this.histories.get(fingerprint)?.crashes.has(trial.incarnation),
      ),
    );
    const unresolved = [...this.histories.values()]
      .filter(history => this.hasUnresolvedTrials(history))
      .map(({fingerprint}) => [fingerprint]);
    return [...ofTrials, ...unresolved]
      .map(fingerprints => ({
        fingerprints,
        count: this.commonCrashes(fingerprints).length,
        key: joinFingerprints(fingerprints),
      }))
      .sort((a, b) => b.count - a.count || compare(a.key, b.key))
      .map(({fingerprints}) => fingerprints);
  }

  /** Leaves out what was answered after the crashes of the others. */
  private candidateOf(fingerprints: readonly string[]): Candidate {
    const {quarantineCrashes} = this.options;
    const left = fingerprints.filter(
      fingerprint => this.countable([fingerprint]).length >= quarantineCrashes,
    );
    return {fingerprints: left, crashes: this.countable(left)};
  }

  /** Crashes with all the fingerprints that are settled and unexplained. */
  private countable(fingerprints: readonly string[]): string[] {
    return this.commonCrashes(fingerprints).filter(
      incarnation =>
        !this.explained.has(incarnation) &&
        this.evidence.isSettled(incarnation),
    );
  }

  private commonCrashes(fingerprints: readonly string[]): string[] {
    const [first, ...others] = fingerprints.map(fingerprint =>
      this.crashesOf(fingerprint),
    );
    return [...(first ?? [])].filter(incarnation =>
      others.every(crashes => crashes.has(incarnation)),
    );
  }

  private crashesOf(fingerprint: string): ReadonlySet<string> {
    return this.histories.get(fingerprint)?.crashes ?? new Set();
  }

  private isCause({fingerprints, crashes}: Candidate): boolean {
    if (crashes.length < this.options.quarantineCrashes) return false;
    if (this.needsMoreTrials(fingerprints)) return false;
    const [only, ...others] = fingerprints;
    if (others.length === 0) {
      const history = this.histories.get(only!);
      if (history && this.hasUnresolvedTrials(history)) return true;
    }
    return ![...this.histories.values()].some(
      other =>
        !other.wasAnswered &&
        !fingerprints.includes(other.fingerprint) &&
        crashes.every(incarnation => other.crashes.has(incarnation)),
    );
  }

  private needsMoreTrials(fingerprints: readonly string[]): boolean {
    const wereAnswered = fingerprints.every(
      fingerprint => this.histories.get(fingerprint)?.wasAnswered,
    );
    const {trialCrashesIfAnswered} = this.options;
    return (
      wereAnswered &&
      this.countTrialCrashes(fingerprints) < trialCrashesIfAnswered
    );
  }

  /** Number of trials with all the fingerprints in which a runner crashed. */
  private countTrialCrashes(fingerprints: readonly string[]): number {
    const crashes = new Set(this.commonCrashes(fingerprints));
    return this.trialCrashes.filter(
      ({incarnation, suspects}) =>
        crashes.has(incarnation) &&
        fingerprints.every(fingerprint => suspects.includes(fingerprint)),
    ).length;
  }

  private hasUnresolvedTrials({unresolvedTrials}: CrashHistory): boolean {
    return unresolvedTrials >= this.options.maxUnresolvedTrials;
  }

  private quarantine(fingerprints: readonly string[]): void {
    this.verdicts.set(joinFingerprints(fingerprints), 'quarantined');
    for (const incarnation of this.commonCrashes(fingerprints)) {
      this.explained.add(incarnation);
    }
    if (fingerprints.length === 1) return;
    for (const fingerprint of fingerprints) this.undecided.add(fingerprint);
  }

  private markSuspect(fingerprint: string): void {
    if (!this.verdicts.has(fingerprint)) {
      this.verdicts.set(fingerprint, 'suspect');
    }
  }

  private isSuspect(history: CrashHistory): boolean {
    const {suspectCrashes, answerGraceMs} = this.options;
    const {crashes, wasAnswered, crashingForMs} = history;
    if (wasAnswered && crashingForMs < answerGraceMs) return false;
    if (crashes.size < suspectCrashes) return false;
    const unexplained = [...crashes].filter(
      incarnation => !this.explained.has(incarnation),
    );
    return unexplained.length >= suspectCrashes;
  }
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
