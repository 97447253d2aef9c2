import type {BanyanfoldError} from '@banyanfold/core';
import type {FleetUsageSnapshot} from '@banyanfold/decisions';
import type {Result} from 'neverthrow';
import type {LeaseHandover} from './peers/peerContract.js';

/**
 * What the gateway knows and the ports through which it knows it. An adapter
 * fills the ports; nothing here depends on how a deployment spells its wire.
 */

/** Host and port of a listener. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** What may be repeated, by kind of route. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

export interface ServiceShare {
  service: string;
  weight: number;
}

export interface RoutePolicy {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** The longest that a caller is kept waiting. */
  timeoutMs: number;
  /** First token or whole answer within this earns the full value. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  services: readonly ServiceShare[];
  /** Runners that one request may be sent to. */
  maxAttempts: number;
  /** A stream may go on at another runner. */
  resumable: boolean;
  /** Callers need no key. */
  isPublic: boolean;
  /** The longest pause between events; undefined where nothing streams. */
  pauseTargetMs?: number;
  /**
   * Callers leave a stream after so long without an event, also before its
   * first one; undefined where they wait for the whole answer.
   */
  callerIdleTimeoutMs?: number;
}

export interface ModelSpec {
  name: string;
  weightsMb: number;
  adapterMb: number;
  /** Time of a load from the weight store, from disk and from memory. */
  storeLoadMs: number;
  diskLoadMs: number;
  memoryLoadMs: number;
}

/** What the runners of a service can hold and run. */
export interface EngineSpec {
  slots: number;
  kvCapacityTokens: number;
  weightsMb: number;
  adapterSlots: number;
  /** Loads a second that the weight store allows over all runners. */
  loadsPerSecond: number;
  models: ReadonlyMap<string, ModelSpec>;
}

export interface ServiceSpec {
  name: string;
  /** Undefined for a plain service. */
  engine?: EngineSpec;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** How much an organisation may have run, over all entries together. */
export interface UsageCap {
  unit: 'requests' | 'tokens';
  ratePerSecond: number;
  burst: number;
  /** What a request without token counts amounts to, where tokens are counted. */
  plainTokens: number;
}

/** Callers that are told apart, have a priority and are capped together. */
export interface Organisation {
  name: string;
  /** Digests of the keys that its callers carry. */
  keyDigests: readonly string[];
  /** Goes before the priority of a route. */
  priority?: number;
  /** Undefined for one without a limit. */
  usageCap?: UsageCap;
}

export interface FleetConfig {
  version: number;
  routes: readonly RoutePolicy[];
  services: ReadonlyMap<string, ServiceSpec>;
  limits: CallerLimits;
  /** Undefined where callers carry no keys. */
  organisations?: readonly Organisation[];
}

export interface HeldModel {
  name: string;
  version: number;
  adapters: readonly string[];
}

/** What a runner says of itself in its registration. */
export interface RunnerRegistration {
  /** Names the runner; one that crashed may start again under it. */
  runnerId: string;
  /** Start of this life, Unix time; a later life knows nothing of it. */
  bornMs: number;
  service: string;
  address: string;
  failureDomain: string;
  slots: number;
  leaving: boolean;
  /** Time until it is gone, where it was told at short notice. */
  remainingMs?: number;
  /** Undefined at a plain service. */
  models?: readonly HeldModel[];
  /** Rises with each heartbeat of a life; an older one says nothing new. */
  heartbeatNumber: number;
}

/** What a runner reports about its load, some hundred ms late. */
export interface RunnerReport {
  /** Start of the life that reports, Unix time. */
  bornMs: number;
  models: readonly HeldModel[];
  /** Adapters that are being fetched, as model and name. */
  pendingAdapters: ReadonlyArray<{model: string; adapter: string}>;
  busy: boolean;
  /** Orders accepted since its start. */
  orderNumber: number;
  running: number;
  queued: number;
  kvUsedTokens: number;
  kvTotalTokens: number;
  inMemory: readonly string[];
  onDisk: readonly string[];
}

export type OrderKind = 'load' | 'unload';

export interface RunnerOrder {
  kind: OrderKind;
  model: string;
  /** Undefined for an order on the model itself. */
  adapter?: string;
  /** Refused when the runner has accepted another number of orders. */
  expectedOrderNumber?: number;
  holder: string;
  fencingToken: number;
}

export type OrderOutcome =
  'accepted' | 'holds' | 'conflict' | 'fenced' | 'invalid' | 'other-runner';

export interface PromptPart {
  partId: string;
  tokens: number;
}

/** A caller's request as far as routing reads it. */
export interface InferenceRequest {
  requestId?: string;
  model?: string;
  adapter?: string;
  promptTokens: number;
  maxOutputTokens: number;
  promptParts: readonly PromptPart[];
  /** How long the caller waits; undefined when it doesn't say. */
  deadlineMs?: number;
  /** The last event that the caller has of a stream it resumes. */
  lastEventId?: string;
}

export interface DecodedRequest {
  request: InferenceRequest;
  /** Name and value by turns: what goes on to the runner unchanged. */
  passedHeaders: string[];
  /** Digest of the caller's key; undefined without one that is well-formed. */
  keyDigest?: string;
}

/** What the gateway adds to one attempt. */
export interface AttemptFields {
  runnerId: string;
  remainingMs: number;
  priority?: number;
  lastEventId?: string;
  /** Name of the caller's organisation. */
  organisation?: string;
}

/** What an answer's head says. */
export interface AnswerFacts {
  requestId?: string;
  /** The runner vouches that the answer is its own. */
  signed: boolean;
  /** The runner vouches that it did not run the request. */
  notExecuted: boolean;
  /** Another runner has the address by now. */
  fromOtherRunner: boolean;
  /** The body was recoded on the way, so it isn't the runner's. */
  encoded: boolean;
  /**
   * What the runner takes from all VMs together, for as long as its answers say
   * so; undefined without a limit.
   */
  requestsPerSecond?: number;
}

export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** Translates between the wire's headers and the gateway's fields. */
export interface RequestCodec {
  decodeRequest(rawHeaders: readonly string[]): DecodedRequest;
  encodeAttempt(decoded: DecodedRequest, fields: AttemptFields): string[];
  decodeAnswer(
    status: number,
    headers: AnswerHeaders,
    runnerId: string,
  ): AnswerFacts;
  /** What of an answer's head goes on to the caller. */
  passedAnswerHeaders(headers: AnswerHeaders): AnswerHeaders;
}

/** Calls to a runner that are no requests of callers. */
export interface RunnerControl {
  /** An error says that the order may still be carried out. */
  order(
    runnerId: string,
    address: string,
    order: RunnerOrder,
  ): Promise<Result<OrderOutcome, BanyanfoldError>>;
  report(
    runnerId: string,
    address: string,
  ): Promise<Result<RunnerReport, BanyanfoldError>>;
}

/** A configuration as its source spells it; it holds callers' keys. */
export interface ConfigRecord {
  version: number;
  bytes: Buffer;
}

/** Where a configuration or a registration comes from. */
export interface FleetSource {
  start(handlers: FleetHandlers): void;
  /** The configuration that was given last. */
  readonly configRecord: ConfigRecord | undefined;
  /** Gives a configuration that a peer has read. */
  takeConfig(record: ConfigRecord): void;
  /** Reads the configuration anew, because a peer has a newer one. */
  refreshConfig(): void;
  /**
   * Position after the last record read that changed which runners there are
   * or whether one leaves; it means the same to all readers.
   */
  readonly runnersChange: number;
  /** Reads the runners anew, unless it has read up to that position. */
  refreshRunners(runnersChange: number): void;
  stop(): void;
}

export interface FleetHandlers {
  onConfig(config: FleetConfig): void;
  /** The source has nothing newer than what it gave last. */
  onConfigCurrent(): void;
  onRegistration(registration: RunnerRegistration): void;
  onRemoval(runnerId: string): void;
  /** The source has been read to its end once. */
  onCaughtUp(): void;
  /** Peers tell of changes at once, so that reading seldom is enough. */
  isRelayed(): boolean;
}

/** The state of the lease on giving orders, as this process knows it. */
export interface LeaseState {
  isHolder: boolean;
  /**
   * The store last gave it to this process. It may have lapsed since, so that no
   * order may go out; what this process knows of the runners still holds.
   */
  owns: boolean;
  /** The store last said that nobody has it. */
  isVacant: boolean;
  /** Rises with each change of holder. */
  fencingToken: number;
  /** Rises when another process may have ordered since this one last did. */
  term: number;
  /** Address of the holder's internal listener, where one is known. */
  holderAddress?: string;
}

export interface LeaseAnswer {
  /** Rises with each change of the group. */
  generation: number;
  owns: boolean;
}

/** The group among whose members the store deals the one lease. */
export interface LeaseStore {
  join(generation: number): Promise<Result<LeaseAnswer, BanyanfoldError>>;
  leave(): Promise<Result<void, BanyanfoldError>>;
  /** Address of the member that has it; undefined while none has. */
  owner(): Promise<Result<string | undefined, BanyanfoldError>>;
}

export interface LeaseSource {
  start(): void;
  /** Checked right before each order: false once the lease may have lapsed. */
  current(): LeaseState;
  /** Asks again who holds it, for one that met no answer there. */
  refreshHolder(): void;
  /** A later holder is there. Returns whether this one had lost the store. */
  yieldTo(generation: number, address?: string): boolean;
  /** A peer says who holds it. */
  noteHolder(address: string | undefined): void;
  /** Takes the lease from a holder that leaves. */
  takeOver(handover: LeaseHandover): boolean;
  /** A runner refused this process's token. */
  noteFenced(): void;
  /**
   * Whether this process is in the group that the lease is dealt to. One that
   * isn't gives the lease away if it has it.
   */
  setStandby(isStandby: boolean): void;
  release(): Promise<void>;
}

/** What organisations near their limits have left, as it is kept. */
export interface UsageRecord {
  /** Unix time. */
  atMs: number;
  organisations: Record<string, FleetUsageSnapshot>;
}

/** Keeps what has been used while no process may. */
export interface UsageStore {
  /** Undefined where nothing has been kept. */
  load(): Promise<Result<UsageRecord | undefined, BanyanfoldError>>;
  save(record: UsageRecord): Promise<Result<void, BanyanfoldError>>;
}

/** A request in quarantine, as it is kept. */
export interface QuarantineRecord {
  fingerprint: string;
  /** When it was put in, Unix time. */
  atMs: number;
}

/** Keeps what must outlast all processes. */
export interface QuarantineStore {
  /** Called when what was written lately may be gone from the store. */
  onReset(listener: () => void): void;
  load(): Promise<Result<QuarantineRecord[], BanyanfoldError>>;
  /** Writes and drops in one call; done twice it changes nothing. */
  update(
    put: readonly QuarantineRecord[],
    dropped: readonly string[],
  ): Promise<Result<void, BanyanfoldError>>;
}
