import {z} from 'zod';

/** Shortest retry delay in ms; runners' state rarely changes in less time. */
export const MIN_RETRY_AFTER_MS = 300;

const shareSchema = z.number().min(0).max(1);
const durationMsSchema = z.number().nonnegative();

/** Options of {@link decideRoute}. */
export const routeOptionsSchema = z.strictObject({
  /** Added for each own request that the latest report doesn't include. */
  unreportedCostMs: durationMsSchema.default(20),
  /** Requests that a runner runs at once, if its view doesn't say. */
  assumedMaxRunning: z.number().int().nonnegative().default(16),
  /**
   * Added for each request in flight at the runner: each slows down the tokens
   * of the others long before any request queues.
   */
  runningCostMs: durationMsSchema.default(30),
  /** Added for a runner of another role than the selector prefers. */
  otherRoleCostMs: durationMsSchema.default(20),
  /** Added for a runner in another region. */
  otherRegionCostMs: durationMsSchema.default(50),
  /** Added for a runner in another failure domain; small, to break ties. */
  otherDomainCostMs: durationMsSchema.default(1),
  /** Added for a runner whose KV cache cannot take the request now. */
  kvFullCostMs: durationMsSchema.default(200),
  /** Prefill time that one cached prompt token saves. */
  prefixGainPerTokenMs: z.number().nonnegative().default(0.05),
  /** Prefix affinity ends at a wait of this many times the best wait. */
  affinityLoadFactor: z.number().min(1).default(1.5),
  /** Prefix affinity also holds within this distance of the best wait. */
  affinitySlackMs: durationMsSchema.default(40),
  /** A report older than this counts as lost. */
  reportStaleMs: durationMsSchema.default(3_000),
  /** Added for a runner whose report is lost. */
  staleCostMs: durationMsSchema.default(100),
  /** One of the candidates this close to the best is chosen at random. */
  randomSpreadMs: durationMsSchema.default(5),
  /** Bounds of the Retry-After of a refusal. */
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
  /** Retry-After while an artifact has no copy: the time of a load. */
  noCopyRetryAfterMs: durationMsSchema.default(5_000),
});

/** Options of {@link decideAdmission}. */
export const admissionOptionsSchema = z.strictObject({
  /** The estimate may exceed the budget by this factor before a refusal. */
  budgetTolerance: z.number().positive().default(1),
  /** Share of the queue that classes other than 0 may fill. */
  lowerClassQueueShare: shareSchema.default(0.75),
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
});

/** Options of {@link pickNext}. */
export const queueOptionsSchema = z.strictObject({
  /** Smoothed time from dispatch to the first token, measured by the agent. */
  firstTokenMs: durationMsSchema.default(0),
  /** Smoothed time between two dispatches, measured by the agent. */
  dispatchIntervalMs: durationMsSchema.default(50),
  /** Free KV memory; requests that need more are skipped. */
  kvFreeBytes: z.number().default(Number.POSITIVE_INFINITY),
  /** One of this many dispatches goes to the lowest class. */
  agedEvery: z.number().int().min(2).default(10),
  minRetryAfterMs: durationMsSchema.default(250),
  maxRetryAfterMs: durationMsSchema.default(30_000),
});

/** Options of {@link decideRetry}. */
export const retryOptionsSchema = z.strictObject({
  maxAttempts: z.number().int().min(1).default(3),
  baseDelayMs: durationMsSchema.default(10),
  maxDelayMs: durationMsSchema.default(200),
  /** A retry with less time left cannot succeed. */
  minRemainingMs: durationMsSchema.default(20),
});

/** Options of {@link decideEjections}. */
export const ejectionOptionsSchema = z.strictObject({
  /** Runners with fewer outcomes are not compared. */
  minOutcomes: z.number().int().min(1).default(8),
  /** Minimum number of runners in a comparison. */
  minPeers: z.number().int().min(2).default(3),
  /** A failing runner's failure share exceeds its peers' median by this. */
  failureMargin: shareSchema.default(0.3),
  /** A slow runner's first token takes this many times its peers' median. */
  slowFactor: z.number().min(1).default(3),
  /** A slow runner's first token also takes this much longer than that. */
  slowMarginMs: durationMsSchema.default(200),
  /** Maximum share of runners ejected at a time; always less than half. */
  maxEjectedShare: shareSchema.default(0.34),
  ejectionMs: durationMsSchema.default(10_000),
});

/** Options of {@link decidePlacement}. */
export const placementOptionsSchema = z.strictObject({
  /** Value of one more request in target. */
  attainmentWeight: z.number().nonnegative().default(1),
  /** Cost of one move of a model, in the same unit. */
  moveWeight: z.number().nonnegative().default(20),
  /** Cost of an adapter's move, as a share of a model's. */
  adapterMoveShare: shareSchema.default(0.1),
  /** Limits of the weight store. */
  loadsPerSecond: z.number().positive().default(1),
  loadsAtOnce: z.number().int().min(1).default(4),
  /** Artifacts without a copy for which memory is freed at a time. */
  roomsAtOnce: z.number().int().min(1).default(3),
  /** Time over which a gain is compared with the cost of its moves. */
  horizonMs: durationMsSchema.default(60_000),
  /** A gain must exceed the cost by this factor. */
  hysteresis: z.number().min(1).default(1.5),
  /** Requests that a runner runs at once, if its view doesn't say. */
  assumedMaxRunning: z.number().int().positive().default(16),
  /** Time of an answer, until a request has shown it. */
  assumedServiceTimeMs: z.number().positive().default(4_000),
  /** A runner with a larger share of its slots in use counts as hot. */
  highUtilization: shareSchema.default(0.6),
  /** Above this load, copies in use may be retired for extra copies. */
  severeLoad: z.number().min(1).default(2),
  /** A runner below this share can take load from others. */
  lowUtilization: shareSchema.default(0.4),
  /** A surplus copy may be retired after this time without a request. */
  retireIdleMs: durationMsSchema.default(30_000),
  /** Maximum number of copies of one artifact. */
  maxCopies: z.number().int().min(1).default(8),
  /** Mean queue length per runner from which a role counts as overloaded. */
  drowningQueued: z.number().nonnegative().default(6),
  /** Minimum number of runners of a role. */
  minRunnersPerRole: z.number().int().min(1).default(1),
  /** Time of the last role change, and minimum time between two of them. */
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
