import type {Clock} from '@banyanfold/core';
import {
  attributeCrashes,
  type CrashHistory,
  type CrashVerdict,
  type TrialCrash,
} from '@banyanfold/decisions';

/** What is known of one fingerprint. */
interface EvidenceRow {
  fingerprint: string;
  /** Times of the crashes since its last answer, by crash. */
  crashes: Map<string, number>;
  /** Time of its last answer; undefined if none is known. */
  answeredMs?: number;
  unresolvedTrials: number;
  /** Time of the last event that concerns it. */
  atMs: number;
}

export interface CrashEvidenceOptions {
  clock: Clock;
  /** Whether a fingerprint is quarantined, by itself or with others. */
  isQuarantined(fingerprint: string): boolean;
}

/** How long the crashes of what isn't quarantined are kept. */
const CRASH_RETENTION_MS = 600_000;
const EVICTION_INTERVAL_MS = 1_000;
/** Maximum number of rows, some 200 bytes each. */
const MAX_ROWS = 4_000;
/** Number of rows evicted at once, so that rows are rarely sorted. */
const EVICTED_ROWS = 400;
/** Maximum crashes per row. Only crashes in trials add evidence beyond it. */
const MAX_CRASHES_PER_ROW = 16;
/** Maximum number of crashes in trials; the oldest are dropped. */
const MAX_TRIAL_CRASHES = 500;
/** An answer so shortly before a crash makes another one likely. */
const ANSWER_RETENTION_MS = 60_000;
/**
 * Time until all entries have reported a crash: two exchanges and one of a
 * relay.
 */
const REPORT_WINDOW_MS = 700;

/**
 * Collects what speaks against and for each fingerprint, at the holder. It is
 * bounded; the fingerprints with the fewest crashes are dropped first.
 */
export class CrashEvidence {
  private readonly rows = new Map<string, EvidenceRow>();
  private readonly reportTimes = new Map<string, number>();
  private readonly trialCrashes = new Map<string, TrialCrash>();
  private lastEvictionMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CrashEvidenceOptions) {}

  /** Returns whether this is news. */
  addCrash(crashId: string, fingerprint: string, isTrial: boolean): boolean {
    const nowMs = this.nowMs;
    const row = this.getOrAddRow(fingerprint);
    row.atMs = nowMs;
    if (row.crashes.has(crashId)) return false;
    if (!isTrial && row.crashes.size >= MAX_CRASHES_PER_ROW) return false;
    row.crashes.set(crashId, nowMs);
    return true;
  }

  /** Records that a crash was reported, whatever was in flight. */
  noteReport(crashId: string): void {
    if (this.reportTimes.has(crashId)) return;
    this.reportTimes.set(crashId, this.nowMs);
  }

  addTrialCrash(crashId: string, suspects: readonly string[]): void {
    this.trialCrashes.set(crashId, {incarnation: crashId, suspects});
    const [oldest] = this.trialCrashes.keys();
    if (this.trialCrashes.size > MAX_TRIAL_CRASHES) {
      this.trialCrashes.delete(oldest!);
    }
  }

  /** Records an answer shortly before the crashes that were just reported. */
  noteAnsweredBefore(fingerprint: string): void {
    const row = this.rows.get(fingerprint);
    if (row) row.answeredMs = this.nowMs;
  }

  /** An answer cancels the crashes before it. Returns whether there were any. */
  noteAnswered(fingerprint: string): boolean {
    const row = this.rows.get(fingerprint);
    if (!row) return false;
    row.answeredMs = this.nowMs;
    row.atMs = this.nowMs;
    const hadEvidence = row.crashes.size > 0 || row.unresolvedTrials > 0;
    row.crashes.clear();
    row.unresolvedTrials = 0;
    return hadEvidence;
  }

  noteUnresolvedTrial(fingerprint: string): void {
    const row = this.rows.get(fingerprint);
    if (row) row.unresolvedTrials += 1;
  }

  /** Forgets the evidence but for two crashes, so that a trial follows. */
  reduceToSuspect(fingerprint: string): void {
    const nowMs = this.nowMs;
    const row = this.getOrAddRow(fingerprint);
    row.crashes = new Map(
      ['#1', '#2'].map(suffix => [fingerprint + suffix, nowMs]),
    );
    row.unresolvedTrials = 0;
    row.atMs = nowMs;
    for (const [crashId, {suspects}] of this.trialCrashes) {
      if (suspects.includes(fingerprint)) this.trialCrashes.delete(crashId);
    }
  }

  judge(priorQuarantine: Iterable<string>): Map<string, CrashVerdict> {
    const nowMs = this.nowMs;
    return attributeCrashes({
      histories: [...this.rows.values()].map(row => historyOf(row, nowMs)),
      trialCrashes: this.trialCrashes.values(),
      priorQuarantine,
      isSettled: crashId => this.isFullyReported(crashId),
    });
  }

  crashIds(fingerprint: string): string[] {
    return [...(this.rows.get(fingerprint)?.crashes.keys() ?? [])];
  }

  crashCount(fingerprint: string): number {
    return this.rows.get(fingerprint)?.crashes.size ?? 0;
  }

  unresolvedTrials(fingerprint: string): number {
    return this.rows.get(fingerprint)?.unresolvedTrials ?? 0;
  }

  /** Time since the last crash in ms; undefined if there is none. */
  crashedAgoMs(fingerprint: string): number | undefined {
    const times = [...(this.rows.get(fingerprint)?.crashes.values() ?? [])];
    return times.length === 0 ? undefined : this.nowMs - Math.max(...times);
  }

  /** Time since its last answer in ms; undefined if none is known. */
  answeredAgoMs(fingerprint: string): number | undefined {
    const {answeredMs} = this.rows.get(fingerprint) ?? {};
    return answeredMs === undefined ? undefined : this.nowMs - answeredMs;
  }

  /** Whether a crash in a trial of it awaits the reports of all entries. */
  isBeingJudged(fingerprint: string): boolean {
    const crashes = this.rows.get(fingerprint)?.crashes;
    if (!crashes) return false;
    const hasTrialCrash = [...this.trialCrashes.values()].some(
      ({incarnation, suspects}) =>
        crashes.has(incarnation) && suspects.includes(fingerprint),
    );
    if (!hasTrialCrash) return false;
    return [...crashes.keys()].some(id => !this.isFullyReported(id));
  }

  /** When verdicts may change without a further report, in ms of the clock. */
  nextChangeMs({answerGraceMs}: {answerGraceMs: number}): number {
    const nowMs = this.nowMs;
    let nextMs = Number.POSITIVE_INFINITY;
    const consider = (atMs: number) => {
      if (atMs > nowMs) nextMs = Math.min(nextMs, atMs);
    };
    for (const reportedMs of this.reportTimes.values()) {
      consider(reportedMs + REPORT_WINDOW_MS);
    }
    for (const {answeredMs, crashes} of this.rows.values()) {
      if (answeredMs === undefined || crashes.size === 0) continue;
      consider(firstOf(crashes) + answerGraceMs);
    }
    return nextMs;
  }

  /** Returns whether anything was dropped. */
  evictOld(): boolean {
    const nowMs = this.nowMs;
    if (nowMs - this.lastEvictionMs < EVICTION_INTERVAL_MS) return false;
    this.lastEvictionMs = nowMs;
    let isChanged = false;
    for (const [fingerprint, {atMs}] of this.rows) {
      if (nowMs - atMs < CRASH_RETENTION_MS) continue;
      if (this.options.isQuarantined(fingerprint)) continue;
      this.rows.delete(fingerprint);
      isChanged = true;
    }
    for (const [crashId, atMs] of this.reportTimes) {
      if (nowMs - atMs >= CRASH_RETENTION_MS) this.reportTimes.delete(crashId);
    }
    for (const [crashId, {suspects}] of this.trialCrashes) {
      const isKnown = suspects.some(fingerprint => this.rows.has(fingerprint));
      if (!isKnown) this.trialCrashes.delete(crashId);
    }
    return isChanged;
  }

  private get nowMs(): number {
    return this.options.clock.nowMs();
  }

  private isFullyReported(crashId: string): boolean {
    const reportedMs =
      this.reportTimes.get(crashId) ?? Number.NEGATIVE_INFINITY;
    return this.nowMs - reportedMs >= REPORT_WINDOW_MS;
  }

  private getOrAddRow(fingerprint: string): EvidenceRow {
    let row = this.rows.get(fingerprint);
    if (!row) {
      row = {
        fingerprint,
        crashes: new Map(),
        unresolvedTrials: 0,
        atMs: this.nowMs,
      };
      this.rows.set(fingerprint, row);
      this.evictSurplus();
    }
    return row;
  }

  /** Evicts the rows with the fewest crashes, the oldest ones first. */
  private evictSurplus(): void {
    if (this.rows.size <= MAX_ROWS) return;
    const rank = ({fingerprint, crashes}: EvidenceRow) =>
      this.options.isQuarantined(fingerprint)
        ? MAX_CRASHES_PER_ROW
        : crashes.size;
    const evicted = [...this.rows.values()]
      .slice(0, -1)
      .sort((a, b) => rank(a) - rank(b) || a.atMs - b.atMs)
      .slice(0, EVICTED_ROWS);
    for (const {fingerprint} of evicted) this.rows.delete(fingerprint);
  }
}

function historyOf(
  {fingerprint, crashes, answeredMs, unresolvedTrials}: EvidenceRow,
  nowMs: number,
): CrashHistory {
  const firstMs = crashes.size === 0 ? nowMs : firstOf(crashes);
  return {
    fingerprint,
    crashes: new Set(crashes.keys()),
    wasAnswered:
      answeredMs !== undefined && firstMs - answeredMs <= ANSWER_RETENTION_MS,
    crashingForMs: nowMs - firstMs,
    unresolvedTrials,
  };
}

function firstOf(crashes: ReadonlyMap<string, number>): number {
  // Crashes are in the order of their reports.
  const [first] = crashes.values();
  return first!;
}
