import type {
  CopyModel,
  CopyOrder,
  CopyPlanInput,
  CopyRunner,
  PlanCopiesOptions,
} from './planCopies.js';

interface Planned {
  runner: CopyRunner;
  /** Held, on their way, or those for which room is being made. */
  models: Set<string>;
  /** Of these the ones that answer requests now. */
  serving: Set<string>;
  freeMb: number;
  isTaken: boolean;
}

/**
 * Who makes way first. An unload waits for the runs under way, seconds for a
 * busy model; a sole copy that goes has the next request for it wait for a load.
 */
const TIER = {idleSurplus: 0, rareSole: 1, busySurplus: 2, sole: 3} as const;
const TIER_WIDTH = 1_000_000;
/**
 * What a target costs against its load, in work a second; reasoned, not compared
 * with others. Each is less than the load of a busy runner, so that a quiet one
 * is taken all the same, and a load from the weight store, the slowest, is most.
 */
const TARGET_COST = {
  /** To make room by what is least missed; more by its tier. */
  room: 10,
  /** The weights are on the runner's disk only, or nowhere near. */
  notInMemory: 6,
  fromStore: 20,
  /**
   * A second copy in a failure domain: one that is lost would take both, and
   * prompts of callers elsewhere would cross to it.
   */
  sameDomain: 8,
} as const;

/** One plan in the making: what it orders counts for its next decisions. */
export class CopyPlan {
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
      serving: new Set(
        runner.models.filter(name => name !== runner.loadingModel),
      ),
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
        const left = this.servingCopies(victim.name) - 1;
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
    to.serving.delete(victim.name);
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
    const isSole = this.servingCopies(victim.name) <= 1;
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
    const copies = this.servingCopies(victim.name);
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
    if (this.servingCopies(victim.name) > 1) {
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
    if (!to.runner.inMemory.includes(model.name)) {
      cost += TARGET_COST.notInMemory;
    }
    if (!this.isNear(to, model)) cost += TARGET_COST.fromStore;
    if (this.isInDomainOf(to, model)) cost += TARGET_COST.sameDomain;
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
    return TARGET_COST.room * (1 + Math.max(...tiers));
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

  /**
   * Whether a copy may go is decided by these. Counted with copies that were
   * still to come, both serving ones of the model in most demand made way, and
   * its callers were refused until a load was over.
   */
  private servingCopies(name: string): number {
    return this.planned.filter(({serving}) => serving.has(name)).length;
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
