/** A runner as the plan of copies sees it. */
export interface CopyRunner {
  runnerId: string;
  failureDomain: string;
  weightsMb: number;
  /** Kept free for adapters. */
  reservedMb: number;
  /** Held or on their way. */
  models: readonly string[];
  /** It carries out an order; it takes no other one until it is done. */
  isBusy: boolean;
  /** An order of the last seconds got no answer: it may be about to go. */
  isUnresponsive?: boolean;
  /** Requests that run at once; without it any number does. */
  slots?: number;
  /** Requests under way there, by model; without it idle times tell. */
  inUse?: Readonly<Record<string, number>>;
  inMemory: readonly string[];
  onDisk: readonly string[];
  /** A model for which room was made here. */
  intendedModel?: string;
  /** The model that is being loaded. */
  loadingModel?: string;
  /** Until it is loaded, as far as is known. */
  loadingLeftMs?: number;
}

export interface CopyModel {
  name: string;
  weightsMb: number;
  /** A load from the weight store takes this long. */
  storeLoadMs: number;
  /** From a runner's disk and from its memory. */
  diskLoadMs?: number;
  memoryLoadMs?: number;
  /** Smoothed work a second that is asked for, over all entries. */
  workPerSecond: number;
  /** Smoothed requests a second, likewise. */
  requestsPerSecond: number;
  /** The same over a longer time: demand that left may return. */
  longTermRequestsPerSecond?: number;
  /** Requests that wait for a copy, or for a place for their adapter, now. */
  waiting: number;
  /** Since the last request for it. */
  idleMs: number;
}

export interface CopyPlanInput {
  runners: readonly CopyRunner[];
  models: readonly CopyModel[];
  /** Loads that the weight store allows now. */
  storeLoadsLeft: number;
  /** False while demand has been heard of too shortly to give copies up for it. */
  canEvict?: boolean;
}

export interface CopyOrder {
  kind: 'load' | 'unload';
  runnerId: string;
  model: string;
  /** A load from the weight store counts against its rate. */
  isFromStore: boolean;
  /** Of an unload: the model that is to come. */
  roomFor?: string;
  reason: string;
}

/** What a plan weighs with; callers are counted over the horizon. */
export interface PlanCopiesOptions {
  /**
   * Demand is taken to last so long, in ms. Longer than an unload that waits for
   * runs and a load together, up to 8 s, or a copy that takes as long would be
   * worth nothing. Not measured alone.
   */
  horizonMs: number;
  /**
   * Work a second, in thousands of prompt tokens of the largest model, at which
   * half of a runner's callers get a late answer: engines read 38 to 41 thousand.
   */
  halfLateWork: number;
  /**
   * Work a second that a runner gets through; what comes beyond isn't served.
   * Twice what engines read: half of the prompts asked for was kept from before,
   * over a busy day of 26 runners.
   */
  maxWork: number;
  /** What a late answer counts against one that is not given at all. */
  lateWeight: number;
  /**
   * One run under way keeps an unload waiting for so long, in ms, several for
   * the longest of them: with 30 streams of some 2 s it took up to 10 s, in
   * which the runner took no other order.
   */
  runDurationMs: number;
  /** Without a request for this long no run keeps an unload waiting, in ms. */
  idleThresholdMs: number;
  /**
   * Share of all demand that moves to other models within the horizon, to any of
   * them alike; a last copy is worth so many callers for each second of a load.
   * With a tenth for each model, whatever their number, 76 rare ones kept the
   * memory of 26 runners while 20 prompts a second went to one copy.
   */
  demandShiftShare: number;
  /** A runner that left an order unanswered is taken for so much slower, in ms. */
  unresponsivePenaltyMs: number;
  /** Callers lost for each second in which an unload keeps a runner's orders. */
  unloadWaitCostPerSecond: number;
  /**
   * A copy in place of another one, of a model that one is on its way for, must
   * save so many callers: four of a rare model were begun within 0.3 s.
   */
  minGainWhilePending: number;
  /** Smoothed rates look back so far, in ms. */
  smoothingMs: number;
  /**
   * A rate counts as if so many more requests had been possible and not come. A
   * smoothed rate begins with whoever asks first: one request of a rare model
   * passes for 0.7 a second.
   */
  priorRequests: number;
  /** Share of the usual demand that may return within the horizon; reasoned. */
  demandReturnShare: number;
  /** A move must save so many callers over the horizon, and more. */
  minGain: number;
  /** A move that takes a copy away must gain so many times what that loses. */
  minGainToLossRatio: number;
  /** Callers that a load from the weight store must save besides. */
  storeLoadCost: number;
  /** The same for a load that only relieves runners: loads have a price. */
  storeReliefCost: number;
  /** Callers that a copy in another failure domain is worth: it outlives one. */
  newDomainGain: number;
  /**
   * So many requests that wait although runners hold their model are worth one
   * copy more: the places for its adapters there are all in use. One runner was
   * asked for 16 adapters at five places, and 87 callers waited 5 s on average.
   */
  waitingPerCopy: number;
  /**
   * Of a model with more copies than this, one makes way for a model that has
   * none while nobody waits; three stand the loss of a runner and one more that
   * is being emptied.
   */
  protectedCopies: number;
  /**
   * Only a model whose load takes longer, in ms, is brought in place of another
   * in advance: callers of rare models wait 2.5 s and more.
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
