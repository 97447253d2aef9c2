import {sleep, type Clock, type Metrics} from '@banyanfold/core';
import {
  decideContinuation,
  findOnlyVersion,
  hasSeveralVersions,
  isPastSeen,
  type Continuation,
  type VersionEvidence,
} from '@banyanfold/decisions';
import type {
  FindOriginsInput,
  FindOriginsOutput,
} from '../peers/peerContract.js';
import type {FleetView} from '../view/fleetView.js';
import {ClockJumps} from './clockJumps.js';
import type {LookupResult, OriginLookup} from './originLookup.js';
import {OriginRecords, type StreamOrigin} from './originRecords.js';
import type {OriginReplicator} from './originReplicator.js';
import {originKey} from './originKey.js';
import {SharedRead} from './sharedRead.js';
import type {StoredOrigin, StoredOrigins} from './storedOrigins.js';
import {VersionHistory} from './versionHistory.js';

export interface StreamOriginsOptions {
  clock: Clock;
  metrics: Metrics;
  view: FleetView;
  lookup: OriginLookup;
  stored: Pick<StoredOrigins, 'find' | 'refresh'>;
  replicator: OriginReplicator;
  /** How long a stream and its callers' returns can last, in ms. */
  memoryMs: number;
  /**
   * Services that had several versions when this process started, by the note in
   * the store; undefined until it has been read.
   */
  notedServices(): ReadonlySet<string> | undefined;
  /** Resolves once the notes have been read, or after a short time. */
  untilNotesRead(): Promise<void>;
  /**
   * Reads the runners at once. Resolves to whether each registration and removal
   * up to the time of the call has been passed to the view, none left out.
   */
  confirmRunners(): Promise<boolean>;
}

/** A continuation, and the inputs of the decision for the log. */
export interface ResolvedContinuation {
  continuation: Continuation;
  source: 'own' | 'peer' | 'store' | 'none';
  /** Age of this entry's own record, in ms. */
  ageMs?: number;
  /** Peers that answered. */
  answers: number;
  /** Whether the runners were read for this decision. */
  isConfirmed: boolean;
  /**
   * No other entry can know more, so a caller need not return. A version that
   * this entry has not read about may serve all the same.
   */
  isFinal: boolean;
}

/** A bound on memory; at 20 streams a second, records of 1,000 s. */
const MAX_RECORDS = 20_000;
/** A record of a stream that is still open is sent again after this time. */
const REPLICATE_AGAIN_MS = 20_000;
/** Peers that are awake answer within some ms. */
const LOOKUP_MS = 600;
/**
 * A frozen peer must not hold up streams where one version serves and the store
 * has shown that no other one has joined.
 */
const SINGLE_VERSION_LOOKUP_MS = 100;
/** Wait for the store once the answers of all peers may do without it. */
const CONFIRM_WAIT_MS = 250;
/**
 * Entries in touch know changes of the runners within this time. Registrations
 * last longer: until a runner has drained, or has missed three heartbeats.
 */
const MAX_VIEW_AGE_MS = 2_000;

/** What the store and the peers have answered when a stream is taken up. */
interface Answers extends LookupResult {
  /** The runners known here are those of a read sent after the take-up came. */
  isConfirmed: boolean;
}

const NOT_SOUGHT: StoredOrigin = {
  version: undefined,
  isMixed: false,
  isCurrent: true,
};

const NO_ANSWERS: Answers = {
  version: undefined,
  answers: 0,
  isExhaustive: false,
  mixedServices: new Set(),
  soleVersions: [],
  followedMs: undefined,
  hasCompleteHistory: false,
  isConfirmed: false,
};

/**
 * Knows at which software version streams began, so that they go on there only.
 * What runners of two versions write doesn't fit together, and runners don't
 * check it: callers held events of both when any runner could continue a stream.
 */
export class StreamOrigins {
  readonly history: VersionHistory;
  private readonly records: OriginRecords;
  private readonly clockJumps: ClockJumps;
  private readonly confirmations: SharedRead<boolean>;

  constructor(private readonly options: StreamOriginsOptions) {
    const {clock, view, memoryMs} = options;
    this.confirmations = new SharedRead(() => options.confirmRunners());
    const nowMs = () => clock.nowMs();
    this.history = new VersionHistory({nowMs, horizonMs: memoryMs});
    this.records = new OriginRecords({
      nowMs,
      ttlMs: memoryMs,
      maxRecords: MAX_RECORDS,
    });
    this.clockJumps = new ClockJumps(clock);
    view.onChange(change => {
      if (change.kind === 'caught-up') this.history.startWatching();
      if (change.kind === 'runners-gap') this.noteGap(change.lengthMs);
      if (change.kind === 'runner-removed') {
        this.history.noteRemoval(change.runnerId);
      }
      if (change.kind !== 'runner') return;
      const runner = view.runner(change.runnerId);
      if (runner) this.history.note(runner);
    });
  }

  /** Number of records held, for the metrics. */
  get size(): number {
    return this.records.size;
  }

  /** Drops versions that no longer matter. */
  refresh(): void {
    this.history.refresh(this.options.view.allRunners());
    this.options.lookup.refresh();
    this.clockJumps.check();
  }

  private noteGap(lengthMs: number): void {
    if (lengthMs <= MAX_VIEW_AGE_MS) return;
    this.history.noteGap(this.options.clock.nowMs() - lengthMs);
  }

  /**
   * Records that events of a stream are about to be forwarded.
   *
   * @param replicatedMs when the record was last sent to peers.
   * @returns when it was, after this call.
   */
  noteEvents(
    requestId: string,
    service: string,
    version: string,
    replicatedMs = Number.NEGATIVE_INFINITY,
  ): number {
    const nowMs = this.options.clock.nowMs();
    const origin = {requestId: originKey(requestId), version};
    if (this.records.find(origin.requestId) === undefined) {
      this.records.put(origin);
    }
    const isDue = nowMs - replicatedMs >= REPLICATE_AGAIN_MS;
    if (!isDue || !this.history.hasSeveral(service)) return replicatedMs;
    this.records.put(origin);
    this.options.replicator.add({...origin, service});
    return nowMs;
  }

  /** Keeps records for another entry. */
  keep(origins: readonly StreamOrigin[]): void {
    for (const origin of origins) this.records.put(origin);
  }

  /** Answers a peer that looks for the origins of streams. */
  handleFind({requestIds}: FindOriginsInput): FindOriginsOutput {
    const origins = requestIds.flatMap(requestId => {
      const known = this.records.find(requestId);
      return known ? [[requestId, known.version] as [string, string]] : [];
    });
    const {history} = this;
    const {runnersAgeMs = Infinity} = this.options.view;
    return {
      origins,
      mixedServices: history.mixedServices(),
      soleVersions: history.soleVersions(),
      isHistoryComplete: history.isComplete && runnersAgeMs <= MAX_VIEW_AGE_MS,
      followedMs: history.followedMs,
    };
  }

  /**
   * Decides where a stream that a caller takes up may go on.
   *
   * @param resumedRequestId the request that brought its first event, as the
   * caller names it.
   */
  async resolve(
    resumedRequestId: string | undefined,
    service: string,
  ): Promise<ResolvedContinuation> {
    const key =
      resumedRequestId === undefined ? undefined : originKey(resumedRequestId);
    const own = key === undefined ? undefined : this.records.find(key);
    const found = own ? NO_ANSWERS : await this.lookUp(key, service);
    if (!own && !this.history.isComplete) await this.options.untilNotesRead();
    const remembered = own?.version ?? found.version;
    const stored =
      remembered === undefined && this.mayNeedStore(service, found)
        ? await this.options.stored.find(key, service)
        : NOT_SOUGHT;
    const version = remembered ?? stored.version;
    const evidence = this.evidenceOf(service, found);
    const continuation = decideContinuation({
      originVersion: version,
      isOriginGone:
        version !== undefined && this.history.isGone(service, version),
      onlyVersion: stored.isMixed ? undefined : findOnlyVersion(evidence),
    });
    if (key !== undefined && version !== undefined) {
      this.records.put({requestId: key, version});
    }
    const {kind, reason} = continuation;
    this.options.metrics.count('streams_taken_up_total', {
      outcome: kind === 'refuse' ? 'refused' : 'continued',
      reason,
    });
    return {
      continuation,
      source: sourceOf(own?.version, found.version, stored.version),
      ageMs: own?.ageMs,
      answers: found.answers,
      isConfirmed: found.isConfirmed,
      isFinal:
        version === undefined
          ? found.isExhaustive &&
            stored.isCurrent &&
            (stored.isMixed || hasSeveralVersions(evidence))
          : found.isConfirmed ||
            this.history.versionsOf(service).includes(version),
    };
  }

  /**
   * Asks the peers and, where one version is known, the store at the same time.
   * Without a key, peers still tell which versions they know.
   */
  private async lookUp(
    key: string | undefined,
    service: string,
  ): Promise<Answers> {
    const {lookup, stored, notedServices} = this.options;
    const hasSeveral = this.history.hasSeveral(service);
    const isNoted = notedServices()?.has(service) ?? false;
    // All entries may have ended at once, so that no peer has the record.
    if (!this.history.isComplete && (hasSeveral || isNoted)) stored.refresh();
    if (hasSeveral) {
      const found = await lookup.find(key, LOOKUP_MS);
      return {...found, isConfirmed: false};
    }
    const confirming = this.confirm();
    const searching = lookup.find(
      key,
      LOOKUP_MS,
      this.untilConfirmed(service, confirming),
    );
    const found = await searching;
    if (found.version !== undefined) return {...found, isConfirmed: false};
    const haveAllAnswered = found.followedMs !== undefined;
    const isConfirmed = haveAllAnswered
      ? await this.within(CONFIRM_WAIT_MS, confirming)
      : await confirming;
    return {...found, isConfirmed};
  }

  /**
   * Whether the store may know more of a stream that no entry knows: all
   * entries may have ended at once, before a note of versions was written.
   */
  private mayNeedStore(service: string, found: Answers): boolean {
    const isPastKnown = this.history.isComplete || found.hasCompleteHistory;
    const evidence = this.evidenceOf(service, found);
    return !isPastKnown || findOnlyVersion(evidence) === undefined;
  }

  /** Resolves to whether the view is now that of a read sent after this call. */
  private confirm(): Promise<boolean> {
    // A read that fails, for whatever reason, has confirmed nothing.
    const confirming = this.confirmations.sendNext().catch(() => false);
    return this.within(LOOKUP_MS, confirming);
  }

  private within(maxMs: number, confirming: Promise<boolean>) {
    const {clock} = this.options;
    return Promise.race([confirming, sleep(clock, maxMs).then(() => false)]);
  }

  /** Ends the wait for peers once the store has shown that one version serves. */
  private async untilConfirmed(
    service: string,
    confirming: Promise<boolean>,
  ): Promise<void> {
    await sleep(this.options.clock, SINGLE_VERSION_LOOKUP_MS);
    const isConfirmed = await confirming;
    const evidence = this.evidenceOf(service, NO_ANSWERS);
    const isEnough =
      isConfirmed &&
      isPastSeen(evidence, false) &&
      !hasSeveralVersions(evidence);
    if (!isEnough) await new Promise<never>(() => {});
  }

  private evidenceOf(service: string, found: Answers): VersionEvidence {
    const {history, clockJumps} = this;
    const {runnersAgeMs = Infinity} = this.options.view;
    // The monotonic clock may not count the time in which it was suspended.
    const isAgeKnown = runnersAgeMs < clockJumps.sinceLastMs();
    return {
      versions: history.versionsOf(service),
      peerVersions: found.soleVersions
        .filter(([name]) => name === service)
        .map(([, version]) => version),
      havePeersSeenSeveral: found.mixedServices.has(service),
      isConfirmed: found.isConfirmed,
      isHistoryComplete: history.isComplete,
      hasPeerCompleteHistory: found.hasCompleteHistory,
      isStartKnown: this.isStartKnown(service),
      gapAgeMs: history.gapAgeMs,
      readAgeMs: isAgeKnown ? runnersAgeMs : Infinity,
      peersFollowedMs: found.followedMs,
    };
  }

  /** Whether the versions before this process started are all known. */
  private isStartKnown(service: string): boolean {
    const {memoryMs, notedServices} = this.options;
    const {followedMs = 0} = this.history;
    const noted = notedServices();
    const isNotedSingle = noted !== undefined && !noted.has(service);
    return followedMs >= memoryMs || isNotedSingle;
  }
}

function sourceOf(
  own: string | undefined,
  peer: string | undefined,
  store: string | undefined,
): ResolvedContinuation['source'] {
  if (own !== undefined) return 'own';
  if (peer !== undefined) return 'peer';
  return store === undefined ? 'none' : 'store';
}
