import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
  attributeCrashes,
  type CrashHistory,
  type CrashVerdict,
} from '@banyanfold/decisions';
import type {
  CrashNews,
  KnownSuspects,
  ToldSuspects,
  TrialInput,
  TrialOutput,
} from './crashContract.js';
import {CrashTrials} from './crashTrials.js';

export interface CrashLedgerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Differs between holders, and between lives of one. */
  epoch: string;
  /** Called when a request is put into quarantine. */
  onQuarantine?: (fingerprint: string) => void;
}

interface LedgerRow extends CrashHistory {
  crashes: Set<string>;
  /** When it was last heard of. */
  atMs: number;
  quarantinedAtMs?: number;
}

/** Quarantine ends then, with one more trial: a new version may have come. */
export const QUARANTINE_MS = 3_600_000;
/** A request that runners crashed under once or twice is forgotten by then. */
const EVIDENCE_MS = 600_000;
const FORGET_INTERVAL_MS = 1_000;
/** Rows that are kept at most, some 200 bytes each. */
const MAX_ROWS = 4_000;
/** Dropped at once when there are more, so that they are sorted seldom. */
const DROPPED_ROWS = 400;
/** More say nothing new of a request, but for those of its trials. */
const MAX_CRASHES_KEPT = 16;
/** All entries have told of a crash by then: two exchanges and a relay's. */
const SETTLE_MS = 700;

/**
 * What all entries have told of crashes, at the holder. It says which requests
 * are suspects and where one may be tried.
 */
export class CrashLedger {
  private readonly rows = new Map<string, LedgerRow>();
  private readonly firstToldMs = new Map<string, number>();
  private readonly trials: CrashTrials;
  private verdicts: ReadonlyMap<string, CrashVerdict> = new Map();
  private revision = 0;
  private isChanged = false;
  private forgotMs = Number.NEGATIVE_INFINITY;
  private settlesAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: CrashLedgerOptions) {
    this.trials = new CrashTrials(options.clock);
  }

  /** Takes in what an entry tells; told twice, it counts once. */
  note(news: CrashNews): void {
    for (const {life, fingerprints} of news.crashes) {
      for (const fingerprint of fingerprints) {
        this.noteCrash(life, fingerprint);
      }
    }
    for (const fingerprint of news.served) this.noteServed(fingerprint);
    for (const {fingerprint, ran} of news.trialsOver) {
      this.noteTrialOver(fingerprint, ran);
    }
    this.noteQuarantined(news.quarantined);
  }

  /** Known to be guilty by an entry, or by the store. */
  noteQuarantined(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) {
      const row = this.rowOf(fingerprint);
      if (row.hasPriorQuarantine) continue;
      row.hasPriorQuarantine = true;
      row.quarantinedAtMs ??= this.options.clock.nowMs();
      this.isChanged = true;
    }
  }

  /** The list of suspects, for one that has heard of it up to `known`. */
  tell(known: KnownSuspects | undefined): ToldSuspects {
    this.judge();
    const {epoch, clock} = this.options;
    const {revision} = this;
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision};
    }
    const nowMs = clock.nowMs();
    const suspects = [...this.verdicts.keys()].map(fingerprint => {
      const {quarantinedAtMs} = this.rows.get(fingerprint) ?? {};
      if (quarantinedAtMs === undefined) return {fingerprint};
      const leftMs = quarantinedAtMs + QUARANTINE_MS - nowMs;
      return {fingerprint, quarantinedMs: Math.max(0, Math.round(leftMs))};
    });
    return {epoch, revision, suspects};
  }

  permitTrial(input: TrialInput): TrialOutput {
    const {fingerprint} = input;
    for (const overdue of this.trials.endOverdue()) {
      this.noteUnresolved(overdue);
    }
    this.judge();
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

  private noteCrash(life: string, fingerprint: string): void {
    const row = this.rowOf(fingerprint);
    row.atMs = this.options.clock.nowMs();
    if (row.crashes.has(life)) return;
    const isTrial = this.trials.isTriedAt(fingerprint, life);
    if (!isTrial && row.crashes.size >= MAX_CRASHES_KEPT) return;
    row.crashes.add(life);
    if (isTrial) row.hasCrashedAlone = true;
    if (!this.firstToldMs.has(life)) this.firstToldMs.set(life, row.atMs);
    if (row.hasCrashedAlone) this.trials.end(fingerprint);
    this.isChanged = true;
  }

  /** What runs to its end crashes nothing. */
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

  private judge(): void {
    const nowMs = this.options.clock.nowMs();
    this.forgetOld(nowMs);
    if (!this.isChanged && nowMs < this.settlesAtMs) return;
    this.isChanged = false;
    const before = this.verdicts;
    this.verdicts = attributeCrashes(this.rows.values(), life =>
      this.isSettled(life, nowMs),
    );
    this.settlesAtMs = this.nextSettleMs(nowMs);
    if (isSame(before, this.verdicts)) return;
    this.revision += 1;
    this.notePutIn(nowMs);
  }

  private notePutIn(nowMs: number): void {
    const {logger, metrics, onQuarantine} = this.options;
    for (const [fingerprint, row] of this.rows) {
      const isIn = this.verdicts.get(fingerprint) === 'quarantined';
      if (!isIn) row.quarantinedAtMs = undefined;
      if (!isIn || row.quarantinedAtMs !== undefined) continue;
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

  /** It has crashed a runner by itself, and not all have told of it yet. */
  private isBeingJudged(fingerprint: string): boolean {
    const row = this.rows.get(fingerprint);
    const {quarantineCrashes} = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS;
    if (!row?.hasCrashedAlone || row.crashes.size < quarantineCrashes) {
      return false;
    }
    const nowMs = this.options.clock.nowMs();
    return [...row.crashes].some(life => !this.isSettled(life, nowMs));
  }

  private isSettled(life: string, nowMs: number): boolean {
    const toldMs = this.firstToldMs.get(life) ?? Number.NEGATIVE_INFINITY;
    return nowMs - toldMs >= SETTLE_MS;
  }

  private nextSettleMs(nowMs: number): number {
    let nextMs = Number.POSITIVE_INFINITY;
    for (const toldMs of this.firstToldMs.values()) {
      const atMs = toldMs + SETTLE_MS;
      if (atMs > nowMs) nextMs = Math.min(nextMs, atMs);
    }
    return nextMs;
  }

  private rowOf(fingerprint: string): LedgerRow {
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
      this.keepBounded();
    }
    return row;
  }

  private forgetOld(nowMs: number): void {
    if (nowMs - this.forgotMs < FORGET_INTERVAL_MS) return;
    this.forgotMs = nowMs;
    for (const row of this.rows.values()) {
      const {quarantinedAtMs} = row;
      if (quarantinedAtMs !== undefined) {
        if (nowMs - quarantinedAtMs >= QUARANTINE_MS) this.release(row);
      } else if (nowMs - row.atMs >= EVIDENCE_MS) {
        this.rows.delete(row.fingerprint);
        this.isChanged = true;
      }
    }
    for (const [life, toldMs] of this.firstToldMs) {
      if (nowMs - toldMs >= EVIDENCE_MS) this.firstToldMs.delete(life);
    }
  }

  /** Two crashes stay on the record: it is a suspect, and tried once more. */
  private release(row: LedgerRow): void {
    const {fingerprint} = row;
    row.crashes = new Set([`${fingerprint}#1`, `${fingerprint}#2`]);
    row.hasCrashedAlone = false;
    row.unresolvedTrials = 0;
    row.hasPriorQuarantine = false;
    row.quarantinedAtMs = undefined;
    row.atMs = this.options.clock.nowMs();
    this.isChanged = true;
  }

  /** Drops what says least: the oldest of those with the fewest crashes. */
  private keepBounded(): void {
    if (this.rows.size <= MAX_ROWS) return;
    const rank = ({crashes, hasPriorQuarantine}: LedgerRow) =>
      hasPriorQuarantine ? MAX_CRASHES_KEPT : crashes.size;
    const least = [...this.rows.values()]
      .slice(0, -1)
      .sort((a, b) => rank(a) - rank(b) || a.atMs - b.atMs)
      .slice(0, DROPPED_ROWS);
    for (const {fingerprint} of least) this.rows.delete(fingerprint);
    this.isChanged = true;
  }
}

function isSame(
  one: ReadonlyMap<string, CrashVerdict>,
  other: ReadonlyMap<string, CrashVerdict>,
): boolean {
  if (one.size !== other.size) return false;
  return [...one].every(([key, verdict]) => other.get(key) === verdict);
}
