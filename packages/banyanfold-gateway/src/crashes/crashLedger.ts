import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
  attributeCrashes,
  type CrashHistory,
  type CrashVerdict,
} from '@banyanfold/decisions';
import type {
  CrashReport,
  SuspectListVersion,
  SuspectList,
  TrialInput,
  TrialOutput,
} from './crashContract.js';
import {CrashTrials} from './crashTrials.js';

export interface CrashLedgerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Differs between holders and between process starts of one. */
  epoch: string;
  /** Called when a request is quarantined. */
  onQuarantine?: (fingerprint: string) => void;
}

interface LedgerRow extends CrashHistory {
  crashes: Set<string>;
  /** Time of the last event that concerns the request. */
  atMs: number;
  quarantinedAtMs?: number;
}

/**
 * Duration of a quarantine. Another trial follows, as a new version of the
 * runners may handle the request.
 */
export const QUARANTINE_MS = 3_600_000;
/** How long the crashes of a request that isn't quarantined are kept. */
const CRASH_RETENTION_MS = 600_000;
const EVICTION_INTERVAL_MS = 1_000;
/** Maximum number of rows, some 200 bytes each. */
const MAX_ROWS = 4_000;
/** Number of rows evicted at once, so that rows are rarely sorted. */
const EVICTED_ROWS = 400;
/** Maximum crashes per row. Only crashes in trials add evidence beyond it. */
const MAX_CRASHES_PER_ROW = 16;
/**
 * Time until all entries have reported a crash: two exchanges and one of a
 * relay.
 */
const REPORT_WINDOW_MS = 700;

/**
 * Collects, at the holder, the crashes that all entries report. It determines
 * which requests are suspects, and at which runner a suspect may have a trial.
 */
export class CrashLedger {
  private readonly rows = new Map<string, LedgerRow>();
  private readonly reportTimes = new Map<string, number>();
  private readonly trials: CrashTrials;
  private verdicts: ReadonlyMap<string, CrashVerdict> = new Map();
  private revision = 0;
  private isChanged = false;
  private lastEvictionMs = Number.NEGATIVE_INFINITY;
  private nextWindowEndMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: CrashLedgerOptions) {
    this.trials = new CrashTrials(options.clock);
  }

  /** Adds an entry's report. A report that arrives twice counts once. */
  addReport(report: CrashReport): void {
    for (const {life: crashId, fingerprints} of report.crashes) {
      for (const fingerprint of fingerprints) {
        this.noteCrash(crashId, fingerprint);
      }
    }
    for (const fingerprint of report.served) this.noteServed(fingerprint);
    for (const {fingerprint, ran} of report.trialsOver) {
      this.noteTrialOver(fingerprint, ran);
    }
    this.noteQuarantined(report.quarantined);
  }

  /** Adds requests that an entry or the store knows to be quarantined. */
  noteQuarantined(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) {
      const row = this.getOrAddRow(fingerprint);
      if (row.hasPriorQuarantine) continue;
      row.hasPriorQuarantine = true;
      row.quarantinedAtMs ??= this.options.clock.nowMs();
      this.isChanged = true;
    }
  }

  /** The list of suspects for an entry that has received version `known`. */
  suspectListFor(known: SuspectListVersion | undefined): SuspectList {
    this.updateVerdicts();
    const {epoch, clock} = this.options;
    const {revision} = this;
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision};
    }
    const nowMs = clock.nowMs();
    const suspects = [...this.verdicts.keys()].map(fingerprint => {
      const {quarantinedAtMs} = this.rows.get(fingerprint) ?? {};
      if (quarantinedAtMs === undefined) return {fingerprint};
      const remainingMs = quarantinedAtMs + QUARANTINE_MS - nowMs;
      return {fingerprint, quarantinedMs: Math.max(0, Math.round(remainingMs))};
    });
    return {epoch, revision, suspects};
  }

  /** Chooses a runner for a trial, or returns why the suspect has to wait. */
  permitTrial(input: TrialInput): TrialOutput {
    const {fingerprint} = input;
    for (const overdue of this.trials.expireOverdue()) {
      this.noteUnresolved(overdue);
    }
    this.updateVerdicts();
    if (this.verdicts.get(fingerprint) === 'quarantined') {
      return {reason: 'quarantined'};
    }
    const crashesOf = (id: string) => this.rows.get(id)?.crashes.size ?? 0;
    const facts = {
      crashes: crashesOf(fingerprint),
      isVerdictPending: this.isBeingJudged(fingerprint),
    };
    const decision = this.trials.permit(input, facts, crashesOf);
    if (decision.kind === 'wait') return {reason: decision.reason};
    const {runnerId} = decision;
    this.options.logger.info('trial', {fingerprint, runner: runnerId});
    return {runnerId, reason: 'alone'};
  }

  private noteCrash(crashId: string, fingerprint: string): void {
    const row = this.getOrAddRow(fingerprint);
    row.atMs = this.options.clock.nowMs();
    if (row.crashes.has(crashId)) return;
    const isTrial = this.trials.isTrialCrash(fingerprint, crashId);
    if (!isTrial && row.crashes.size >= MAX_CRASHES_PER_ROW) return;
    row.crashes.add(crashId);
    if (isTrial) row.hasCrashedAlone = true;
    if (!this.reportTimes.has(crashId)) this.reportTimes.set(crashId, row.atMs);
    if (row.hasCrashedAlone) this.trials.end(fingerprint);
    this.isChanged = true;
  }

  /** Removes a suspect: a request that completes doesn't crash runners. */
  private noteServed(fingerprint: string): void {
    this.trials.end(fingerprint);
    const row = this.rows.get(fingerprint);
    if (!row || row.hasPriorQuarantine) return;
    this.rows.delete(fingerprint);
    this.isChanged = true;
  }

  private noteTrialOver(fingerprint: string, ran: boolean): void {
    if (this.trials.end(fingerprint) && ran) this.noteUnresolved(fingerprint);
  }

  private noteUnresolved(fingerprint: string): void {
    const row = this.rows.get(fingerprint);
    if (!row) return;
    row.unresolvedTrials += 1;
    this.isChanged = true;
  }

  private updateVerdicts(): void {
    const nowMs = this.options.clock.nowMs();
    this.evictOld(nowMs);
    if (!this.isChanged && nowMs < this.nextWindowEndMs) return;
    this.isChanged = false;
    const before = this.verdicts;
    this.verdicts = attributeCrashes(this.rows.values(), crashId =>
      this.isFullyReported(crashId, nowMs),
    );
    this.nextWindowEndMs = this.findNextWindowEndMs(nowMs);
    if (areVerdictsEqual(before, this.verdicts)) return;
    this.revision += 1;
    this.updateQuarantine(nowMs);
  }

  /** Updates the rows whose verdict changed to or from quarantine. */
  private updateQuarantine(nowMs: number): void {
    const {logger, metrics, onQuarantine} = this.options;
    for (const [fingerprint, row] of this.rows) {
      const isQuarantined = this.verdicts.get(fingerprint) === 'quarantined';
      if (!isQuarantined) row.quarantinedAtMs = undefined;
      if (!isQuarantined || row.quarantinedAtMs !== undefined) continue;
      row.quarantinedAtMs = nowMs;
      metrics.count('requests_quarantined_total');
      logger.warn('request-quarantined', {
        fingerprint,
        crashes: [...row.crashes].join(','),
        unresolvedTrials: row.unresolvedTrials,
      });
      onQuarantine?.(fingerprint);
    }
  }

  /** Whether it crashed a runner in a trial and reports are outstanding. */
  private isBeingJudged(fingerprint: string): boolean {
    const row = this.rows.get(fingerprint);
    const {quarantineCrashes} = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS;
    if (!row?.hasCrashedAlone || row.crashes.size < quarantineCrashes) {
      return false;
    }
    const nowMs = this.options.clock.nowMs();
    return [...row.crashes].some(
      crashId => !this.isFullyReported(crashId, nowMs),
    );
  }

  /** Whether all entries have reported which requests were at the runner. */
  private isFullyReported(crashId: string, nowMs: number): boolean {
    const reportedMs =
      this.reportTimes.get(crashId) ?? Number.NEGATIVE_INFINITY;
    return nowMs - reportedMs >= REPORT_WINDOW_MS;
  }

  private findNextWindowEndMs(nowMs: number): number {
    let nextMs = Number.POSITIVE_INFINITY;
    for (const reportedMs of this.reportTimes.values()) {
      const atMs = reportedMs + REPORT_WINDOW_MS;
      if (atMs > nowMs) nextMs = Math.min(nextMs, atMs);
    }
    return nextMs;
  }

  private getOrAddRow(fingerprint: string): LedgerRow {
    let row = this.rows.get(fingerprint);
    if (!row) {
      row = {
        fingerprint,
        crashes: new Set(),
        hasCrashedAlone: false,
        unresolvedTrials: 0,
        hasPriorQuarantine: false,
        atMs: this.options.clock.nowMs(),
      };
      this.rows.set(fingerprint, row);
      this.evictSurplus();
    }
    return row;
  }

  private evictOld(nowMs: number): void {
    if (nowMs - this.lastEvictionMs < EVICTION_INTERVAL_MS) return;
    this.lastEvictionMs = nowMs;
    for (const row of this.rows.values()) {
      const {quarantinedAtMs} = row;
      if (quarantinedAtMs !== undefined) {
        if (nowMs - quarantinedAtMs >= QUARANTINE_MS) this.endQuarantine(row);
      } else if (nowMs - row.atMs >= CRASH_RETENTION_MS) {
        this.rows.delete(row.fingerprint);
        this.isChanged = true;
      }
    }
    for (const [crashId, atMs] of this.reportTimes) {
      if (nowMs - atMs >= CRASH_RETENTION_MS) this.reportTimes.delete(crashId);
    }
  }

  /** Ends a quarantine. Two crashes are kept, so the request is a suspect. */
  private endQuarantine(row: LedgerRow): void {
    const {fingerprint} = row;
    row.crashes = new Set([`${fingerprint}#1`, `${fingerprint}#2`]);
    row.hasCrashedAlone = false;
    row.unresolvedTrials = 0;
    row.hasPriorQuarantine = false;
    row.quarantinedAtMs = undefined;
    row.atMs = this.options.clock.nowMs();
    this.isChanged = true;
  }

  /** Evicts the rows with the fewest crashes, the oldest ones first. */
  private evictSurplus(): void {
    if (this.rows.size <= MAX_ROWS) return;
    const rank = ({crashes, hasPriorQuarantine}: LedgerRow) =>
      hasPriorQuarantine ? MAX_CRASHES_PER_ROW : crashes.size;
    const evicted = [...this.rows.values()]
      .slice(0, -1)
      .sort((a, b) => rank(a) - rank(b) || a.atMs - b.atMs)
      .slice(0, EVICTED_ROWS);
    for (const {fingerprint} of evicted) this.rows.delete(fingerprint);
    this.isChanged = true;
  }
}

function areVerdictsEqual(
  one: ReadonlyMap<string, CrashVerdict>,
  other: ReadonlyMap<string, CrashVerdict>,
): boolean {
  if (one.size !== other.size) return false;
  return [...one].every(([key, verdict]) => other.get(key) === verdict);
}
