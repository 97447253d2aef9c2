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
   * A runner with less work a second than this isn't worth relieving: it
   * answers well within the targets of today's engines.
   */
  relieveAboveWork: number;
  /**
   * From here on a runner's queue grows. Its callers are many, those who wait
   * for a rare model few, so that it is relieved before these are served. Of
   * 12 and 20 the latter served more; without it a runner had 230 units of work
   * open for 16 s while others loaded rare models by turns.
   */
  severeWork: number;
  /** The hottest runner's work must fall by this share for a copy more. */
  minGainShare: number;
  /**
   * A copy more is made only where each would get so many requests a second. A
   * smoothed rate begins with whoever asks first: two long prompts looked like
   * 12,000 tokens a second, and in the first three seconds 50 copies moved for
   * models that were asked for twice.
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
   * and one more that is being emptied.
   */
  keptCopies: number;
  /**
   * Only a model whose load takes longer is brought in advance; callers of
   * drafts bear a shorter one. With loads of 1.2 s the copies that made way were
   * missed more: 90.8% of the value was earned without and 88.7% with it.
   */
  slowLoadMs: number;
  /**
   * So many requests that wait although runners hold their model are worth one
   * copy more: the places for its adapters there are all in use. One runner was
   * asked for 16 adapters at five places, and their callers waited 5 s.
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

interface Planned {
  runner: CopyRunner;
  models: Set<string>;
  freeMb: number;
  isTaken: boolean;
}

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

/**
 * Who makes way first. An unload waits for the runs under way, seconds for a
 * busy model; a sole copy that goes has the next request for it wait for a load.
 */
const TIER = {idleSurplus: 0, rareSole: 1, busySurplus: 2, sole: 3} as const;
const TIER_WIDTH = 1_000_000;
/** In work a second: what making room costs against a runner's load. */
const ROOM_COST = 10;
/**
 * Of a second copy in one failure domain, so that a domain that is lost doesn't
 * take all of them, and entries of the others find one in theirs: a draft's
 * prompt of 18 KB then stays within the domain.
 */
const SAME_DOMAIN_COST = 8;

class CopyPlan {
  readonly orders: CopyOrder[] = [];
  private readonly planned: Planned[];
  private readonly models: Map<string, CopyModel>;
  private loadsLeft: number;

  constructor(
    input: CopyPlanInput,
    private readonly options: PlanCopiesOptions,
  ) {
    this.models = new Map(input.models.map(model => [model.name, model]));
    this.loadsLeft = input.storeLoadsLeft;
    this.planned = input.runners.map(runner => ({
      runner,
      models: new Set(runner.models),
      freeMb: this.freeOf(runner),
      isTaken: runner.isBusy,
    }));
  }

  /**
   * Room that was made for a model is used for it. Without this the next
   * decision may give it to what just made way, and both come and go by turns.
   */
  useRoomMade(): void {
    for (const to of this.planned) {
      const model = this.models.get(to.runner.intendedModel ?? '');
      if (!model || to.models.has(model.name)) continue;
      if (!to.isTaken) this.make(to, model, 'room-made');
      // Callers need not wait for the room while there is some elsewhere.
      else if (model.waiting === 0 || !this.hasRoomFor(model)) {
        to.models.add(model.name);
      }
    }
  }

  private hasRoomFor(model: CopyModel): boolean {
    return this.planned.some(
      to =>
        !to.isTaken && to.freeMb >= model.weightsMb && this.canFetch(to, model),
    );
  }

  placeOrphans(wanted: (model: CopyModel) => boolean): void {
    const orphans = [...this.models.values()]
      .filter(model => this.copies(model.name) === 0 && wanted(model))
      .sort(byWant);
    for (const model of orphans) this.place(model, 'orphan');
  }

  addToCrowded(): void {
    const crowded = [...this.models.values()]
      .filter(model => this.copies(model.name) > 0)
      .filter(model => model.waiting >= this.options.waitingPerCopy)
      .sort(byWant);
    for (const model of crowded) {
      const wanted = model.waiting / this.options.waitingPerCopy;
      if (this.copiesToCome(model.name) < Math.floor(wanted)) {
        this.place(model, 'crowded');
      }
    }
  }

  /** Copies that are being loaded, or for which room is being made. */
  private copiesToCome(name: string): number {
    return this.planned.filter(
      ({runner}) =>
        runner.loadingModel === name || runner.intendedModel === name,
    ).length;
  }

  relieveHottest(aboveWork: number): void {
    const byLoad = [...this.planned].sort(
      (a, b) => this.loadOf(b) - this.loadOf(a),
    );
    for (const hottest of byLoad) {
      if (this.loadOf(hottest) < aboveWork) return;
      const heaviest = [...hottest.models]
        .map(name => this.models.get(name))
        .filter(model => model !== undefined)
        .sort((a, b) => this.shareOf(b) - this.shareOf(a));
      for (const model of heaviest) {
        if (this.relieve(hottest, model)) return;
      }
    }
  }

  /** In quiet times models that nobody holds come back. */
  keepReachable(): void {
    const isAnyoneWaiting = [...this.models.values()].some(
      model => model.waiting > 0,
    );
    if (this.orders.length > 0 || isAnyoneWaiting) return;
    const orphans = [...this.models.values()]
      .filter(model => this.copies(model.name) === 0)
      .sort(byWant);
    for (const orphan of orphans) {
      const isSlow = orphan.storeLoadMs > this.options.slowLoadMs;
      const [target] = this.planned
        .filter(to => !to.isTaken && to.freeMb >= orphan.weightsMb)
        .sort((a, b) => this.costOf(a, orphan) - this.costOf(b, orphan));
      if (target) this.load(target, orphan, 'room');
      else if (isSlow) this.replaceOneOfMany(orphan);
    }
  }

  /** A copy of the model that has most of them makes way. */
  private replaceOneOfMany(orphan: CopyModel): void {
    const choices = this.planned
      .filter(to => !to.isTaken && this.canFetch(to, orphan))
      .flatMap(to => this.sparedBy(to, orphan).map(victim => ({to, victim})))
      .sort(
        (a, b) =>
          this.copies(b.victim.name) - this.copies(a.victim.name) ||
          this.loadOf(a.to) - this.loadOf(b.to),
      );
    const [choice] = choices;
    if (choice) this.makeRoom(choice.to, choice.victim, orphan);
  }

  /** Models of which a copy here is one of many, and big enough. */
  private sparedBy(to: Planned, orphan: CopyModel): CopyModel[] {
    const {keptCopies, relieveAboveWork} = this.options;
    return [...to.models]
      .map(name => this.models.get(name))
      .filter(victim => victim !== undefined)
      .filter(victim => {
        const left = this.copies(victim.name) - 1;
        return (
          left >= keptCopies &&
          victim.workPerSecond / left < relieveAboveWork &&
          to.freeMb + victim.weightsMb >= orphan.weightsMb
        );
      });
  }

  private relieve(hottest: Planned, model: CopyModel): boolean {
    const hotLoad = this.loadOf(hottest);
    const copies = this.copies(model.name);
    const {minRequestsPerCopy} = this.options;
    if (model.requestsPerSecond < (copies + 1) * minRequestsPerCopy) {
      return false;
    }
    const newShare = model.workPerSecond / (copies + 1);
    const relief = this.shareOf(model) - newShare;
    if (relief < hotLoad * this.options.minGainShare) return false;
    const targets = this.planned
      .filter(to => !to.isTaken && !to.models.has(model.name))
      .filter(to => this.loadOf(to) + newShare < hotLoad)
      .sort((a, b) => this.costOf(a, model) - this.costOf(b, model));
    return targets.some(to => this.make(to, model, 'relieve'));
  }

  private place(model: CopyModel, reason: string): boolean {
    const targets = this.planned
      .filter(to => !to.isTaken && !to.models.has(model.name))
      .sort((a, b) => this.costOf(a, model) - this.costOf(b, model));
    return targets.some(to => this.make(to, model, reason));
  }

  /** Loads where there is room, else begins to make room. */
  private make(to: Planned, model: CopyModel, reason: string): boolean {
    if (to.freeMb >= model.weightsMb) return this.load(to, model, reason);
    if (!this.canFetch(to, model)) return false;
    const victims = this.victimsOn(to, model);
    if (!victims) return false;
    this.makeRoom(to, victims[0]!, model);
    return true;
  }

  /** The load that is to follow counts against the rate by now. */
  private makeRoom(to: Planned, victim: CopyModel, model: CopyModel): void {
    if (!this.isNear(to, model)) this.loadsLeft -= 1;
    to.isTaken = true;
    to.models.delete(victim.name);
    this.orders.push({
      kind: 'unload',
      runnerId: to.runner.runnerId,
      model: victim.name,
      isFromStore: false,
      roomFor: model.name,
      reason: `room for ${model.name}`,
    });
  }

  private load(to: Planned, model: CopyModel, reason: string): boolean {
    if (!this.canFetch(to, model)) return false;
    const isFromStore = !this.isNear(to, model);
    if (isFromStore) this.loadsLeft -= 1;
    to.isTaken = true;
    to.freeMb -= model.weightsMb;
    to.models.add(model.name);
    this.orders.push({
      kind: 'load',
      runnerId: to.runner.runnerId,
      model: model.name,
      isFromStore,
      reason,
    });
    return true;
  }

  /** What may make way, least missed first; undefined if it isn't enough. */
  private victimsOn(to: Planned, model: CopyModel): CopyModel[] | undefined {
    const candidates = [...to.models]
      .map(name => this.models.get(name))
      .filter(victim => victim !== undefined)
      .filter(victim => this.mayGo(victim, model))
      .sort((a, b) => this.lossOf(a) - this.lossOf(b));
    const victims: CopyModel[] = [];
    let freeMb = to.freeMb;
    for (const victim of candidates) {
      if (freeMb >= model.weightsMb) break;
      victims.push(victim);
      freeMb += victim.weightsMb;
    }
    return freeMb >= model.weightsMb && victims.length > 0
      ? victims
      : undefined;
  }

  private mayGo(victim: CopyModel, model: CopyModel): boolean {
    if (victim.waiting > 0) return false;
    const isSole = this.copies(victim.name) <= 1;
    if (isSole && this.isOutweighed(victim, model)) return true;
    if (isSole) {
      const {soleIdleMs, rareIdleMs} = this.options;
      const isNeeded = this.copies(model.name) === 0;
      return (
        victim.idleMs >= (isNeeded ? soleIdleMs : rareIdleMs) &&
        victim.idleMs > model.idleMs &&
        (model.waiting > 0 || model.workPerSecond > victim.workPerSecond)
      );
    }
    if (victim.idleMs >= this.options.surplusIdleMs) return true;
    // A copy that relieves little makes way for a model without any.
    const copies = this.copies(victim.name);
    const shareAfter = victim.workPerSecond / (copies - 1);
    return shareAfter < this.options.relieveAboveWork / 2;
  }

  /** A model in great demand goes before a sole copy that is hardly asked for. */
  private isOutweighed(victim: CopyModel, model: CopyModel): boolean {
    const {relieveAboveWork, quietMs, outweighsBy} = this.options;
    return (
      victim.idleMs >= quietMs &&
      this.shareOf(model) >= relieveAboveWork * 2 &&
      this.shareOf(model) >= victim.workPerSecond * outweighsBy
    );
  }

  /** Which copies make way first; see TIER. */
  private tierOf(victim: CopyModel): number {
    if (this.copies(victim.name) > 1) {
      const isIdle = victim.idleMs >= this.options.quietMs;
      return isIdle ? TIER.idleSurplus : TIER.busySurplus;
    }
    const isRare = victim.idleMs >= this.options.rareIdleMs;
    return isRare ? TIER.rareSole : TIER.sole;
  }

  /** Least for what makes way first. */
  private lossOf(victim: CopyModel): number {
    const tier = this.tierOf(victim) * TIER_WIDTH;
    return tier + this.shareOf(victim) - victim.idleMs / TIER_WIDTH;
  }

  private costOf(to: Planned, model: CopyModel): number {
    let cost = this.loadOf(to);
    if (to.freeMb < model.weightsMb) cost += this.roomCostOf(to, model);
    if (!to.runner.inMemory.includes(model.name)) cost += 6;
    if (!this.isNear(to, model)) cost += 20;
    if (this.isInDomainOf(to, model)) cost += SAME_DOMAIN_COST;
    return cost;
  }

  /** Another copy is in the runner's failure domain. */
  private isInDomainOf(to: Planned, model: CopyModel): boolean {
    return this.planned.some(
      ({runner, models}) =>
        runner.failureDomain === to.runner.failureDomain &&
        models.has(model.name),
    );
  }

  /** Room that only busy copies can make takes as long as their runs. */
  private roomCostOf(to: Planned, model: CopyModel): number {
    const victims = this.victimsOn(to, model);
    if (!victims) return Number.POSITIVE_INFINITY;
    const tiers = victims.map(victim => this.tierOf(victim));
    return ROOM_COST + Math.max(...tiers) * ROOM_COST;
  }

  private isNear(to: Planned, model: CopyModel): boolean {
    const {inMemory, onDisk} = to.runner;
    return inMemory.includes(model.name) || onDisk.includes(model.name);
  }

  private canFetch(to: Planned, model: CopyModel): boolean {
    return this.isNear(to, model) || this.loadsLeft >= 1;
  }

  private copies(name: string): number {
    return this.planned.filter(({models}) => models.has(name)).length;
  }

  private shareOf(model: CopyModel): number {
    return model.workPerSecond / Math.max(1, this.copies(model.name));
  }

  private loadOf({models}: Planned): number {
    let load = 0;
    for (const name of models) {
      const model = this.models.get(name);
      if (model) load += this.shareOf(model);
    }
    return load;
  }

  private freeOf(runner: CopyRunner): number {
    let freeMb = runner.weightsMb - runner.reservedMb;
    for (const name of runner.models) {
      freeMb -= this.models.get(name)?.weightsMb ?? 0;
    }
    return freeMb;
  }
}

function byWant(a: CopyModel, b: CopyModel): number {
  if (a.waiting !== b.waiting) return b.waiting - a.waiting;
  if (a.workPerSecond !== b.workPerSecond) {
    return b.workPerSecond - a.workPerSecond;
  }
  return a.name < b.name ? -1 : 1;
}
