import {z} from 'zod';

const shareSchema = z.number().min(0).max(1);
const durationMsSchema = z.number().nonnegative();

/** Options of {@link decideRoute}. */
export const routeOptionsSchema = z.strictObject({
  /** Added for each own request that the latest report doesn't include. */
  unreportedCostMs: durationMsSchema.default(20),
  /** Requests a runner runs at once, where its view doesn't say. */
  assumedMaxRunning: z.number().int().nonnegative().default(16),
  /**
   * Added for each request open there: each slows the others' tokens down,
   * long before any of them queues.
   */
  runningCostMs: durationMsSchema.default(30),
  /** Added for a runner of another role than the selector prefers. */
  otherRoleCostMs: durationMsSchema.default(20),
  /** Added for a runner in another region. */
  otherRegionCostMs: durationMsSchema.default(50),
  /** Added for a runner in another failure domain; small, to break ties. */
  otherDomainCostMs: durationMsSchema.default(1),
  /** Added for a runner whose KV cache can't take the request now. */
  kvFullCostMs: durationMsSchema.default(200),
  /** Prefill time that one cached prompt token saves. */
  prefixGainPerTokenMs: z.number().nonnegative().default(0.05),
  /** Prefix affinity ends where the wait passes this many times the best. */
  affinityLoadFactor: z.number().min(1).default(1.5),
  /** Prefix affinity also holds within this much of the best wait. */
  affinitySlackMs: durationMsSchema.default(40),
  /** A report older than this counts as lost. */
  reportStaleMs: durationMsSchema.default(3_000),
  /** Added for a runner whose report is lost. */
  staleCostMs: durationMsSchema.default(100),
  /** Candidates this close to the best are chosen from at random. */
  randomSpreadMs: durationMsSchema.default(5),
  /** Bounds of the Retry-After of a refusal. */
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
  /** Retry-After while an artifact has no copy: the time of a load. */
  noCopyRetryAfterMs: durationMsSchema.default(5_000),
});

/** Options of {@link decideAdmission}. */
export const admissionOptionsSchema = z.strictObject({
  /** The estimate may pass the budget by this factor before refusal. */
  budgetTolerance: z.number().positive().default(1),
  /** Share of the queue that classes other than 0 may fill. */
  lowerClassQueueShare: shareSchema.default(0.75),
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
});

/** Options of {@link pickNext}. */
export const queueOptionsSchema = z.strictObject({
  /** Smoothed time from dispatch to first token; the agent measures it. */
  firstTokenMs: durationMsSchema.default(0),
  /** Smoothed time between two dispatches; the agent measures it. */
  dispatchIntervalMs: durationMsSchema.default(50),
  /** KV memory that is free; requests that need more are passed over. */
  kvFreeBytes: z.number().default(Number.POSITIVE_INFINITY),
  /** Of this many dispatches one goes to the lowest class. */
  agedEvery: z.number().int().min(2).default(10),
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
});

/** Options of {@link decideRetry}. */
export const retryOptionsSchema = z.strictObject({
  maxAttempts: z.number().int().min(1).default(3),
  baseDelayMs: durationMsSchema.default(10),
  maxDelayMs: durationMsSchema.default(200),
  /** A retry with less than this left can't succeed. */
  minRemainingMs: durationMsSchema.default(20),
});

/** Options of {@link decideEjections}. */
export const ejectionOptionsSchema = z.strictObject({
  /** Runners with fewer outcomes than this are not judged. */
  minOutcomes: z.number().int().min(1).default(8),
  /** Judged only among at least this many peers. */
  minPeers: z.number().int().min(2).default(3),
  /** Failing: its failure share passes the peers' median by this much. */
  failureMargin: shareSchema.default(0.3),
  /** Slow: its first token takes this many times the peers' median. */
  slowFactor: z.number().min(1).default(3),
  /** Slow also means at least this much over the peers' median. */
  slowMarginMs: durationMsSchema.default(200),
  /** At most this share of all runners is ejected; always under half. */
  maxEjectedShare: shareSchema.default(0.34),
  ejectionMs: durationMsSchema.default(10_000),
});

/** Options of {@link decidePlacement}. */
export const placementOptionsSchema = z.strictObject({
  /** What one request more in target is worth. */
  attainmentWeight: z.number().nonnegative().default(1),
  /** What one move of a model costs, in the same unit. */
  moveWeight: z.number().nonnegative().default(20),
  /** An adapter's move, as a share of a model's. */
  adapterMoveShare: shareSchema.default(0.1),
  /** The weight store's limits. */
  loadsPerSecond: z.number().positive().default(1),
  loadsAtOnce: z.number().int().min(1).default(4),
  /** Artifacts without a copy for which memory is made free at once. */
  roomsAtOnce: z.number().int().min(1).default(3),
  /** Over this horizon a gain is counted against the price of its moves. */
  horizonMs: durationMsSchema.default(60_000),
  /** A gain must pass the price by this factor. */
  hysteresis: z.number().min(1).default(1.5),
  /** Requests a runner runs at once, where its view doesn't say. */
  assumedMaxRunning: z.number().int().positive().default(16),
  /** Time of an answer, where no request has shown it yet. */
  assumedServiceTimeMs: z.number().positive().default(4_000),
  /** Above this share of its slots in use a runner counts as hot. */
  highUtilization: shareSchema.default(0.6),
  /** Above this a runner is so far over that copies in use make room. */
  severeLoad: z.number().min(1).default(2),
  /** Below this share a runner can help others. */
  lowUtilization: shareSchema.default(0.4),
  /** A surplus copy may be retired after this long without a request. */
  retireIdleMs: durationMsSchema.default(30_000),
  /** More copies than this of one artifact are never made. */
  maxCopies: z.number().int().min(1).default(8),
  /** Requests queued on each runner of a role that mean it drowns. */
  drowningQueued: z.number().nonnegative().default(6),
  /** A role keeps at least this many runners. */
  minRunnersPerRole: z.number().int().min(1).default(1),
  /** When the last role change was made, and how long to keep it. */
  lastRoleChangeMs: z.number().default(Number.NEGATIVE_INFINITY),
  roleHoldMs: durationMsSchema.default(60_000),
});

export type RouteOptions = z.infer<typeof routeOptionsSchema>;
export type AdmissionOptions = z.infer<typeof admissionOptionsSchema>;
export type QueueOptions = z.infer<typeof queueOptionsSchema>;
export type RetryOptions = z.infer<typeof retryOptionsSchema>;
export type EjectionOptions = z.infer<typeof ejectionOptionsSchema>;
export type PlacementOptions = z.infer<typeof placementOptionsSchema>;

export const DEFAULT_ROUTE_OPTIONS: RouteOptions = routeOptionsSchema.parse({});
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions =
  admissionOptionsSchema.parse({});
export const DEFAULT_QUEUE_OPTIONS: QueueOptions = queueOptionsSchema.parse({});
export const DEFAULT_RETRY_OPTIONS: RetryOptions = retryOptionsSchema.parse({});
export const DEFAULT_EJECTION_OPTIONS: EjectionOptions =
  ejectionOptionsSchema.parse({});
export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions =
  placementOptionsSchema.parse({});
