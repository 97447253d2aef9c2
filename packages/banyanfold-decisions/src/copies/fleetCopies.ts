import type {
  CopyModel,
  CopyPlanInput,
  CopyRunner,
  PlanCopiesOptions,
} from './types.js';

/** A runner with what the plan has decided about it so far. */
export interface PlannedRunner {
  runner: CopyRunner;
  /** Held, on their way, or those for which room is being made. */
  models: Set<string>;
  freeMb: number;
  /** It has an order, or gets one by this plan. */
  isTaken: boolean;
  /** What its copies stand for. */
  load: RunnerLoad;
}

/** What a runner, or a share of a model's demand, has to bear. */
interface RunnerLoad {
  /** Work and requests a second. */
  work: number;
  requests: number;
  /** Requests that are under way at a time. */
  running: number;
}

/** A copy that doesn't serve yet. */
interface ComingCopy {
  at: PlannedRunner;
  inMs: number;
  /** Room is still being made, which takes as long as the runs there. */
  needsRoom: boolean;
}

const MS_PER_SECOND = 1000;
const NO_LOAD: RunnerLoad = {work: 0, requests: 0, running: 0};

/**
 * Which runner holds what, and how many callers that loses over the horizon.
 *
 * The one currency of the plan: callers who get no answer, or a late one. A model
 * that nobody holds loses all who ask until a copy serves; a runner's callers get
 * late answers the more, the more work its copies stand for, since all that it
 * holds shares its batch.
 */
export class FleetCopies {
  readonly runners: PlannedRunner[];
  readonly models: ReadonlyMap<string, CopyModel>;
  /** Of all models together. */
  readonly requestsPerSecond: number;
  private readonly holders = new Map<string, PlannedRunner[]>();
  private readonly serving = new Map<string, number>();
  private readonly coming = new Map<string, ComingCopy[]>();
  private readonly largestMb: number;
  /** Requests under way now, by model. */
  private readonly running: ReadonlyMap<string, number>;

  constructor(
    input: CopyPlanInput,
    private readonly options: PlanCopiesOptions,
  ) {
    const models = input.models.map(model => withSureRate(model, options));
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
      isTaken: runner.isBusy,
      load: NO_LOAD,
    }));
    this.running = runningByModel(input.runners);
    for (const at of this.runners) this.addHeld(at);
    for (const at of this.runners) this.weigh(at);
  }

  model(name: string): CopyModel | undefined {
    return this.models.get(name);
  }

  /** Copies, with those to come. */
  copies(name: string): number {
    return this.holders.get(name)?.length ?? 0;
  }

  servingCopies(name: string): number {
    return this.serving.get(name) ?? 0;
  }

  comingCopies(name: string): number {
    return this.coming.get(name)?.length ?? 0;
  }

  /** Another copy is, or will be, in the failure domain. */
  isInDomain(name: string, failureDomain: string): boolean {
    const holders = this.holders.get(name) ?? [];
    return holders.some(({runner}) => runner.failureDomain === failureDomain);
  }

  /**
   * Callers a second whom a runner loses under such a load: late answers, weighed,
   * and beyond what it can read or has places for, all that is too much. Counted
   * by late answers alone, a runner with four times its load would lose hardly
   * fewer for a second copy elsewhere: 20 prompts a second went to one runner
   * while 16 of 26 had none.
   */
  private lostCallers({work, requests, running}: RunnerLoad, slots: number) {
    const {halfLateWork, maxWork, lateWeight} = this.options;
    const square = (work / halfLateWork) ** 2;
    const late = (lateWeight * square) / (1 + square);
    const places = Math.max(1, slots);
    const excess = Math.max(1, work / maxWork, running / places);
    const unserved = 1 - 1 / excess;
    return requests * (unserved + (1 - unserved) * late);
  }

  /** Callers a second whom a change of a runner's load loses, or saves if negative. */
  private lostBy({load, runner}: PlannedRunner, change: RunnerLoad): number {
    const {slots = Number.POSITIVE_INFINITY} = runner;
    const after = plus(load, change);
    return this.lostCallers(after, slots) - this.lostCallers(load, slots);
  }

  /** A share of what a model's callers ask for; negative for less of it. */
  private shareOf(model: CopyModel, share: number): RunnerLoad {
    return {
      work: this.workOf(model) * share,
      requests: model.requestsPerSecond * share,
      running: (this.running.get(model.name) ?? 0) * share,
    };
  }

  /** Work a second of all copies; a larger model takes longer for the same. */
  workOf(model: CopyModel): number {
    return (model.workPerSecond * model.weightsMb) / this.largestMb;
  }

  /** Callers who ask for a model over the horizon, or wait for it now. */
  askedOverHorizon(model: CopyModel): number {
    return model.waiting + this.arrivingOverHorizon(model);
  }

  /**
   * Callers lost over the horizon until a copy of the model serves. Those who
   * wait now are lost the more, the later it comes; half of them are taken to
   * stay for all of the horizon.
   */
  absentCallers(
    model: CopyModel,
    readyMs = this.readyInMs(model.name),
  ): number {
    const {horizonMs} = this.options;
    const share = Math.min(readyMs, horizonMs) / horizonMs;
    const lostOfWaiting = share < 1 ? share / 2 : 1;
    const arriving = this.arrivingOverHorizon(model);
    return model.waiting * lostOfWaiting + arriving * share;
  }

  private arrivingOverHorizon(model: CopyModel): number {
    const {horizonMs, demandReturnShare} = this.options;
    const returning =
      (model.longTermRequestsPerSecond ?? 0) * demandReturnShare;
    const perSecond = Math.max(model.requestsPerSecond, returning);
    return (perSecond * horizonMs) / MS_PER_SECOND;
  }

  /**
   * Until a copy serves, infinite while none is to come.
   *
   * @param countsRoom whether copies count for which room is still being made.
   */
  readyInMs(name: string, countsRoom = true): number {
    if (this.servingCopies(name) > 0) return 0;
    const coming = (this.coming.get(name) ?? []).filter(
      ({needsRoom}) => countsRoom || !needsRoom,
    );
    return Math.min(Number.POSITIVE_INFINITY, ...coming.map(c => c.inMs));
  }

  /** Callers a second whom a copy more saves at the runners that hold some. */
  relievedAtHolders(model: CopyModel): number {
    const holders = this.holders.get(model.name) ?? [];
    const count = holders.length;
    if (count === 0) return 0;
    const change = this.shareOf(model, 1 / (count + 1) - 1 / count);
    let saved = 0;
    for (const at of holders) saved -= this.lostBy(at, change);
    return saved;
  }

  /** Callers a second whom a copy more makes late at its own runner. */
  burdenedAt(to: PlannedRunner, model: CopyModel): number {
    const share = 1 / (this.copies(model.name) + 1);
    return this.lostBy(to, this.shareOf(model, share));
  }

  /** Callers a second that the copies left lose when one here goes. */
  burdenedWithout(model: CopyModel, from: PlannedRunner): number {
    const holders = this.holders.get(model.name) ?? [];
    const count = holders.length;
    const lessHere = this.shareOf(model, -1 / count);
    const moreElsewhere = this.shareOf(model, 1 / (count - 1) - 1 / count);
    let lost = 0;
    for (const at of holders) {
      lost += this.lostBy(at, at === from ? lessHere : moreElsewhere);
    }
    return lost;
  }

  /** A copy is on its way here. */
  addComing(
    to: PlannedRunner,
    model: CopyModel,
    {inMs, needsRoom}: {inMs: number; needsRoom: boolean},
  ): void {
    this.hold(to, model.name);
    append(this.coming, model.name, {at: to, inMs, needsRoom});
    this.weighHolders(model.name);
  }

  remove(from: PlannedRunner, model: CopyModel): void {
    const left = this.holders.get(model.name)?.filter(at => at !== from) ?? [];
    this.holders.set(model.name, left);
    this.serving.set(model.name, this.servingCopies(model.name) - 1);
    from.models.delete(model.name);
    this.weigh(from);
    this.weighHolders(model.name);
  }

  private addHeld(at: PlannedRunner): void {
    const {runner} = at;
    const {loadingModel, loadingLeftMs} = runner;
    const names = new Set(runner.models);
    if (loadingModel !== undefined) names.add(loadingModel);
    for (const name of names) {
      at.freeMb -= this.models.get(name)?.weightsMb ?? 0;
      const isLoading = name === loadingModel;
      // One that may never come keeps its memory, and nobody waits for it.
      if (isLoading && runner.isUnresponsive) continue;
      this.hold(at, name);
      if (!isLoading) {
        this.serving.set(name, this.servingCopies(name) + 1);
        continue;
      }
      const loadMs = this.models.get(name)?.storeLoadMs ?? 0;
      const inMs = loadingLeftMs ?? loadMs;
      append(this.coming, name, {at, inMs, needsRoom: false});
    }
  }

  private hold(at: PlannedRunner, name: string): void {
    at.models.add(name);
    append(this.holders, name, at);
  }

  private weighHolders(name: string): void {
    for (const at of this.holders.get(name) ?? []) this.weigh(at);
  }

  private weigh(at: PlannedRunner): void {
    at.load = NO_LOAD;
    for (const name of at.models) {
      const model = this.models.get(name);
      if (!model) continue;
      at.load = plus(at.load, this.shareOf(model, 1 / this.copies(name)));
    }
  }
}

function plus(a: RunnerLoad, b: RunnerLoad): RunnerLoad {
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
 * Rates as far as they are sure: a few requests say little of what comes, many
 * do, and what was asked as often for long is as sure.
 */
function withSureRate(model: CopyModel, options: PlanCopiesOptions): CopyModel {
  const {requestsPerSecond, longTermRequestsPerSecond = 0} = model;
  if (requestsPerSecond === 0) return model;
  const {smoothingMs, priorRequests} = options;
  const seen = (requestsPerSecond * smoothingMs) / MS_PER_SECOND;
  const sure = (requestsPerSecond * seen) / (seen + priorRequests);
  const steady = Math.min(requestsPerSecond, longTermRequestsPerSecond);
  const rate = Math.max(sure, steady);
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
