import type {Clock, Metrics} from '@banyanfold/core';
import {decideContinuation, type Continuation} from '@banyanfold/decisions';
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
}

/** A continuation, and the inputs of the decision for the log. */
export interface ResolvedContinuation {
  continuation: Continuation;
  source: 'own' | 'peer' | 'store' | 'none';
  /** Age of this entry's own record, in ms. */
  ageMs?: number;
  /** Peers that answered. */
  answers: number;
  /** No other entry can know more, so a caller need not return. */
  isFinal: boolean;
}

/** A bound on memory; at 20 streams a second, records of 1,000 s. */
const MAX_RECORDS = 20_000;
/** A record of a stream that is still open is sent again after this time. */
const REPLICATE_AGAIN_MS = 20_000;
/** Peers that are awake answer within some ms. */
const LOOKUP_MS = 600;
/** A frozen peer must not hold up streams where one version serves. */
const SINGLE_VERSION_LOOKUP_MS = 100;
/** Entries know changes of the runners within this time while in touch. */
const MAX_VIEW_AGE_MS = 2_000;

const NOT_SOUGHT: StoredOrigin = {
  version: undefined,
  isMixed: false,
  isCurrent: true,
};

const NO_ANSWERS: LookupResult = {
  version: undefined,
  answers: 0,
  isExhaustive: false,
  mixedServices: new Set(),
  hasCompleteHistory: false,
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

  constructor(private readonly options: StreamOriginsOptions) {
    const {clock, view, memoryMs} = options;
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
    this.clockJumps.check();
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
    return {
      origins,
      mixedServices: this.history.mixedServices(),
      isHistoryComplete: this.history.isComplete,
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
    const continuation = decideContinuation({
      originVersion: version,
      isOriginGone:
        version !== undefined && this.history.isGone(service, version),
      onlyVersion: stored.isMixed
        ? undefined
        : this.onlyVersion(service, found),
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
      isFinal:
        version !== undefined || (found.isExhaustive && stored.isCurrent),
    };
  }

  /** Without a key, peers still tell which services have several versions. */
  private lookUp(
    key: string | undefined,
    service: string,
  ): Promise<LookupResult> {
    const {stored, notedServices} = this.options;
    const hasSeveral = this.history.hasSeveral(service);
    const isNoted = notedServices()?.has(service) ?? false;
    // All entries may have ended at once, so that no peer has the record.
    if (!this.history.isComplete && (hasSeveral || isNoted)) stored.refresh();
    const maxWaitMs = hasSeveral ? LOOKUP_MS : SINGLE_VERSION_LOOKUP_MS;
    return this.options.lookup.find(key, maxWaitMs);
  }

  /**
   * Whether the store may know more of a stream that no entry knows: all
   * entries may have ended at once, before a note of versions was written.
   */
  private mayNeedStore(service: string, found: LookupResult): boolean {
    const isPastSeen = this.history.isComplete || found.hasCompleteHistory;
    return !isPastSeen || this.onlyVersion(service, found) === undefined;
  }

  /** The only version that has served; undefined if that is not certain. */
  private onlyVersion(
    service: string,
    found: LookupResult,
  ): string | undefined {
    const {lookup, notedServices} = this.options;
    const [version, ...others] = this.history.versionsOf(service);
    if (others.length > 0 || found.mixedServices.has(service)) return undefined;
    const isCurrent = this.isViewFresh || found.answers > 0 || lookup.isAlone;
    const noted = notedServices();
    const isPastKnown =
      this.history.isComplete ||
      found.hasCompleteHistory ||
      (noted !== undefined && !noted.has(service));
    return isCurrent && isPastKnown ? version : undefined;
  }

  /**
   * Whether the runners are known as of now. After the process was suspended the
   * view seems fresh by the monotonic clock, which may not count that time.
   */
  private get isViewFresh(): boolean {
    const {runnersAgeMs: ageMs} = this.options.view;
    if (ageMs === undefined || ageMs > MAX_VIEW_AGE_MS) return false;
    return ageMs < this.clockJumps.sinceLastMs();
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
