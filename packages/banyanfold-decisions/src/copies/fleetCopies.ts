import type {
  CopyModel,
  CopyPlanInput,
  CopyRunner,
  PlanCopiesOptions,
} from './types.js';

/** A runner with the decisions of the plan so far applied to it. */
export interface PlannedRunner {
  runner: CopyRunner;
  /** Models that are held, being loaded, or having memory freed for them. */
  models: Set<string>;
  freeMb: number;
  /** Whether it carries out an order already, or gets one in this plan. */
  hasOrder: boolean;
  /** Expected load of its copies. */
  load: RunnerLoad;
}

/** Load of a runner, or of a share of a model's demand. */
interface RunnerLoad {
  /** Work and requests per second. */
  work: number;
  requests: number;
  /** Requests in flight at a time. */
  running: number;
}

/** A copy that does not serve yet. */
interface PendingCopy {
  holder: PlannedRunner;
  readyMs: number;
  /** Whether it waits for an unload, and so for requests there to finish. */
  needsEviction: boolean;
}

const MS_PER_SECOND = 1000;
const NO_LOAD: RunnerLoad = {work: 0, requests: 0, running: 0};

/**
 * Tracks which runner holds which models, and estimates the callers lost over
 * the horizon.
 *
 * All costs and gains are numbers of callers without an answer or, at a lower
 * weight, with a late one. A model without a copy loses all its callers until a
 * copy serves. The more work the copies of a runner attract, the more of its
 * callers get late answers, since all its models share one batch.
 */
export class FleetCopies {
  readonly runners: PlannedRunner[];
  readonly models: ReadonlyMap<string, CopyModel>;
  /** Total of all models. */
  readonly requestsPerSecond: number;
  private readonly holders = new Map<string, PlannedRunner[]>();
  private readonly serving = new Map<string, number>();
  private readonly pending = new Map<string, PendingCopy[]>();
  private readonly largestMb: number;
  /** Requests in flight now, by model. */
  private readonly running: ReadonlyMap<string, number>;

  constructor(
    input: CopyPlanInput,
    private readonly options: PlanCopiesOptions,
  ) {
    const models = input.models.map(model => withConfidentRate(model, options));
    this.models = new Map(models.map(model => [model.name, model]));
    this.requestsPerSecond = models.reduce(
      (sum, model) => sum + model.requestsPerSecond,
      0,
    );
    this.largestMb = Math.max(1, ...input.models.map(m => m.weightsMb));
    this.runners = input.runners.map(runner => ({
      runner,
      models: new Set<string>(),
      freeMb: runner.weightsMb - runner.reservedMb,
      hasOrder: runner.isBusy,
      load: NO_LOAD,
    }));
    this.running = runningByModel(input.runners);
    for (const holder of this.runners) this.addReportedCopies(holder);
    for (const holder of this.runners) this.updateLoad(holder);
  }

  model(name: string): CopyModel | undefined {
    return this.models.get(name);
  }

  /** Number of copies, including pending ones. */
  copyCount(name: string): number {
    return this.holders.get(name)?.length ?? 0;
  }

  servingCopies(name: string): number {
    return this.serving.get(name) ?? 0;
  }

  pendingCopies(name: string): number {
    return this.pending.get(name)?.length ?? 0;
  }

  /** Whether a copy is held or pending in the failure domain. */
  hasCopyInDomain(name: string, failureDomain: string): boolean {
    const holders = this.holders.get(name) ?? [];
    return holders.some(({runner}) => runner.failureDomain === failureDomain);
  }

  /**
   * Callers per second that a runner loses under a load: the weighted share of
   * late answers, plus all requests beyond what it can read or has slots for.
   * With late answers alone, a runner at four times its capacity would lose
   * hardly fewer callers after a second copy is added elsewhere: 20 prompts per
   * second went to one runner while 16 of 26 had none.
   */
  private lostCallersPerSecond(
    {work, requests, running}: RunnerLoad,
    slots: number,
    speed: number,
  ) {
    const {halfLateWork, maxWork, lateWeight} = this.options;
    const square = (work / (halfLateWork * speed)) ** 2;
    const late = (lateWeight * square) / (1 + square);
    const slotCount = Math.max(1, slots);
    const excess = Math.max(1, work / (maxWork * speed), running / slotCount);
    const unserved = 1 - 1 / excess;
    return requests * (unserved + (1 - unserved) * late);
  }

  /** Callers per second lost by a change of load; negative for saved ones. */
  private callersLostBy(
    {load, runner}: PlannedRunner,
    change: RunnerLoad,
  ): number {
    const {slots = Number.POSITIVE_INFINITY, speed = 1} = runner;
    const after = addLoads(load, change);
    return (
      this.lostCallersPerSecond(after, slots, speed) -
      this.lostCallersPerSecond(load, slots, speed)
    );
  }

  /** Load of a share of a model's demand; negative for a negative share. */
  private loadShare(model: CopyModel, share: number): RunnerLoad {
    return {
      work: this.workOf(model) * share,
      requests: model.requestsPerSecond * share,
      running: (this.running.get(model.name) ?? 0) * share,
    };
  }

  /** Work per second of all copies, scaled by the size of the model. */
  workOf(model: CopyModel): number {
    return (model.workPerSecond * model.weightsMb) / this.largestMb;
  }

  /** Callers that request the model within the horizon, or wait for it now. */
  callersOverHorizon(model: CopyModel): number {
    return model.waiting + this.arrivalsOverHorizon(model);
  }

  /**
   * Callers lost over the horizon until a copy of the model serves. Of those
   * that wait now, more leave the later it is ready; half of them are assumed
   * to stay for the whole horizon.
   */
  callersLostUntilReady(
    model: CopyModel,
    readyMs = this.readyInMs(model.name),
  ): number {
    const {horizonMs} = this.options;
    const share = Math.min(readyMs, horizonMs) / horizonMs;
    const lostOfWaiting = share < 1 ? share / 2 : 1;
    const arriving = this.arrivalsOverHorizon(model);
    return model.waiting * lostOfWaiting + arriving * share;
  }

  private arrivalsOverHorizon(model: CopyModel): number {
    const {horizonMs, demandReturnShare} = this.options;
    const returning =
      (model.longTermRequestsPerSecond ?? 0) * demandReturnShare;
    const perSecond = Math.max(model.requestsPerSecond, returning);
    return (perSecond * horizonMs) / MS_PER_SECOND;
  }

  /**
   * Time until a copy serves; infinite if none is pending.
   *
   * @param includesEvictions whether to count copies for which memory is still
   * being freed.
   */
  readyInMs(name: string, includesEvictions = true): number {
    if (this.servingCopies(name) > 0) return 0;
    const pending = (this.pending.get(name) ?? []).filter(
      ({needsEviction}) => includesEvictions || !needsEviction,
    );
    return Math.min(Number.POSITIVE_INFINITY, ...pending.map(c => c.readyMs));
  }

  /** Callers per second that one more copy saves at the current holders. */
  callersSavedAtHolders(model: CopyModel): number {
    const holders = this.holders.get(model.name) ?? [];
    const count = holders.length;
    if (count === 0) return 0;
    const change = this.loadShare(model, 1 / (count + 1) - 1 / count);
    let saved = 0;
    for (const holder of holders) saved -= this.callersLostBy(holder, change);
    return saved;
  }

  /** Callers per second that one more copy loses at its own runner. */
  callersLostAtTarget(target: PlannedRunner, model: CopyModel): number {
    const share = 1 / (this.copyCount(model.name) + 1);
    return this.callersLostBy(target, this.loadShare(model, share));
  }

  /** Callers per second lost at all holders when one copy is removed. */
  callersLostByRemoval(model: CopyModel, from: PlannedRunner): number {
    const holders = this.holders.get(model.name) ?? [];
    const count = holders.length;
    const lessHere = this.loadShare(model, -1 / count);
    const moreElsewhere = this.loadShare(model, 1 / (count - 1) - 1 / count);
    let lost = 0;
    for (const holder of holders) {
      lost += this.callersLostBy(
        holder,
        holder === from ? lessHere : moreElsewhere,
      );
    }
    return lost;
  }

  /**
   * Waiting requests that one more copy serves. Requests for a model that is
   * held wait for slots for their adapters, of which each copy adds as many.
   */
  waitingSavedByCopy({name, waiting}: CopyModel): number {
    return waiting / (this.copyCount(name) + 1);
  }

  /** Requests that wait in addition when one of several copies is removed. */
  waitingLostByRemoval({name, waiting}: CopyModel): number {
    return waiting / (this.copyCount(name) - 1);
  }

  /** Adds a copy that is going to be loaded. */
  addPending(
    target: PlannedRunner,
    model: CopyModel,
    {readyMs, needsEviction}: {readyMs: number; needsEviction: boolean},
  ): void {
    this.addHolder(target, model.name);
    append(this.pending, model.name, {holder: target, readyMs, needsEviction});
    this.updateHolderLoads(model.name);
  }

  remove(from: PlannedRunner, model: CopyModel): void {
    const left =
      this.holders.get(model.name)?.filter(holder => holder !== from) ?? [];
    this.holders.set(model.name, left);
    this.serving.set(model.name, this.servingCopies(model.name) - 1);
    from.models.delete(model.name);
    this.updateLoad(from);
    this.updateHolderLoads(model.name);
  }

  private addReportedCopies(holder: PlannedRunner): void {
    const {runner} = holder;
    const {loadingModel, loadingLeftMs} = runner;
    const names = new Set(runner.models);
    if (loadingModel !== undefined) names.add(loadingModel);
    for (const name of names) {
      holder.freeMb -= this.models.get(name)?.weightsMb ?? 0;
      const isLoading = name === loadingModel;
      // A copy that may never be ready takes its memory but is not waited for.
      if (isLoading && runner.isUnresponsive) continue;
      this.addHolder(holder, name);
      if (!isLoading) {
        this.serving.set(name, this.servingCopies(name) + 1);
        continue;
      }
      const loadMs = this.models.get(name)?.storeLoadMs ?? 0;
      const readyMs = loadingLeftMs ?? loadMs;
      append(this.pending, name, {holder, readyMs, needsEviction: false});
    }
  }

  private addHolder(holder: PlannedRunner, name: string): void {
    holder.models.add(name);
    append(this.holders, name, holder);
  }

  private updateHolderLoads(name: string): void {
    for (const holder of this.holders.get(name) ?? []) this.updateLoad(holder);
  }

  private updateLoad(holder: PlannedRunner): void {
    holder.load = NO_LOAD;
    for (const name of holder.models) {
      const model = this.models.get(name);
      if (!model) continue;
      holder.load = addLoads(
        holder.load,
        this.loadShare(model, 1 / this.copyCount(name)),
      );
    }
  }
}

function addLoads(a: RunnerLoad, b: RunnerLoad): RunnerLoad {
  return {
    work: a.work + b.work,
    requests: a.requests + b.requests,
    running: a.running + b.running,
  };
}

function runningByModel(runners: readonly CopyRunner[]): Map<string, number> {
  const running = new Map<string, number>();
  for (const {inUse = {}} of runners) {
    for (const [model, count] of Object.entries(inUse)) {
      running.set(model, (running.get(model) ?? 0) + count);
    }
  }
  return running;
}

/**
 * Shrinks rates that rest on few requests, which are weak evidence of further
 * demand. A rate that was as high over a longer time is kept.
 */
function withConfidentRate(
  model: CopyModel,
  options: PlanCopiesOptions,
): CopyModel {
  const {requestsPerSecond, longTermRequestsPerSecond = 0} = model;
  if (requestsPerSecond === 0) return model;
  const {smoothingMs, priorRequests} = options;
  const observedRequests = (requestsPerSecond * smoothingMs) / MS_PER_SECOND;
  const confident =
    (requestsPerSecond * observedRequests) / (observedRequests + priorRequests);
  const steady = Math.min(requestsPerSecond, longTermRequestsPerSecond);
  const rate = Math.max(confident, steady);
  const share = rate / requestsPerSecond;
  return {
    ...model,
    requestsPerSecond: rate,
    workPerSecond: model.workPerSecond * share,
  };
}

function append<T>(lists: Map<string, T[]>, key: string, item: T): void {
  const list = lists.get(key);
  if (list) list.push(item);
  else lists.set(key, [item]);
}
