import type {Clock} from '@banyanfold/core';
import {
  DEFAULT_ATTRIBUTE_CRASHES_OPTIONS,
  type CrashVerdict,
} from '@banyanfold/decisions';
import type {
  CrashReport,
  SuspectListVersion,
  SuspectList,
} from './crashContract.js';
import type {ObservedCrash} from './crashDetector.js';

/** A crash that this process observed itself. */
interface LocalCrash {
  crashId: string;
  atMs: number;
}

/**
 * Time in which the holder judges a reported crash and its verdict reaches this
 * entry: two exchanges through a relay.
 */
const VERDICT_DELAY_MS = 1_000;
/** Time until a new holder knows what its predecessor and the store know. */
const NEW_HOLDER_DELAY_MS = 2 * VERDICT_DELAY_MS;
/**
 * How long records from the store are valid. While no holder is reachable, they
 * are read every two seconds.
 */
const STORED_VALID_MS = 5_000;
/** How long a crash is kept in order to report it to a new holder. */
const CRASH_RETENTION_MS = 600_000;
/** Maximum number of requests with local crashes, some 200 bytes each. */
const MAX_LOCAL_REQUESTS = 2_000;
/**
 * Maximum length of each list in the unacknowledged report. More items would
 * report the same crashes again.
 */
const MAX_REPORT_ITEMS = 2_000;

/**
 * Tracks at an entry which requests crash runners. It combines the holder's
 * list of suspects with local crashes that the holder can't have judged yet.
 */
export class CrashSuspects {
  /** Called when something should be reported without delay. */
  onReport: () => void = () => {};
  /** By fingerprint, in the order of the last crash. */
  private readonly localCrashes = new Map<string, LocalCrash[]>();
  /** End of quarantine by fingerprint; undefined for a mere suspect. */
  private holderSuspects = new Map<string, number | undefined>();
  /** The same, as read from the store and received from former holders. */
  private retainedSuspects = new Map<string, number | undefined>();
  private retentionEndMs = Number.POSITIVE_INFINITY;
  private listVersion: SuspectListVersion | undefined;
  private listReceivedMs = Number.NEGATIVE_INFINITY;
  private unacknowledged: CrashReport = emptyReport();
  private queued: CrashReport = emptyReport();

  constructor(private readonly clock: Clock) {}

  /** Undefined for a request without restrictions. */
  verdictOf(fingerprint: string): CrashVerdict | undefined {
    const known = this.findSuspect(fingerprint);
    if (known) return known.untilMs === undefined ? 'suspect' : 'quarantined';
    const crashes = this.localCrashes.get(fingerprint);
    const {suspectCrashes} = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS;
    if (!crashes || crashes.length < suspectCrashes) return undefined;
    // The holder has judged older crashes and doesn't list the request.
    const judgedUntilMs = this.listReceivedMs - VERDICT_DELAY_MS;
    return crashes.at(-1)!.atMs > judgedUntilMs ? 'suspect' : undefined;
  }

  /** Remaining quarantine of a request, in ms; 0 if it isn't quarantined. */
  quarantinedForMs(fingerprint: string): number {
    const untilMs = this.findSuspect(fingerprint)?.untilMs ?? 0;
    return Math.max(0, untilMs - this.clock.nowMs());
  }

  /** Adds quarantined requests from the store, with the ms left for each. */
  noteStoredQuarantine(remainingMs: ReadonlyMap<string, number>): void {
    const nowMs = this.clock.nowMs();
    for (const [fingerprint, leftMs] of remainingMs) {
      this.retainedSuspects.set(fingerprint, nowMs + leftMs);
    }
    this.retentionEndMs = Math.max(
      this.retentionEndMs,
      nowMs + STORED_VALID_MS,
    );
    const quarantined = [...remainingMs.keys()];
    if (quarantined.length > 0) this.forward({...emptyReport(), quarantined});
  }

  noteCrash({crashId, fingerprints}: ObservedCrash): void {
    const atMs = this.clock.nowMs();
    for (const fingerprint of fingerprints) {
      const crashes = this.localCrashes.get(fingerprint) ?? [];
      if (crashes.some(known => known.crashId === crashId)) continue;
      crashes.push({crashId, atMs});
      this.localCrashes.delete(fingerprint);
      this.localCrashes.set(fingerprint, crashes);
    }
    this.evictOld(atMs);
    this.queued.crashes.push({
      life: crashId,
      fingerprints: [...fingerprints],
    });
    this.onReport();
  }

  /** A runner answered the request completely, so it doesn't crash runners. */
  noteServed(fingerprint: string): void {
    const wasObserved = this.localCrashes.delete(fingerprint);
    const isSuspect = this.holderSuspects.get(fingerprint) === undefined;
    const wasListed = isSuspect && this.holderSuspects.delete(fingerprint);
    if (!wasListed && !wasObserved) return;
    this.queued.served.push(fingerprint);
    this.onReport();
  }

  /** A trial ended without result; `ran` if a runner may have started it. */
  noteTrialOver(fingerprint: string, ran: boolean): void {
    this.queued.trialsOver.push({fingerprint, ran});
    this.onReport();
  }

  /** Queues a report from another entry or the store for the holder. */
  forward(report: CrashReport | undefined): void {
    if (!report) return;
    this.queued = mergeReports(this.queued, report);
    if (!isEmpty(report)) this.onReport();
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
    return isEmpty(this.unacknowledged) ? undefined : this.unacknowledged;
  }

  /** Marks the last report as received. */
  acknowledge(): void {
    this.unacknowledged = emptyReport();
  }

  /** Whether any suspect or local crash is known. */
  get hasCrashData(): boolean {
    return this.holderSuspects.size > 0 || this.localCrashes.size > 0;
  }

  get knownVersion(): SuspectListVersion | undefined {
    return this.listVersion;
  }

  /** Applies the holder's list; undefined from releases that don't send it. */
  applyList(list: SuspectList | undefined): void {
    if (!list) return;
    const {epoch, revision, suspects} = list;
    const nowMs = this.clock.nowMs();
    if (this.listVersion?.epoch !== epoch) this.handleNewHolder();
    this.listReceivedMs = nowMs;
    this.listVersion = {epoch, revision};
    if (!suspects) return;
    this.holderSuspects = new Map(
      suspects.map(({fingerprint, quarantinedMs}) => [
        fingerprint,
        quarantinedMs === undefined ? undefined : nowMs + quarantinedMs,
      ]),
    );
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
    if (known?.epoch === epoch && known.revision === revision) {
      return {epoch, revision};
    }
    const nowMs = this.clock.nowMs();
    const suspects = [...this.holderSuspects].map(([fingerprint, untilMs]) => ({
      fingerprint,
      quarantinedMs:
        untilMs === undefined ? undefined : Math.max(0, untilMs - nowMs),
    }));
    return {epoch, revision, suspects};
  }

  /** If the lists differ, quarantine takes precedence over suspicion. */
  private findSuspect(fingerprint: string): {untilMs?: number} | undefined {
    const isRetained =
      this.clock.nowMs() < this.retentionEndMs &&
      this.retainedSuspects.has(fingerprint);
    const isListed = this.holderSuspects.has(fingerprint);
    if (!isRetained && !isListed) return undefined;
    const retainedUntilMs = isRetained
      ? this.retainedSuspects.get(fingerprint)
      : undefined;
    return {untilMs: this.holderSuspects.get(fingerprint) ?? retainedUntilMs};
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
    const crashes = new Map<string, string[]>();
    for (const [fingerprint, observed] of this.localCrashes) {
      for (const {crashId} of observed) {
        const known = crashes.get(crashId);
        if (known) known.push(fingerprint);
        else crashes.set(crashId, [fingerprint]);
      }
    }
    const quarantined = [...this.holderSuspects.entries()]
      .filter(([, untilMs]) => untilMs !== undefined)
      .map(([fingerprint]) => fingerprint);
    this.queued = mergeReports(this.queued, {
      ...emptyReport(),
      crashes: [...crashes].map(([crashId, fingerprints]) => ({
        life: crashId,
        fingerprints,
      })),
      quarantined,
    });
    this.onReport();
  }

  private evictOld(nowMs: number): void {
    for (const [fingerprint, crashes] of this.localCrashes) {
      const isOld = nowMs - crashes.at(-1)!.atMs >= CRASH_RETENTION_MS;
      if (!isOld && this.localCrashes.size <= MAX_LOCAL_REQUESTS) return;
      this.localCrashes.delete(fingerprint);
    }
  }
}

function emptyReport(): CrashReport {
  return {crashes: [], served: [], trialsOver: [], quarantined: []};
}

function isEmpty(report: CrashReport): boolean {
  return Object.values(report).every(list => list.length === 0);
}

function mergeReports(one: CrashReport, other: CrashReport): CrashReport {
  const merge = <T>(a: readonly T[], b: readonly T[]) =>
    [...a, ...b].slice(-MAX_REPORT_ITEMS);
  return {
    crashes: merge(one.crashes, other.crashes),
    served: merge(one.served, other.served),
    trialsOver: merge(one.trialsOver, other.trialsOver),
    quarantined: merge(one.quarantined, other.quarantined),
  };
}
