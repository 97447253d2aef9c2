import {CopyPlan} from './copyPlan.js';

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
  inMemory: readonly string[];
  onDisk: readonly string[];
  /** A model for which room was made here. */
  intendedModel?: string;
  /** The model that is being loaded. */
  loadingModel?: string;
}

export interface CopyModel {
  name: string;
  weightsMb: number;
  /** A load from the weight store takes this long. */
  storeLoadMs: number;
  /** Smoothed work a second that is asked for, over all entries. */
  workPerSecond: number;
  /** Smoothed requests a second, likewise. */
  requestsPerSecond: number;
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

export interface PlanCopiesOptions {
  /**
   * A runner with less work a second than this, thousands of prompt tokens,
   * isn't worth relieving: today's engines read about four times as many.
   * Reasoned, not compared with others.
   */
  relieveAboveWork: number;
  /**
   * From here on a runner's queue grows. Its callers are many, those who wait
   * for a rare model few, so that it is relieved before these are served:
   * today's engines read about so many thousands of prompt tokens a second.
   * Reasoned, not compared with others.
   */
  severeWork: number;
  /** The hottest runner's work must fall by this share for a copy more. */
  minGainShare: number;
  /**
   * A copy more is made only where each would get so many requests a second. A
   * smoothed rate begins with whoever asks first: two prompts of 9,000 tokens
   * within its 1.5 s pass for 12,000 tokens a second. No gain in what callers
   * get was shown, and as many copies were loaded on the one day compared.
   */
  minRequestsPerCopy: number;
  /**
   * A sole copy without a request for this long may make way for a model that
   * has none.
   */
  soleIdleMs: number;
  /** A sole copy without a request for this long is rarely missed. */
  rareIdleMs: number;
  /** Demand that is so many times a sole copy's goes before it. */
  outweighsBy: number;
  /** Without a request for this long no run keeps an unload waiting. */
  quietMs: number;
  /** A copy that isn't the last may make way after this. */
  surplusIdleMs: number;
  /**
   * Of a model with more copies than this, one makes way for a model that has
   * none while nobody waits. Demand moves to models that nobody asked for
   * before, and a load takes seconds; three copies stand the loss of a runner
   * and one more that is being emptied. Reasoned; the runs with and without it
   * differ within noise.
   */
  keptCopies: number;
  /**
   * Only a model whose load takes longer, in ms, is brought in advance: callers
   * of rare models wait 2.5 s and more. With loads of 1.2 s it earned 90.8%
   * of the value without and 88.7% with it on one day, 92.3% without and 93.1%
   * with it on another, so that nothing speaks for it there.
   */
  slowLoadMs: number;
  /**
   * So many requests that wait although runners hold their model are worth one
   * copy more: the places for its adapters there are all in use. One runner was
   * asked for 16 adapters at five places, and 87 callers waited 5 s on average.
   * Four is most of the places of such a runner; not compared with others.
   */
  waitingPerCopy: number;
}

export const DEFAULT_PLAN_COPIES_OPTIONS: PlanCopiesOptions = {
  relieveAboveWork: 10,
  severeWork: 40,
  minGainShare: 0.2,
  minRequestsPerCopy: 1,
  soleIdleMs: 4_000,
  rareIdleMs: 10_000,
  outweighsBy: 20,
  quietMs: 1_500,
  surplusIdleMs: 2_500,
  keptCopies: 3,
  slowLoadMs: 2_000,
  waitingPerCopy: 4,
};

/**
 * Plans orders on copies of models: first copies that relieve a runner far over
 * its load, then one for each model that callers wait for, then more of those
 * whose adapters find no place where it is held, then copies that relieve the
 * hottest runner, then copies of models that nobody holds, in room
 * or in place of one of many. A runner gets one order at a time.
 *
 * Answers demand that moves to other models within seconds, and more models
 * than memory: rare ones make way for those that are asked for.
 *
 * @example planCopies({runners, models, storeLoadsLeft: 1})[0]?.kind
 */
export function planCopies(
  input: CopyPlanInput,
  options: PlanCopiesOptions = DEFAULT_PLAN_COPIES_OPTIONS,
): CopyOrder[] {
  const plan = new CopyPlan(input, options);
  plan.useRoomMade();
  plan.relieveHottest(options.severeWork);
  plan.placeOrphans(model => model.waiting > 0);
  plan.placeOrphans(model => model.waiting === 0 && model.workPerSecond > 0.05);
  plan.addToCrowded();
  plan.relieveHottest(options.relieveAboveWork);
  plan.keepReachable();
  return plan.orders;
}
