/** A runner, as input of {@link planCopies}. */
export interface CopyRunner {
  runnerId: string;
  failureDomain: string;
  /** Memory for weights. */
  weightsMb: number;
  /** Memory kept free for adapters. */
  reservedMb: number;
  /** Models that are held or being loaded. */
  models: readonly string[];
  /** Whether it is carrying out an order; it takes one at a time. */
  isBusy: boolean;
  /** Whether it left a recent order unanswered; it may be shutting down. */
  isUnresponsive?: boolean;
  /** Requests that run at once; unlimited if undefined. */
  slots?: number;
  /** Speed of its machine at present; 1, the default, is as usual. */
  speed?: number;
  /** Requests in flight by model; if undefined, idle times are used. */
  inUse?: Readonly<Record<string, number>>;
  inMemory: readonly string[];
  onDisk: readonly string[];
  /** The model for which memory was freed here. */
  intendedModel?: string;
  /** The model that is being loaded. */
  loadingModel?: string;
  /** Time until that model is loaded, if known. */
  loadingLeftMs?: number;
}

/** A model, as input of {@link planCopies}. */
export interface CopyModel {
  name: string;
  weightsMb: number;
  /** Time of a load from the weight store. */
  storeLoadMs: number;
  /** Time of a load from a runner's disk, and from its memory. */
  diskLoadMs?: number;
  memoryLoadMs?: number;
  /** Smoothed work per second requested at all entries. */
  workPerSecond: number;
  /** Smoothed requests per second at all entries. */
  requestsPerSecond: number;
  /** The same over a longer time: demand that has moved away may return. */
  longTermRequestsPerSecond?: number;
  /** Requests that wait now, for a copy or for a slot for their adapter. */
  waiting: number;
  /** Time since the last request for the model. */
  idleMs: number;
}

export interface CopyPlanInput {
  runners: readonly CopyRunner[];
  models: readonly CopyModel[];
  /** Number of loads that the weight store allows now. */
  storeLoadsLeft: number;
  /** False while demand was observed too briefly to evict copies for it. */
  canEvict?: boolean;
}

/** An order to a runner to load or unload a copy. */
export interface CopyOrder {
  kind: 'load' | 'unload';
  runnerId: string;
  model: string;
  /** Whether the load counts against the rate of the weight store. */
  isFromStore: boolean;
  /** For an unload: the model that is to be loaded instead. */
  roomFor?: string;
  reason: string;
}

/** Weights and thresholds of a plan; callers are counted over the horizon. */
export interface PlanCopiesOptions {
  /**
   * Time for which demand is assumed to last, in ms. It exceeds the time of a
   * load after an unload that waits for requests to finish, up to 8 s;
   * otherwise a copy that takes this long would be worth nothing.
   */
  horizonMs: number;
  /**
   * Work per second, in thousands of prompt tokens of the largest model, at
   * which half of the callers of a runner get a late answer. Engines read
   * 38,000 to 41,000 tokens per second.
   */
  halfLateWork: number;
  /**
   * Work per second that a runner completes; work beyond it is not served. It
   * is twice what engines read, because on a busy day of 26 runners half of the
   * requested prompt tokens were cached.
   */
  maxWork: number;
  /** Cost of a late answer, relative to no answer. */
  lateWeight: number;
  /**
   * Time for which one request in flight delays an unload, in ms. Several
   * requests delay it until the longest has finished: with 30 streams of about
   * 2 s, an unload took up to 10 s, during which the runner took no other
   * order.
   */
  runDurationMs: number;
  /** After this time without a request, no request delays an unload, in ms. */
  idleThresholdMs: number;
  /**
   * Share of all demand that moves to other models within the horizon, with the
   * same probability for each model. The last copy of a model is worth that
   * many callers for each second of a load. With a tenth for each model,
   * whatever the number of models, 76 rare models kept the memory of 26 runners
   * while one copy received 20 prompts per second.
   */
  demandShiftShare: number;
  /** Load time added for a runner that left an order unanswered, in ms. */
  unresponsivePenaltyMs: number;
  /** Callers lost per second that an unload blocks a runner's other orders. */
  unloadWaitCostPerSecond: number;
  /**
   * Minimum gain of a copy that needs an eviction while another copy of the
   * model is pending. With a smaller one, four loads of a rare model began
   * within 0.3 s.
   */
  minGainWhilePending: number;
  /** Time constant of the smoothed rates, in ms. */
  smoothingMs: number;
  /**
   * Number of possible requests that count as not received when a rate is
   * estimated. A smoothed rate starts from the first requests: one request for
   * a rare model gives 0.7 per second.
   */
  priorRequests: number;
  /** Share of the long-term demand that may return within the horizon. */
  demandReturnShare: number;
  /** Minimum number of callers that a move must save over the horizon. */
  minGain: number;
  /** An eviction must save this many times the callers that it loses. */
  minGainToLossRatio: number;
  /** Additional callers that a load from the weight store must save. */
  storeLoadCost: number;
  /** The same for a load that only relieves runners; loads have a price. */
  storeReliefCost: number;
  /** Value, in callers, of a copy that survives the loss of other domains. */
  newDomainGain: number;
  /**
   * Number of requests waiting at runners that hold their model that justify
   * one more copy: all slots for adapters are in use there. At one runner, 16
   * adapters were requested for five slots, and 87 callers waited 5 s on
   * average.
   */
  waitingPerCopy: number;
  /**
   * While no caller waits, a model with more copies than this gives one up for
   * a model that has none. Three copies tolerate the loss of one runner while
   * another one is drained.
   */
  protectedCopies: number;
  /**
   * Only a model whose load takes longer than this, in ms, replaces another one
   * in advance, because callers of rare models wait 2.5 s and more.
   */
  slowLoadMs: number;
}

export const DEFAULT_PLAN_COPIES_OPTIONS: PlanCopiesOptions = {
  horizonMs: 10_000,
  halfLateWork: 40,
  maxWork: 80,
  lateWeight: 0.7,
  runDurationMs: 2_000,
  idleThresholdMs: 1_500,
  demandShiftShare: 0.5,
  unresponsivePenaltyMs: 2_000,
  unloadWaitCostPerSecond: 0.5,
  minGainWhilePending: 5,
  smoothingMs: 1_500,
  priorRequests: 2,
  demandReturnShare: 0.05,
  minGain: 0.4,
  minGainToLossRatio: 1.3,
  storeLoadCost: 0.1,
  storeReliefCost: 4,
  newDomainGain: 0.3,
  waitingPerCopy: 4,
  protectedCopies: 3,
  slowLoadMs: 2_000,
};
