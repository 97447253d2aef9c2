import {CopyMoves, type CopyMove} from './copies/copyMoves.js';
import {FleetCopies, type PlannedRunner} from './copies/fleetCopies.js';
import {loadMsOf} from './copies/loadMsOf.js';
import {
  DEFAULT_PLAN_COPIES_OPTIONS,
  type CopyModel,
  type CopyOrder,
  type CopyPlanInput,
  type PlanCopiesOptions,
} from './copies/types.js';

export * from './copies/types.js';

/**
 * Plans loads and unloads of model copies. It repeatedly takes the move that
 * saves the most callers over a horizon. The cost of a move includes the
 * callers of evicted models, the time until requests finish before an unload,
 * and the load time from where the weights are. A runner gets one order at a
 * time. A runner that left an order unanswered counts as slow, and the copy
 * that it was to load is not waited for. While no callers wait, models without
 * a copy are loaded again.
 *
 * Designed for demand that moves to other models within seconds, and for more
 * models than memory: rare models are evicted for requested ones as long as
 * that loses fewer callers than it saves.
 *
 * @example planCopies({runners, models, storeLoadsLeft: 1})[0]?.kind
 */
export function planCopies(
  input: CopyPlanInput,
  options: PlanCopiesOptions = DEFAULT_PLAN_COPIES_OPTIONS,
): CopyOrder[] {
  const plan = new Plan(input, options);
  plan.useClearedMemory();
  plan.applyBestMoves();
  plan.restoreUnheldModels();
  return plan.orders;
}

/** A plan in progress; its orders so far affect its next decisions. */
class Plan {
  readonly orders: CopyOrder[] = [];
  private readonly fleet: FleetCopies;
  private readonly moves: CopyMoves;
  private loadsLeft: number;

  constructor(
    input: CopyPlanInput,
    private readonly options: PlanCopiesOptions,
  ) {
    this.fleet = new FleetCopies(input, options);
    const {canEvict = true} = input;
    this.moves = new CopyMoves(this.fleet, options, canEvict);
    this.loadsLeft = input.storeLoadsLeft;
  }

  /**
   * Loads each model for which memory was freed. Otherwise the next decision
   * may give the memory back to the evicted model, and the two would replace
   * each other in turn.
   */
  useClearedMemory(): void {
    for (const to of this.fleet.runners) {
      const model = this.fleet.model(to.runner.intendedModel ?? '');
      if (!model || to.models.has(model.name)) continue;
      if (to.hasOrder) this.addPendingCopy(to, model);
      else if (to.freeMb >= model.weightsMb) this.load(to, model, 'room-made');
      else this.clearMoreMemory(to, model);
    }
  }

  /**
   * Adds the copy as one that needs an eviction, so that callers don't wait for
   * it while another copy is ready sooner.
   */
  private addPendingCopy(target: PlannedRunner, model: CopyModel): void {
    if (target.runner.isUnresponsive) return;
    const readyMs = UNLOAD_MS + loadMsOf(model, target);
    this.fleet.addPending(target, model, {readyMs, needsEviction: true});
  }

  private clearMoreMemory(target: PlannedRunner, model: CopyModel): void {
    const move = this.moves.reevaluate(target, model, this.loadsLeft);
    if (move) this.applyMove(move);
  }

  /**
   * Takes the best move repeatedly. A move that was taken lowers the gain of
   * most other moves and raises hardly any, so only the move that is first in
   * the list is evaluated again, until it stays first.
   */
  applyBestMoves(): void {
    const moves = this.moves.findMoves(this.loadsLeft);
    while (moves.length > 0) {
      const candidate = moves.shift()!;
      const move = this.moves.reevaluate(
        candidate.target,
        candidate.model,
        this.loadsLeft,
      );
      if (!move) continue;
      const next = moves[0];
      // A gain of NaN would be reinserted forever.
      if (!next || !(move.gain < next.gain)) this.applyMove(move);
      else insertByGain(moves, move);
    }
  }

  /** Loads models that nobody holds while no callers wait. */
  restoreUnheldModels(): void {
    const models = [...this.fleet.models.values()];
    const areCallersWaiting = models.some(({waiting}) => waiting > 0);
    if (this.orders.length > 0 || areCallersWaiting) return;
    const orphans = models
      .filter(({name}) => this.fleet.copyCount(name) === 0)
      .sort(byDemand);
    for (const orphan of orphans) this.restore(orphan);
  }

  private restore(orphan: CopyModel): void {
    const [target] = this.fleet.runners
      .filter(runner => !runner.hasOrder && runner.freeMb >= orphan.weightsMb)
      .filter(runner => this.canLoad(runner, orphan))
      .sort((a, b) => a.load.work - b.load.work);
    if (target) this.load(target, orphan, 'room');
    else if (orphan.storeLoadMs > this.options.slowLoadMs) {
      this.replaceSpareCopy(orphan);
    }
  }

  /** Evicts a copy of the model with the most copies. */
  private replaceSpareCopy(orphan: CopyModel): void {
    const [cheapest] = this.fleet.runners
      .filter(target => !target.hasOrder && this.canLoad(target, orphan))
      .flatMap(target =>
        this.spareModelsAt(target, orphan).map(victim => ({target, victim})),
      )
      .sort(
        (a, b) =>
          this.fleet.copyCount(b.victim.name) -
            this.fleet.copyCount(a.victim.name) ||
          a.target.load.work - b.target.load.work,
      );
    if (cheapest) this.evict(cheapest.target, cheapest.victim, orphan);
  }

  /** Models at the runner with copies to spare that free enough memory. */
  private spareModelsAt(target: PlannedRunner, orphan: CopyModel): CopyModel[] {
    const {protectedCopies, minGain, horizonMs} = this.options;
    return [...target.models]
      .map(name => this.fleet.model(name))
      .filter(victim => victim !== undefined)
      .filter(victim => {
        const left = this.fleet.servingCopies(victim.name) - 1;
        if (left < protectedCopies) return false;
        const lost =
          this.fleet.callersLostByRemoval(victim, target) * horizonMs;
        const isSpare = lost / MS_PER_SECOND < minGain;
        return isSpare && target.freeMb + victim.weightsMb >= orphan.weightsMb;
      });
  }

  private applyMove({
    target,
    model,
    victims,
    isFromStore,
    readyMs,
    reason,
  }: CopyMove) {
    const [victim] = victims;
    if (victim) {
      // The load that follows counts against the store rate already.
      if (isFromStore) this.loadsLeft -= 1;
      this.evict(target, victim, model);
    } else {
      this.load(target, model, reason);
    }
    if (target.models.has(model.name)) return;
    this.fleet.addPending(target, model, {readyMs, needsEviction: true});
  }

  private evict(
    target: PlannedRunner,
    victim: CopyModel,
    model: CopyModel,
  ): void {
    target.hasOrder = true;
    this.fleet.remove(target, victim);
    this.orders.push({
      kind: 'unload',
      runnerId: target.runner.runnerId,
      model: victim.name,
      isFromStore: false,
      roomFor: model.name,
      reason: `room for ${model.name}`,
    });
  }

  private load(target: PlannedRunner, model: CopyModel, reason: string): void {
    if (!this.canLoad(target, model)) return;
    const isFromStore = !hasLocalWeights(target, model);
    if (isFromStore) this.loadsLeft -= 1;
    target.hasOrder = true;
    target.freeMb -= model.weightsMb;
    const readyMs = loadMsOf(model, target);
    this.fleet.addPending(target, model, {readyMs, needsEviction: false});
    this.orders.push({
      kind: 'load',
      runnerId: target.runner.runnerId,
      model: model.name,
      isFromStore,
      reason,
    });
  }

  private canLoad(target: PlannedRunner, model: CopyModel): boolean {
    return hasLocalWeights(target, model) || this.loadsLeft >= 1;
  }
}

const MS_PER_SECOND = 1000;
/** Time from the last request to a report of free memory; 0.2 to 0.3 s. */
const UNLOAD_MS = 300;

function insertByGain(moves: CopyMove[], move: CopyMove): void {
  const index = moves.findIndex(({gain}) => gain < move.gain);
  moves.splice(index < 0 ? moves.length : index, 0, move);
}

function hasLocalWeights({runner}: PlannedRunner, {name}: CopyModel): boolean {
  return runner.inMemory.includes(name) || runner.onDisk.includes(name);
}

function byDemand(a: CopyModel, b: CopyModel): number {
  if (a.workPerSecond !== b.workPerSecond) {
    return b.workPerSecond - a.workPerSecond;
  }
  return a.name < b.name ? -1 : 1;
}
