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
 * Plans orders on copies of models: always the copy that saves most callers
 * next, counted over a horizon, with the way to it. What makes way costs the
 * callers of its model, an unload waits for runs, and a load takes as long as
 * from where the weights are. A runner gets one order at a time; one that left an
 * order unanswered counts as slow, and nobody waits for what it was to load. In
 * quiet times models that nobody holds come back.
 *
 * Answers demand that moves to other models within seconds, and more models
 * than memory: rare ones make way for those that are asked for, as far as that
 * loses fewer callers than it saves.
 *
 * @example planCopies({runners, models, storeLoadsLeft: 1})[0]?.kind
 */
export function planCopies(
  input: CopyPlanInput,
  options: PlanCopiesOptions = DEFAULT_PLAN_COPIES_OPTIONS,
): CopyOrder[] {
  const plan = new Plan(input, options);
  plan.useRoomMade();
  plan.takeBestMoves();
  plan.keepReachable();
  return plan.orders;
}

/** One plan in the making: what it orders counts for its next decisions. */
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
   * Room that was made for a model is used for it. Without this the next
   * decision may give it to what just made way, and both come and go by turns.
   */
  useRoomMade(): void {
    for (const to of this.fleet.runners) {
      const model = this.fleet.model(to.runner.intendedModel ?? '');
      if (!model || to.models.has(model.name)) continue;
      if (to.isTaken) this.noteRoomToCome(to, model);
      else if (to.freeMb >= model.weightsMb) this.load(to, model, 'room-made');
      else this.makeMoreRoom(to, model);
    }
  }

  /** Callers need not wait for the room while a copy elsewhere is sooner. */
  private noteRoomToCome(to: PlannedRunner, model: CopyModel): void {
    if (to.runner.isUnresponsive) return;
    const inMs = UNLOAD_MS + loadMsOf(model, to);
    this.fleet.addComing(to, model, {inMs, needsRoom: true});
  }

  private makeMoreRoom(to: PlannedRunner, model: CopyModel): void {
    const move = this.moves.moveTo(to, model, this.loadsLeft);
    if (move) this.take(move);
  }

  /**
   * Takes the best move, again and again. A move that was taken makes most others
   * worth less, hardly any worth more, so that only the one that seems best is
   * looked at anew, until it is.
   */
  takeBestMoves(): void {
    const moves = this.moves.all(this.loadsLeft);
    while (moves.length > 0) {
      const seeming = moves.shift()!;
      const move = this.moves.moveTo(seeming.to, seeming.model, this.loadsLeft);
      if (!move) continue;
      const next = moves[0];
      // A gain that is no number would be put back for ever.
      if (!next || !(move.gain < next.gain)) this.take(move);
      else insertByGain(moves, move);
    }
  }

  /** In quiet times models that nobody holds come back. */
  keepReachable(): void {
    const models = [...this.fleet.models.values()];
    const isAnyoneWaiting = models.some(({waiting}) => waiting > 0);
    if (this.orders.length > 0 || isAnyoneWaiting) return;
    const orphans = models
      .filter(({name}) => this.fleet.copies(name) === 0)
      .sort(byWant);
    for (const orphan of orphans) this.bringBack(orphan);
  }

  private bringBack(orphan: CopyModel): void {
    const [target] = this.fleet.runners
      .filter(to => !to.isTaken && to.freeMb >= orphan.weightsMb)
      .filter(to => this.canFetch(to, orphan))
      .sort((a, b) => a.load.work - b.load.work);
    if (target) this.load(target, orphan, 'room');
    else if (orphan.storeLoadMs > this.options.slowLoadMs) {
      this.replaceOneOfMany(orphan);
    }
  }

  /** A copy of the model that has most of them makes way. */
  private replaceOneOfMany(orphan: CopyModel): void {
    const [choice] = this.fleet.runners
      .filter(to => !to.isTaken && this.canFetch(to, orphan))
      .flatMap(to => this.sparedBy(to, orphan).map(victim => ({to, victim})))
      .sort(
        (a, b) =>
          this.fleet.copies(b.victim.name) - this.fleet.copies(a.victim.name) ||
          a.to.load.work - b.to.load.work,
      );
    if (choice) this.makeRoom(choice.to, choice.victim, orphan);
  }

  /** Models of which a copy here is one of many, and large enough. */
  private sparedBy(to: PlannedRunner, orphan: CopyModel): CopyModel[] {
    const {protectedCopies, minGain, horizonMs} = this.options;
    return [...to.models]
      .map(name => this.fleet.model(name))
      .filter(victim => victim !== undefined)
      .filter(victim => {
        const left = this.fleet.servingCopies(victim.name) - 1;
        if (left < protectedCopies) return false;
        const burdened = this.fleet.burdenedWithout(victim, to) * horizonMs;
        const isSpare = burdened / MS_PER_SECOND < minGain;
        return isSpare && to.freeMb + victim.weightsMb >= orphan.weightsMb;
      });
  }

  private take({to, model, victims, isFromStore, readyMs, reason}: CopyMove) {
    const [victim] = victims;
    if (victim) {
      // The load that is to follow counts against the rate by now.
      if (isFromStore) this.loadsLeft -= 1;
      this.makeRoom(to, victim, model);
    } else {
      this.load(to, model, reason);
    }
    if (to.models.has(model.name)) return;
    this.fleet.addComing(to, model, {inMs: readyMs, needsRoom: true});
  }

  private makeRoom(
    to: PlannedRunner,
    victim: CopyModel,
    model: CopyModel,
  ): void {
    to.isTaken = true;
    this.fleet.remove(to, victim);
    this.orders.push({
      kind: 'unload',
      runnerId: to.runner.runnerId,
      model: victim.name,
      isFromStore: false,
      roomFor: model.name,
      reason: `room for ${model.name}`,
    });
  }

  private load(to: PlannedRunner, model: CopyModel, reason: string): void {
    if (!this.canFetch(to, model)) return;
    const isFromStore = !isNear(to, model);
    if (isFromStore) this.loadsLeft -= 1;
    to.isTaken = true;
    to.freeMb -= model.weightsMb;
    const inMs = loadMsOf(model, to);
    this.fleet.addComing(to, model, {inMs, needsRoom: false});
    this.orders.push({
      kind: 'load',
      runnerId: to.runner.runnerId,
      model: model.name,
      isFromStore,
      reason,
    });
  }

  private canFetch(to: PlannedRunner, model: CopyModel): boolean {
    return isNear(to, model) || this.loadsLeft >= 1;
  }
}

const MS_PER_SECOND = 1000;
/** From the end of the runs to a report that shows the room; 0.2 to 0.3 s. */
const UNLOAD_MS = 300;

function insertByGain(moves: CopyMove[], move: CopyMove): void {
  const at = moves.findIndex(({gain}) => gain < move.gain);
  moves.splice(at < 0 ? moves.length : at, 0, move);
}

function isNear({runner}: PlannedRunner, {name}: CopyModel): boolean {
  return runner.inMemory.includes(name) || runner.onDisk.includes(name);
}

function byWant(a: CopyModel, b: CopyModel): number {
  if (a.workPerSecond !== b.workPerSecond) {
    return b.workPerSecond - a.workPerSecond;
  }
  return a.name < b.name ? -1 : 1;
}
