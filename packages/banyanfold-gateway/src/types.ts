import type {BanyanfoldError} from '@banyanfold/core';
import type {FleetUsageSnapshot} from '@banyanfold/decisions';
import type {Result} from 'neverthrow';
import type {LeaseHandover} from './peers/peerContract.js';

/**
 * The gateway's domain types, and the interfaces that connect it to a
 * deployment. An adapter implements the interfaces; nothing here depends on a
 * wire format.
 */

/** Host and port of a listener. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Kinds of routes, which differ in what may be retried. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

export interface ServiceShare {
  service: string;
  weight: number;
}

/** A route, and how its requests are handled. */
export interface RoutePolicy {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting. */
  timeoutMs: number;
  /** Target time for the first token of a stream or for a complete response. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  services: readonly ServiceShare[];
  /** Number of attempts that one request may use. */
  maxAttempts: number;
  /** A stream may be resumed on another runner. */
  resumable: boolean;
  /** Callers need no key. */
  isPublic: boolean;
  /** Longest pause between events; undefined if the route doesn't stream. */
  pauseTargetMs?: number;
  /**
   * Callers disconnect from a stream after this time without an event, also
   * before the first one; undefined if they wait for the complete response.
   */
  callerIdleTimeoutMs?: number;
}

export interface ModelSpec {
  name: string;
  weightsMb: number;
  adapterMb: number;
  /** Duration of a load from the weight store, from disk and from memory. */
  storeLoadMs: number;
  diskLoadMs: number;
  memoryLoadMs: number;
}

/** Capacity of the runners of a service. */
export interface EngineSpec {
  slots: number;
  kvCapacityTokens: number;
  weightsMb: number;
  adapterSlots: number;
  /** Loads per second that the weight store allows over all runners. */
  loadsPerSecond: number;
  models: ReadonlyMap<string, ModelSpec>;
}

export interface ServiceSpec {
  name: string;
  /** Undefined for a plain service. */
  engine?: EngineSpec;
}

/** Limits on what callers send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Usage that an organisation is allowed, over all entries together. */
export interface UsageCap {
  unit: 'requests' | 'tokens';
  ratePerSecond: number;
  burst: number;
  /** Charged for a request without token counts, if the unit is tokens. */
  plainTokens: number;
}

/** Callers that share keys, a priority and a usage cap. */
export interface Organisation {
  name: string;
  /** Digests of the keys of its callers. */
  keyDigests: readonly string[];
  /** Overrides the priority of a route. */
  priority?: number;
  /** Undefined if usage is not limited. */
  usageCap?: UsageCap;
}

export interface FleetConfig {
  version: number;
  routes: readonly RoutePolicy[];
  services: ReadonlyMap<string, ServiceSpec>;
  limits: CallerLimits;
  /** Undefined if callers need no keys. */
  organisations?: readonly Organisation[];
}

export interface HeldModel {
  name: string;
  version: number;
  adapters: readonly string[];
}

/** What a runner states about itself in its registration. */
export interface RunnerRegistration {
  /** Identifies the runner; after a crash it may restart under the same id. */
  runnerId: string;
  /**
   * Unix time at which this incarnation started. A runner loses its state when
   * it restarts.
   */
  bornMs: number;
  service: string;
  address: string;
  failureDomain: string;
  /**
   * Version of the runner's software, not of its weights; undefined if it
   * states none.
   */
  softwareVersion?: string;
  slots: number;
  leaving: boolean;
  /** Time until the runner stops, if it was given short notice. */
  remainingMs?: number;
  /** Undefined for a plain service. */
  models?: readonly HeldModel[];
  /** Increases with each heartbeat of an incarnation; lower ones are stale. */
  heartbeatNumber: number;
  /**
   * The incarnation is known only from the runner's report. What depends on it,
   * such as its software version, is unknown until it registers.
   */
  isUnregistered?: boolean;
}

/** Identifies one start of a runner. */
export type RunnerStart = Pick<RunnerRegistration, 'runnerId' | 'bornMs'>;

/** What a runner reports about its load, some hundred ms old on arrival. */
export interface RunnerReport {
  /** Unix time at which the reporting incarnation started. */
  bornMs: number;
  models: readonly HeldModel[];
  /** Adapters that are being fetched. */
  pendingAdapters: ReadonlyArray<{model: string; adapter: string}>;
  busy: boolean;
  /** Number of orders accepted since the start. */
  orderNumber: number;
  running: number;
  queued: number;
  kvUsedTokens: number;
  kvTotalTokens: number;
  inMemory: readonly string[];
  onDisk: readonly string[];
  /** The runner is leaving and must receive no more requests. */
  isLeaving: boolean;
}

export type OrderKind = 'load' | 'unload';

export interface RunnerOrder {
  kind: OrderKind;
  model: string;
  /** Undefined for an order on the model itself. */
  adapter?: string;
  /** The runner refuses the order if its own order number differs. */
  expectedOrderNumber?: number;
  holder: string;
  fencingToken: number;
}

export type OrderOutcome =
  'accepted' | 'holds' | 'conflict' | 'fenced' | 'invalid' | 'other-runner';

/** A part of a prompt, which several requests may share. */
export interface PromptPart {
  partId: string;
  tokens: number;
}

/** The part of a caller's request that routing uses. */
export interface InferenceRequest {
  requestId?: string;
  model?: string;
  adapter?: string;
  /** Whole and not negative; 0 if the caller doesn't state it. */
  promptTokens: number;
  maxOutputTokens: number;
  promptParts: readonly PromptPart[];
  /**
   * How long the caller waits, in ms, not longer than a timer takes; undefined
   * if it doesn't state it.
   */
  deadlineMs?: number;
  /** Id of the last event that the caller received of a stream it resumes. */
  lastEventId?: string;
  /**
   * Id of the request that brought the first event of the stream that this one
   * resumes.
   */
  resumedRequestId?: string;
}

export interface DecodedRequest {
  request: InferenceRequest;
  /** Headers forwarded unchanged, as alternating names and values. */
  passedHeaders: string[];
  /** Digest of the caller's key; undefined if it is missing or malformed. */
  keyDigest?: string;
}

/** A header of a request whose value can't be true. */
export interface InvalidHeader {
  name: string;
  /** What it may hold, for the caller. */
  expected: string;
  value: string;
}

/** A request that can't be true, and what is known of its caller, for the log. */
export interface InvalidRequest {
  header: InvalidHeader;
  requestId?: string;
  /** Digest of the caller's key; undefined if it is missing or malformed. */
  keyDigest?: string;
}

/** Fields that the gateway adds to an attempt. */
export interface AttemptFields {
  runnerId: string;
  remainingMs: number;
  priority?: number;
  lastEventId?: string;
  /** Name of the caller's organisation. */
  organisation?: string;
}

/** What a runner states about its load in a response. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes there at present; 100 is as usual. */
  durationPercent?: number;
}

/** What the head of a runner's response states. */
export interface ResponseInfo {
  requestId?: string;
  /** The runner confirms that the response is its own. */
  signed: boolean;
  /** The runner confirms that it did not run the request. */
  notExecuted: boolean;
  /** Another runner uses the address now. */
  fromOtherRunner: boolean;
  /** The body was re-encoded in transit, so it isn't the runner's. */
  encoded: boolean;
  /**
   * Rate that the runner accepts from all VMs together, in force for as long as
   * its responses state it; undefined if not limited.
   */
  requestsPerSecond?: number;
  /** The runner is leaving and must receive no more requests. */
  isLeaving: boolean;
  /**
   * How long the runner, which has rejected the request, wants no requests from
   * this process, in ms; undefined if it names no time.
   */
  retryAfterMs?: number;
  /** Undefined if the response states none, or an invalid one. */
  load?: ReportedLoad;
  isLoadInvalid?: boolean;
}

export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Translates between headers on the wire and the gateway's types. */
export interface RequestCodec {
  /** The values of a decoded request are within their ranges. */
  decodeRequest(
    rawHeaders: readonly string[],
  ): Result<DecodedRequest, InvalidRequest>;
  encodeAttempt(decoded: DecodedRequest, fields: AttemptFields): string[];
  decodeResponse(
    status: number,
    headers: ResponseHeaders,
    runnerId: string,
  ): ResponseInfo;
  /** Selects the headers of a response that are forwarded to the caller. */
  forwardedResponseHeaders(headers: ResponseHeaders): ResponseHeaders;
}

/** Code of the error for a runner that answered, but not with its state. */
export const UNREADABLE_REPORT = 'unreadable';

/** Control calls to runners. */
export interface RunnerControl {
  /** On an error the order may still be carried out. */
  order(
    runnerId: string,
    address: string,
    order: RunnerOrder,
  ): Promise<Result<OrderOutcome, BanyanfoldError>>;
  /** An error has the code {@link UNREADABLE_REPORT} if an answer came. */
  report(
    runnerId: string,
    address: string,
  ): Promise<Result<RunnerReport, BanyanfoldError>>;
}

/** A configuration as encoded by its source; it contains callers' keys. */
export interface ConfigRecord {
  version: number;
  bytes: Buffer;
}

/** Source of the configuration and of runners' registrations. */
export interface FleetSource {
  start(handlers: FleetHandlers): void;
  /** The configuration that was last passed to the handlers. */
  readonly configRecord: ConfigRecord | undefined;
  /** Accepts a configuration that a peer has read. */
  takeConfig(record: ConfigRecord): void;
  /** Reads the configuration again, because a peer has a newer one. */
  refreshConfig(): void;
  /**
   * Position after the last record read that added or removed a runner or
   * changed whether it is leaving; comparable between readers.
   */
  readonly runnersChange: number;
  /** Whether all changes up to that position have been read. */
  hasReadRunners(runnersChange: number): boolean;
  /** Reads the runners again, unless it has read up to that position. */
  refreshRunners(runnersChange: number): void;
  /**
   * Reads what has changed at the runners at once; resolves when that has
   * succeeded or failed.
   *
   * @returns whether each registration and removal up to the time of the call has
   * been passed on, none left out.
   */
  confirmRunners(): Promise<boolean>;
  stop(): void;
}

export interface FleetHandlers {
  onConfig(config: FleetConfig): void;
  /** The last configuration passed on was the newest one at a time, in ms. */
  onConfigCurrent(atMs: number): void;
  onRegistration(registration: RunnerRegistration): void;
  onRemoval(runnerId: string): void;
  /**
   * All registrations and removals up to a time, in ms, have been passed on.
   */
  onRunnersCurrent(atMs: number): void;
  /**
   * Changes of the runners may have been deleted before they were read, or lost
   * by the source. All runners are read anew.
   */
  onRunnersGap?(): void;
  /** All runners have been read, for the first time or anew. */
  onCaughtUp(): void;
  /** Whether peers report changes at once, so that the source can poll less. */
  isRelayed(): boolean;
}

/** State of the lease that permits giving orders, as known to this process. */
export interface LeaseState {
  /** This process holds the lease and may give orders. */
  isHolder: boolean;
  /**
   * The store last assigned the lease to this process. It may have expired
   * since, so that no orders may be sent; what is known of the runners is still
   * valid.
   */
  owns: boolean;
  /**
   * The lease has not expired, so no other process holds it. A holder that
   * can't reach the store may give orders for longer, because runners check
   * their tokens.
   */
  isUnexpired: boolean;
  /** The store last reported that nobody holds the lease. */
  isVacant: boolean;
  /** Increases with each change of holder. */
  fencingToken: number;
  /** Increases if another process may have sent orders since this one did. */
  term: number;
  /**
   * No process has held the lease before this one, which has held it without
   * interruption.
   */
  isFirst: boolean;
  /** Address of the holder's internal listener, if known. */
  holderAddress?: string;
}

export interface JoinResult {
  /** Increases with each change of the group's members. */
  generation: number;
  /** No other process has ever been a member. */
  isFirstGeneration: boolean;
  owns: boolean;
}

/** The group of processes, one of which the store assigns the lease. */
export interface LeaseStore {
  join(generation: number): Promise<Result<JoinResult, BanyanfoldError>>;
  leave(): Promise<Result<void, BanyanfoldError>>;
  /** Address of the member that holds the lease; undefined if none does. */
  owner(): Promise<Result<string | undefined, BanyanfoldError>>;
}

export interface LeaseSource {
  start(): void;
  /**
   * Read right before each order; `isHolder` is false once the lease may have
   * expired.
   */
  current(): LeaseState;
  /** Looks up the holder again, after the known one did not respond. */
  refreshHolder(): void;
  /**
   * Gives up the lease to a later holder.
   *
   * @returns whether this process had lost its connection to the store.
   */
  yieldTo(generation: number, address?: string): boolean;
  /** Records the holder that a peer reported. */
  noteHolder(address: string | undefined): void;
  /**
   * Takes over the lease from a holder that is leaving.
   *
   * @returns whether this process took it.
   */
  takeOver(handover: LeaseHandover): boolean;
  /** Records that a runner refused this process's fencing token. */
  noteFenced(): void;
  /**
   * Sets whether this process belongs to the group that may be assigned the
   * lease. A process outside of it releases the lease if it holds it.
   */
  setStandby(isStandby: boolean): void;
  release(): Promise<void>;
}

/** Usage of one organisation, as it is stored. */
export interface StoredUsage extends FleetUsageSnapshot {
  /**
   * Amounts used in equal parts of the window, the newest first; omitted by
   * earlier releases.
   */
  usedByAge?: number[] | undefined;
}

/** Stored usage of the organisations that are near their limits. */
export interface UsageRecord {
  /** Unix time. */
  atMs: number;
  organisations: Record<string, StoredUsage>;
}

/** Stores usage, so that it outlasts all processes. */
export interface UsageStore {
  /** Resolves to undefined if nothing is stored. */
  load(): Promise<Result<UsageRecord | undefined, BanyanfoldError>>;
  save(record: UsageRecord): Promise<Result<void, BanyanfoldError>>;
}

/** Stores which services have runners of several software versions. */
export interface VersionNoteStore {
  /** Registers a listener for when recent writes may be lost from the store. */
  onReset(listener: () => void): void;
  load(): Promise<Result<string[], BanyanfoldError>>;
  /** Writes and removes notes in one call. Idempotent. */
  update(
    put: readonly string[],
    dropped: readonly string[],
  ): Promise<Result<void, BanyanfoldError>>;
}

/** Batches of stream origins, and where the next read goes on. */
export interface OriginBatches {
  /** Oldest first. Other writers may have added some. */
  batches: Buffer[];
  cursor: number;
}

/** Stores which versions began recent streams, in batches, for some minutes. */
export interface OriginBatchStore {
  /** Writes that the store allows all entries together, per second. */
  readonly writesPerSecond: number;
  /**
   * Registers a listener for when recent writes may be lost from the store, and
   * cursors are no longer valid.
   */
  onReset(listener: () => void): void;
  append(batch: Buffer): Promise<Result<void, BanyanfoldError>>;
  /**
   * Reads the newest batches.
   *
   * @param maxBatches older ones are left out.
   * @param after cursor of the read before; only later batches are read.
   */
  readNewest(
    maxBatches: number,
    after?: number,
  ): Promise<Result<OriginBatches, BanyanfoldError>>;
}

/** A stored quarantine. */
export interface QuarantineRecord {
  /** The key of what is quarantined: one or several fingerprints. */
  fingerprint: string;
  /** Unix time at which its quarantine started. */
  atMs: number;
}

/** Stores the quarantine, so that it outlasts all processes. */
export interface QuarantineStore {
  /** Registers a listener for when recent writes may be lost from the store. */
  onReset(listener: () => void): void;
  load(): Promise<Result<QuarantineRecord[], BanyanfoldError>>;
  /** Writes and removes records in one call. Idempotent. */
  update(
    put: readonly QuarantineRecord[],
    dropped: readonly string[],
  ): Promise<Result<void, BanyanfoldError>>;
}
