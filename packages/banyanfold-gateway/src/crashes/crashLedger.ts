import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
  isCombination,
  joinFingerprints,
  splitFingerprints,
  type CrashVerdict,
} from '@banyanfold/decisions';
import type {
  CrashReport,
  SuspectListVersion,
  SuspectList,
  TrialInput,
  TrialOutput,
} from './crashContract.js';
import {CrashEvidence} from './crashEvidence.js';
import {CrashTrials} from './crashTrials.js';

export interface CrashLedgerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Differs between holders and between process starts of one. */
  epoch: string;
  /** Called when a key is quarantined. */
  onQuarantine?: (key: string) => void;
  /** Called when a quarantine turns out to be wrong. */
  onRelease?: (key: string) => void;
}

interface Quarantine {
  atMs: number;
  /** Known from elsewhere; its crashes may not be known here. */
  isPrior: boolean;
}

/**
 * Duration of a quarantine. Another trial follows, as a new version of the
 * runners may handle the request.
 */
export const QUARANTINE_MS = 3_600_000;
/** Maximum number of quarantined keys; the oldest are dropped. */
const MAX_QUARANTINED = 500;
/** Maximum number of suspects in the list for the entries. */
const MAX_LISTED_SUSPECTS = 200;
/** How long the entries are told that a runner has crashed. */
export const CRASH_ALERT_MS = 60_000;

/**
 * Judges, at the holder, the crashes that all entries report. It determines
 * which requests and prompt parts are suspects, where a request with suspects
 * may have a trial, and which ones are quarantined.
 */
export class CrashLedger {
  private readonly evidence: CrashEvidence;
  private readonly trials: CrashTrials;
  private readonly quarantines = new Map<string, Quarantine>();
  /** The fingerprints of all quarantined keys. */
  private quarantinedMembers: ReadonlySet<string> = new Set();
  private verdicts: ReadonlyMap<string, CrashVerdict> = new Map();
  private revision = 0;
  private isChanged = false;
  private nextChangeMs = Number.POSITIVE_INFINITY;
  private lastCrashMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CrashLedgerOptions) {
    const {clock} = options;
    this.trials = new CrashTrials(clock);
    this.evidence = new CrashEvidence({
      clock,
      isQuarantined: fingerprint => this.quarantinedMembers.has(fingerprint),
    });
  }

  /** Adds an entry's report. A report that arrives twice counts once. */
  addReport(report: CrashReport): void {
    for (const {life, fingerprints, answered = []} of report.crashes) {
      this.noteCrash(life, fingerprints, answered);
    }
    for (const fingerprint of report.served) this.noteServed(fingerprint);
    for (const {fingerprint: key, ran} of report.trialsOver) {
      if (this.trials.end(key) && ran) this.noteUnresolved(key);
    }
    this.noteQuarantined(report.quarantined);
  }

  /** Adds keys that an entry or the store knows to be quarantined. */
  noteQuarantined(keys: readonly string[]): void {
    const atMs = this.options.clock.nowMs();
    for (const key of keys) {
      if (this.quarantines.has(key)) continue;
      this.addQuarantine(key, {atMs, isPrior: true});
      this.isChanged = true;
    }
  }

  /** The list of suspects for an entry that has received version `known`. */
  suspectListFor(known: SuspectListVersion | undefined): SuspectList {
    this.updateVerdicts();
    const {epoch, clock} = this.options;
    const {revision} = this;
    const agoMs = Math.round(clock.nowMs() - this.lastCrashMs);
    const crashedAgoMs = agoMs <= CRASH_ALERT_MS ? agoMs : undefined;
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision, crashedAgoMs};
    }
    const suspects = [...this.listQuarantined(), ...this.listSuspects()];
    return {epoch, revision, suspects, crashedAgoMs};
  }

  /** Chooses a runner for a trial, or returns why the request has to wait. */
  permitTrial(input: TrialInput): TrialOutput {
    for (const overdue of this.trials.expireOverdue()) {
      this.noteUnresolved(overdue);
    }
    this.updateVerdicts();
    const suspects = splitFingerprints(input.fingerprint);
    if (this.isQuarantined(suspects)) return {reason: 'quarantined'};
    const decision = this.trials.permit(input, {
      isVerdictPending: suspects.some(each =>
        this.evidence.isBeingJudged(each),
      ),
      fewestCrashes: key =>
        Math.min(
          ...splitFingerprints(key).map(each => this.evidence.crashCount(each)),
        ),
    });
    if (decision.kind === 'wait') return {reason: decision.reason};
    const {runnerId} = decision;
    this.options.logger.info('trial', {
      fingerprint: input.fingerprint,
      runner: runnerId,
    });
    return {runnerId, reason: 'alone'};
  }

  private noteCrash(
    crashId: string,
    fingerprints: readonly string[],
    answered: readonly string[],
  ): void {
    this.lastCrashMs = this.options.clock.nowMs();
    this.evidence.noteReport(crashId);
    const trialKey = this.trials.endByCrash(crashId, fingerprints);
    const suspects = trialKey === undefined ? [] : splitFingerprints(trialKey);
    for (const fingerprint of fingerprints) {
      const isTrial = suspects.includes(fingerprint);
      const isNew = this.evidence.addCrash(crashId, fingerprint, isTrial);
      this.isChanged ||= isNew;
    }
    for (const fingerprint of answered) {
      this.evidence.noteAnsweredBefore(fingerprint);
    }
    if (trialKey === undefined) return;
    this.evidence.addTrialCrash(crashId, suspects);
    this.options.logger.warn('trial-crashed', {
      fingerprint: trialKey,
      crash: crashId,
    });
  }

  /** What is answered completely doesn't crash runners. */
  private noteServed(fingerprint: string): void {
    if (this.evidence.noteAnswered(fingerprint)) this.isChanged = true;
    for (const [key, quarantine] of this.quarantines) {
      if (!quarantine.isPrior || !isCombination(key)) continue;
      const members = splitFingerprints(key);
      if (!members.includes(fingerprint)) continue;
      const left = members.filter(member => member !== fingerprint);
      this.quarantines.delete(key);
      this.addQuarantine(joinFingerprints(left), quarantine);
      this.isChanged = true;
    }
  }

  private noteUnresolved(trialKey: string): void {
    for (const fingerprint of splitFingerprints(trialKey)) {
      this.evidence.noteUnresolvedTrial(fingerprint);
    }
    this.isChanged = true;
  }

  private updateVerdicts(): void {
    const nowMs = this.options.clock.nowMs();
    this.endQuarantines(nowMs);
    if (this.evidence.evictOld()) this.isChanged = true;
    if (!this.isChanged && nowMs < this.nextChangeMs) return;
    this.isChanged = false;
    const before = this.verdicts;
    this.verdicts = this.evidence.judge(this.priorKeys());
    this.nextChangeMs = this.evidence.nextChangeMs(
      DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
    );
    if (areVerdictsEqual(before, this.verdicts)) return;
    this.revision += 1;
    this.logSuspects(before);
    this.updateQuarantines(nowMs);
  }

  private logSuspects(before: ReadonlyMap<string, CrashVerdict>): void {
    const {logger} = this.options;
    for (const [fingerprint, verdict] of this.verdicts) {
      if (verdict !== 'suspect' || before.has(fingerprint)) continue;
      logger.info('suspect', {
        fingerprint,
        crashes: this.evidence.crashIds(fingerprint).join(','),
        answeredAgoMs: this.evidence.answeredAgoMs(fingerprint) ?? 'none',
      });
    }
    for (const [fingerprint, verdict] of before) {
      if (verdict !== 'suspect' || this.verdicts.has(fingerprint)) continue;
      logger.info('suspect-cleared', {
        fingerprint,
        answeredAgoMs: this.evidence.answeredAgoMs(fingerprint) ?? 'none',
      });
    }
  }

  /** Records the keys whose verdict changed to or from quarantine. */
  private updateQuarantines(nowMs: number): void {
    for (const [key, {isPrior}] of this.quarantines) {
      if (isPrior || this.verdicts.get(key) === 'quarantined') continue;
      this.quarantines.delete(key);
      this.updateMembers();
      this.options.logger.warn('request-released', {fingerprint: key});
      this.options.onRelease?.(key);
    }
    for (const [key, verdict] of this.verdicts) {
      if (verdict !== 'quarantined' || this.quarantines.has(key)) continue;
      this.addQuarantine(key, {atMs: nowMs, isPrior: false});
      this.reportQuarantine(key);
    }
  }

  private reportQuarantine(key: string): void {
    const {logger, metrics, onQuarantine} = this.options;
    metrics.count('requests_quarantined_total');
    const members = splitFingerprints(key);
    logger.warn('request-quarantined', {
      fingerprint: key,
      crashes: this.evidence.crashIds(members[0]!).join(','),
      unresolvedTrials: this.evidence.unresolvedTrials(members[0]!),
      answeredAgoMs: members
        .map(each => this.evidence.answeredAgoMs(each) ?? 'none')
        .join(','),
    });
    onQuarantine?.(key);
  }

  private addQuarantine(key: string, quarantine: Quarantine): void {
    this.quarantines.set(key, quarantine);
    const [oldest] = this.quarantines.keys();
    if (this.quarantines.size > MAX_QUARANTINED) {
      this.quarantines.delete(oldest!);
    }
    this.updateMembers();
  }

  private updateMembers(): void {
    this.quarantinedMembers = new Set(
      [...this.quarantines.keys()].flatMap(splitFingerprints),
    );
  }

  /** Leaves what was quarantined for long enough as suspects. */
  private endQuarantines(nowMs: number): void {
    for (const [key, {atMs}] of this.quarantines) {
      if (nowMs - atMs < QUARANTINE_MS) continue;
      this.quarantines.delete(key);
      this.updateMembers();
      for (const fingerprint of splitFingerprints(key)) {
        this.evidence.reduceToSuspect(fingerprint);
      }
      this.isChanged = true;
    }
  }

  private priorKeys(): string[] {
    return [...this.quarantines]
      .filter(([, {isPrior}]) => isPrior)
      .map(([key]) => key);
  }

  private isQuarantined(fingerprints: readonly string[]): boolean {
    return [...this.quarantines.keys()].some(key =>
      splitFingerprints(key).every(each => fingerprints.includes(each)),
    );
  }

  private listQuarantined() {
    const nowMs = this.options.clock.nowMs();
    return [...this.quarantines].map(([fingerprint, {atMs}]) => ({
      fingerprint,
      quarantinedMs: Math.max(0, Math.round(atMs + QUARANTINE_MS - nowMs)),
    }));
  }

  private listSuspects() {
    const suspects = [...this.verdicts]
      .filter(([, verdict]) => verdict === 'suspect')
      .map(([fingerprint]) => fingerprint);
    const {evidence} = this;
    if (suspects.length > MAX_LISTED_SUSPECTS) {
      suspects.sort((a, b) => evidence.crashCount(b) - evidence.crashCount(a));
      suspects.length = MAX_LISTED_SUSPECTS;
    }
    return suspects.map(fingerprint => {
      const agoMs = evidence.crashedAgoMs(fingerprint);
      const crashedAgoMs = agoMs === undefined ? undefined : Math.round(agoMs);
      return {fingerprint, crashedAgoMs};
    });
  }
}

function areVerdictsEqual(
  one: ReadonlyMap<string, CrashVerdict>,
  other: ReadonlyMap<string, CrashVerdict>,
): boolean {
  if (one.size !== other.size) return false;
  return [...one].every(([key, verdict]) => other.get(key) === verdict);
}
