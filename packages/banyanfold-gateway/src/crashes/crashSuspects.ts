import type {Clock} from '@banyanfold/core';
import {
  isCombination,
  splitFingerprints,
  type CrashVerdict,
} from '@banyanfold/decisions';
import {AnsweredParts} from './answeredParts.js';
import type {
  CrashReport,
  SuspectListVersion,
  SuspectList,
} from './crashContract.js';
import {CRASH_ALERT_MS} from './crashLedger.js';
import {emptyReport, isEmptyReport, mergeReports} from './crashReports.js';
import type {ObservedCrash} from './crashDetector.js';
import {LocalCrashes} from './localCrashes.js';
import {isPartFingerprint} from './requestFingerprint.js';

/** A key in a list of suspects. */
interface ListedKey {
  /** End of its quarantine in ms of the clock; undefined for a suspect. */
  untilMs?: number;
  /** Time of the last crash of a suspect. */
  crashedMs?: number;
}

/** A quarantine that applies to a request. */
export interface Quarantine {
  /** The fingerprints that are quarantined, as one key. */
  key: string;
  /** Time until it ends, in ms. */
  forMs: number;
}

/**
 * Time in which the holder judges a reported crash and its verdict reaches this
 * entry: two exchanges through a relay.
 */
const VERDICT_DELAY_MS = 1_000;
/** Time until a new holder knows what its predecessor and the store know. */
const NEW_HOLDER_DELAY_MS = 2 * VERDICT_DELAY_MS;
/** Six exchanges; without a list for so long, no holder judges crashes. */
const HOLDER_TIMEOUT_MS = 1_500;
/**
 * How long records from the store are valid. While no holder is reachable, they
 * are read every two seconds.
 */
const STORED_VALID_MS = 5_000;

/**
 * Tracks at an entry which requests and prompt parts crash runners. It combines
 * the holder's list of suspects with local crashes that the holder can't have
 * judged yet.
 */
export class CrashSuspects {
  /** Called when something should be reported without delay. */
  onReport: () => void = () => {};
  private readonly localCrashes: LocalCrashes;
  private holderSuspects = new Map<string, ListedKey>();
  /** Read from the store, or received from former holders. */
  private retainedSuspects = new Map<string, ListedKey>();
  /** Keys of several fingerprints in both of them. */
  private combinations: readonly string[] = [];
  private retentionEndMs = Number.POSITIVE_INFINITY;
  private listVersion: SuspectListVersion | undefined;
  private listReceivedMs = Number.NEGATIVE_INFINITY;
  private lastCrashMs = Number.NEGATIVE_INFINITY;
  private unacknowledged: CrashReport = emptyReport();
  private queued: CrashReport = emptyReport();

  constructor(
    private readonly clock: Clock,
    private readonly answeredParts = new AnsweredParts(clock),
  ) {
    this.localCrashes = new LocalCrashes(clock, answeredParts);
  }

  /** Verdict on a request by its fingerprints; undefined if it runs normally. */
  verdictOf(fingerprints: readonly string[]): CrashVerdict | undefined {
    if (!this.hasCrashData) return undefined;
    if (this.findQuarantined(fingerprints) !== undefined) return 'quarantined';
    return this.suspectsAmong(fingerprints).length > 0 ? 'suspect' : undefined;
  }

  /** The fingerprints that are suspects. */
  suspectsAmong(fingerprints: readonly string[]): string[] {
    const view = {
      hasHolder: this.clock.nowMs() - this.listReceivedMs < HOLDER_TIMEOUT_MS,
      judgedUntilMs: this.listReceivedMs - VERDICT_DELAY_MS,
    };
    return fingerprints.filter(fingerprint => {
      const known = this.findKey(fingerprint);
      if (known) return known.untilMs === undefined;
      return this.localCrashes.isSuspect(fingerprint, view);
    });
  }

  /** The quarantine that applies to a request; undefined if none does. */
  quarantineOf(fingerprints: readonly string[]): Quarantine | undefined {
    const key = this.findQuarantined(fingerprints);
    const untilMs = key === undefined ? undefined : this.findKey(key)?.untilMs;
    if (key === undefined || untilMs === undefined) return undefined;
    return {key, forMs: Math.max(0, untilMs - this.clock.nowMs())};
  }

  /** Adds quarantined keys from the store, with the ms left for each. */
  noteStoredQuarantine(remainingMs: ReadonlyMap<string, number>): void {
    const nowMs = this.clock.nowMs();
    for (const [key, leftMs] of remainingMs) {
      this.retainedSuspects.set(key, {untilMs: nowMs + leftMs});
    }
    this.updateCombinations();
    this.retentionEndMs = Math.max(
      this.retentionEndMs,
      nowMs + STORED_VALID_MS,
    );
    const quarantined = [...remainingMs.keys()];
    if (quarantined.length > 0) this.forward({...emptyReport(), quarantined});
  }

  noteCrash(crash: ObservedCrash): void {
    const {crashId, fingerprints} = crash;
    this.lastCrashMs = this.clock.nowMs();
    this.localCrashes.add(crash);
    const answered = fingerprints.filter(
      fingerprint => this.answeredParts.ageMs(fingerprint) !== undefined,
    );
    this.queued.crashes.push({
      life: crashId,
      fingerprints: [...fingerprints],
      ...(answered.length > 0 && {answered}),
    });
    this.onReport();
  }

  /**
   * A runner answered a request with these fingerprints completely, so they
   * don't crash runners.
   */
  noteServed(fingerprints: readonly string[]): void {
    this.answeredParts.note(fingerprints.filter(isPartFingerprint));
    if (!this.hasCrashData) return;
    const news = fingerprints.filter(fingerprint => {
      const wasObserved = this.localCrashes.cancel(fingerprint);
      const listed = this.holderSuspects.get(fingerprint);
      const isSuspect = listed !== undefined && listed.untilMs === undefined;
      if (isSuspect) this.holderSuspects.delete(fingerprint);
      return wasObserved || listed !== undefined;
    });
    if (news.length === 0) return;
    this.queued.served.push(...news);
    this.onReport();
  }

  /**
   * A trial ended without a crash; `ran` if a runner may have started it and
   * the result is unknown.
   */
  noteTrialOver(trialKey: string, ran: boolean): void {
    this.queued.trialsOver.push({fingerprint: trialKey, ran});
    this.onReport();
  }

  /** Queues a report from another entry or the store for the holder. */
  forward(report: CrashReport | undefined): void {
    if (!report) return;
    this.queued = mergeReports(this.queued, report);
    if (!isEmptyReport(report)) this.onReport();
  }

  /**
   * Report to send with the next exchange. Items are sent again until an
   * exchange is answered. Undefined if there are none, which is nearly always
   * the case, so that four exchanges a second don't carry and validate empty
   * lists.
   */
  pendingReport(): CrashReport | undefined {
    this.unacknowledged = mergeReports(this.unacknowledged, this.queued);
    this.queued = emptyReport();
    return isEmptyReport(this.unacknowledged) ? undefined : this.unacknowledged;
  }

  /** Marks the last report as received. */
  acknowledge(): void {
    this.unacknowledged = emptyReport();
  }

  /** Whether any suspect or local crash is known. */
  get hasCrashData(): boolean {
    return (
      this.holderSuspects.size > 0 ||
      this.retainedSuspects.size > 0 ||
      !this.localCrashes.isEmpty
    );
  }

  /** Whether a runner crashed within the last minute, as far as is known. */
  get isAlerted(): boolean {
    return this.clock.nowMs() - this.lastCrashMs <= CRASH_ALERT_MS;
  }

  get knownVersion(): SuspectListVersion | undefined {
    return this.listVersion;
  }

  /** Applies the holder's list; undefined from releases that don't send it. */
  applyList(list: SuspectList | undefined): void {
    if (!list) return;
    const {epoch, revision, suspects, crashedAgoMs} = list;
    const nowMs = this.clock.nowMs();
    if (this.listVersion?.epoch !== epoch) this.handleNewHolder();
    this.listReceivedMs = nowMs;
    this.listVersion = {epoch, revision};
    if (crashedAgoMs !== undefined) {
      this.lastCrashMs = Math.max(this.lastCrashMs, nowMs - crashedAgoMs);
    }
    if (!suspects) return;
    this.holderSuspects = new Map(
      suspects.map(({fingerprint, quarantinedMs, crashedAgoMs: agoMs}) => [
        fingerprint,
        {
          untilMs: quarantinedMs && nowMs + quarantinedMs,
          crashedMs: agoMs && nowMs - agoMs,
        },
      ]),
    );
    this.updateCombinations();
    this.reportAnsweredSince();
  }

  /**
   * The holder's list for another entry; without `suspects` if it has this
   * version.
   */
  suspectListFor(
    known: SuspectListVersion | undefined,
  ): SuspectList | undefined {
    if (!this.listVersion) return undefined;
    const {epoch, revision} = this.listVersion;
    const nowMs = this.clock.nowMs();
    const crashedAgoMs = this.isAlerted ? nowMs - this.lastCrashMs : undefined;
    const alert = crashedAgoMs === undefined ? {} : {crashedAgoMs};
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision, ...alert};
    }
    const suspects = [...this.holderSuspects].map(([key, listed]) => ({
      fingerprint: key,
      quarantinedMs: listed.untilMs && Math.max(0, listed.untilMs - nowMs),
      crashedAgoMs: listed.crashedMs && nowMs - listed.crashedMs,
    }));
    return {epoch, revision, suspects, ...alert};
  }

  /** Reports suspects that this process saw answered after their last crash. */
  private reportAnsweredSince(): void {
    const nowMs = this.clock.nowMs();
    const answered = [...this.holderSuspects]
      .filter(([fingerprint, {untilMs, crashedMs}]) => {
        const ageMs = this.answeredParts.ageMs(fingerprint);
        if (untilMs !== undefined || ageMs === undefined) return false;
        return crashedMs !== undefined && nowMs - ageMs > crashedMs;
      })
      .map(([fingerprint]) => fingerprint);
    if (answered.length === 0) return;
    for (const fingerprint of answered) {
      this.holderSuspects.delete(fingerprint);
      this.localCrashes.cancel(fingerprint);
    }
    this.queued.served.push(...answered);
    this.onReport();
  }

  /** The quarantined key of which a request has all fingerprints. */
  private findQuarantined(fingerprints: readonly string[]): string | undefined {
    const isQuarantined = (key: string) =>
      this.findKey(key)?.untilMs !== undefined;
    return (
      fingerprints.find(isQuarantined) ??
      this.combinations.find(
        key =>
          isQuarantined(key) &&
          splitFingerprints(key).every(each => fingerprints.includes(each)),
      )
    );
  }

  /** If the lists differ, quarantine takes precedence over suspicion. */
  private findKey(key: string): ListedKey | undefined {
    const isRetaining = this.clock.nowMs() < this.retentionEndMs;
    const retained = isRetaining ? this.retainedSuspects.get(key) : undefined;
    const listed = this.holderSuspects.get(key);
    if (!retained) return listed;
    return {untilMs: listed?.untilMs ?? retained.untilMs};
  }

  /**
   * Reports everything known to a new holder, which starts without data.
   * Otherwise, a request that crashed three runners could crash three more with
   * each change of holder. The former list stays in force until the new holder
   * has these reports.
   */
  private handleNewHolder(): void {
    const nowMs = this.clock.nowMs();
    const former =
      nowMs < this.retentionEndMs ? [...this.retainedSuspects] : [];
    this.retainedSuspects = new Map([...former, ...this.holderSuspects]);
    this.retentionEndMs = nowMs + NEW_HOLDER_DELAY_MS;
    const quarantined = [...this.holderSuspects.entries()]
      .filter(([, {untilMs}]) => untilMs !== undefined)
      .map(([key]) => key);
    this.queued = mergeReports(this.queued, {
      ...emptyReport(),
      crashes: this.localCrashes.byCrash().map(({crashId, fingerprints}) => ({
        life: crashId,
        fingerprints: [...fingerprints],
      })),
      quarantined,
    });
    if (!isEmptyReport(this.queued)) this.onReport();
  }

  private updateCombinations(): void {
    this.combinations = [
      ...this.holderSuspects.keys(),
      ...this.retainedSuspects.keys(),
    ].filter(isCombination);
  }
}
