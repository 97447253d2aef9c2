import type {FleetCopies, PlannedRunner} from './fleetCopies.js';
import type {CopyModel, PlanCopiesOptions} from './types.js';

const MS_PER_SECOND = 1000;

/** One copy more, with the way to it. */
export interface CopyMove {
  model: CopyModel;
  to: PlannedRunner;
  /** What makes way for it, in this order. */
  victims: CopyModel[];
  isFromStore: boolean;
  /** Until the copy serves. */
  readyMs: number;
  /** Callers saved over the horizon, less what the way costs. */
  gain: number;
  reason: 'orphan' | 'relieve' | 'crowded';
}

interface Victims {
  models: CopyModel[];
  /** Callers lost over the horizon by their going. */
  loss: number;
  waitMs: number;
}

/** One copy that may make way, with what that costs whatever comes. */
interface VictimBase {
  victim: CopyModel;
  /** Callers lost over the horizon by its going. */
  loss: number;
  /** Until its runs are over. */
  waitMs: number;
}

const NO_VICTIMS: Victims = {models: [], loss: 0, waitMs: 0};

/**
 * Moves of one model that are compared with those of others. A plan takes few of
 * them, and the next one looks again: with all of them a plan for 100 runners
 * and 200 models sorted 20,000.
 */
const MOVES_PER_MODEL = 6;

/** Finds the copy that saves most callers, from the state at the time. */
export class CopyMoves {
  /**
   * What is the same for all moves of one look. Worked out for each move, a plan
   * for 100 runners and 200 models took half a second.
   */
  private readonly relieved = new Map<string, number>();
  private readonly victims = new Map<PlannedRunner, VictimBase[]>();

  constructor(
    private readonly fleet: FleetCopies,
    private readonly options: PlanCopiesOptions,
    private readonly mayMakeRoom: boolean,
  ) {}

  /** All moves that are worth their way as things stand, the best first. */
  all(storeLoadsLeft: number): CopyMove[] {
    this.forget();
    const moves: CopyMove[] = [];
    for (const model of this.fleet.models.values()) {
      if (this.isWanted(model)) moves.push(...this.best(model, storeLoadsLeft));
    }
    return moves.sort(byGain);
  }

  private best(model: CopyModel, storeLoadsLeft: number): CopyMove[] {
    const moves: CopyMove[] = [];
    for (const to of this.fleet.runners) {
      const move = this.evaluate(to, model, storeLoadsLeft);
      if (move) moves.push(move);
    }
    return moves.sort(byGain).slice(0, MOVES_PER_MODEL);
  }

  /**
   * A copy more at that runner, after what the plan has decided so far; undefined
   * if it isn't worth its way.
   */
  moveTo(
    to: PlannedRunner,
    model: CopyModel,
    storeLoadsLeft: number,
  ): CopyMove | undefined {
    this.forget();
    return this.evaluate(to, model, storeLoadsLeft);
  }

  private forget(): void {
    this.relieved.clear();
    this.victims.clear();
  }

  private evaluate(
    to: PlannedRunner,
    model: CopyModel,
    storeLoadsLeft: number,
  ): CopyMove | undefined {
    if (to.isTaken || to.models.has(model.name)) return undefined;
    const {onDisk, inMemory} = to.runner;
    const isNear = inMemory.includes(model.name) || onDisk.includes(model.name);
    if (!isNear && storeLoadsLeft < 1) return undefined;
    const nearMs =
      loadMsOf(model, to) + (to.runner.isSilent ? this.options.silentMs : 0);
    // What makes way only adds to the cost, and takes most of the time to find.
    const most = this.savedBy(model, to, {readyMs: nearMs, needsRoom: false});
    if (most.saved < this.options.minGain) return undefined;
    const victims = this.victimsAt(to, model);
    if (!victims) return undefined;
    const readyMs = victims.waitMs + nearMs;
    const needsRoom = victims.models.length > 0;
    const {saved, reason} = this.savedBy(model, to, {readyMs, needsRoom});
    const {minGainOverLoss, blockedPerSecond} = this.options;
    const blocked = (victims.waitMs * blockedPerSecond) / MS_PER_SECOND;
    const price = blocked + (isNear ? 0 : this.storeLoadCost(reason));
    const gain = saved + this.domainGain(model, to) - price - victims.loss;
    const minGain = this.minGainFor(model, needsRoom);
    if (saved - price - victims.loss < minGain) return undefined;
    if (saved < victims.loss * minGainOverLoss) return undefined;
    return {
      model,
      to,
      victims: victims.models,
      isFromStore: !isNear,
      readyMs,
      gain,
      reason,
    };
  }

  private storeLoadCost(reason: CopyMove['reason']): number {
    const {storeLoadCost, storeReliefCost} = this.options;
    return reason === 'relieve' ? storeReliefCost : storeLoadCost;
  }

  private minGainFor({name}: CopyModel, needsRoom: boolean): number {
    const {minGain, minGainOverComing} = this.options;
    const isComing = this.fleet.comingCopies(name) > 0;
    return isComing && needsRoom ? minGainOverComing : minGain;
  }

  /** Spares the look at every runner for what no copy could save enough of. */
  private isWanted(model: CopyModel): boolean {
    const {minGain, horizonMs} = this.options;
    if (this.fleet.askedOverHorizon(model) < minGain) return false;
    if (this.fleet.servingCopies(model.name) === 0) return true;
    const relieved = (this.relievedBy(model) * horizonMs) / MS_PER_SECOND;
    return Math.max(relieved, this.crowdedCallers(model)) >= minGain;
  }

  private relievedBy(model: CopyModel): number {
    let relieved = this.relieved.get(model.name);
    if (relieved === undefined) {
      relieved = this.fleet.relievedAtHolders(model);
      this.relieved.set(model.name, relieved);
    }
    return relieved;
  }

  /**
   * Callers saved over the horizon by a copy that serves after `readyMs`. They
   * need not wait for room that is being made while there is some elsewhere.
   */
  private savedBy(
    model: CopyModel,
    to: PlannedRunner,
    {readyMs, needsRoom}: {readyMs: number; needsRoom: boolean},
  ): Pick<CopyMove, 'reason'> & {saved: number} {
    const {fleet, options} = this;
    const leftMs = Math.max(0, options.horizonMs - readyMs);
    const perSecond = this.relievedBy(model) - fleet.burdenedAt(to, model);
    const relieved = (perSecond * leftMs) / MS_PER_SECOND;
    if (fleet.servingCopies(model.name) === 0) {
      const plannedMs = fleet.readyInMs(model.name, needsRoom);
      const before = fleet.absentCallers(model, plannedMs);
      const after = Math.min(before, fleet.absentCallers(model, readyMs));
      return {saved: before - after + relieved, reason: 'orphan'};
    }
    const crowded = this.crowdedCallers(model);
    if (crowded > relieved) return {saved: crowded, reason: 'crowded'};
    return {saved: relieved, reason: 'relieve'};
  }

  /** Callers who wait though runners hold their model, and no copy comes. */
  private crowdedCallers({name, waiting}: CopyModel): number {
    const {waitingPerCopy} = this.options;
    const toCome = this.fleet.comingCopies(name);
    return Math.floor(waiting / waitingPerCopy) > toCome
      ? waiting - toCome * waitingPerCopy
      : 0;
  }

  private domainGain({name}: CopyModel, {runner}: PlannedRunner): number {
    const isSecond = this.fleet.isInDomain(name, runner.failureDomain);
    return isSecond ? 0 : this.options.otherDomainGain;
  }

  /** What makes way; undefined if what may go isn't enough. */
  private victimsAt(to: PlannedRunner, model: CopyModel): Victims | undefined {
    const missingMb = model.weightsMb - to.freeMb;
    if (missingMb <= 0) return NO_VICTIMS;
    if (!this.mayMakeRoom) return undefined;
    const candidates = this.victimsOf(to);
    if (candidates.length === 0) return undefined;
    const asked = this.fleet.askedOverHorizon(model);
    const costOf = ({loss, waitMs}: VictimBase) =>
      loss + (asked * waitMs) / this.options.horizonMs;
    const cheapest = leastOf(candidates, costOf);
    if (cheapest.victim.weightsMb >= missingMb) return together([cheapest]);
    // One that is large enough by itself goes before several smaller ones.
    const large = candidates.filter(c => c.victim.weightsMb >= missingMb);
    const alone = large.length > 0 ? [leastOf(large, costOf)] : undefined;
    const sorted = [...candidates].sort((a, b) => costOf(a) - costOf(b));
    const several = takeUntil(sorted, missingMb);
    const sum = (victims: VictimBase[]) =>
      victims.reduce((total, each) => total + costOf(each), 0);
    if (!alone || !several) {
      const chosen = alone ?? several;
      return chosen && together(chosen);
    }
    return together(sum(alone) <= sum(several) ? alone : several);
  }

  private victimsOf(at: PlannedRunner): VictimBase[] {
    let victims = this.victims.get(at);
    if (!victims) {
      victims = [...at.models]
        .map(name => this.fleet.model(name))
        .filter(victim => victim !== undefined)
        .filter(victim => this.mayGo(victim))
        .map(victim => ({
          victim,
          loss: this.lossOf(victim, at),
          waitMs: this.unloadMs(victim, at),
        }));
      this.victims.set(at, victims);
    }
    return victims;
  }

  /**
   * No copy goes while callers wait for its model, nor while another one of it
   * is on its way: the plan counts that one, callers can't.
   */
  private mayGo(victim: CopyModel): boolean {
    return victim.waiting === 0 && this.fleet.comingCopies(victim.name) === 0;
  }

  /** An unload waits for the longest of the runs under way. */
  private unloadMs(victim: CopyModel, {runner}: PlannedRunner): number {
    const {quietMs, runMs} = this.options;
    const isIdle = victim.idleMs >= quietMs;
    const runs = runner.inUse
      ? (runner.inUse[victim.name] ?? 0)
      : isIdle
        ? 0
        : 1;
    return runs === 0 ? 0 : runMs * (1 + Math.log(runs));
  }

  /** Callers lost by a move of demand to a model that nobody holds. */
  private insuranceOf(victim: CopyModel, at: PlannedRunner): number {
    const reloadMs = loadMsOf(victim, at);
    const {shiftShare} = this.options;
    const {requestsPerSecond, models} = this.fleet;
    const moved = (requestsPerSecond * shiftShare) / models.size;
    return (moved * reloadMs) / MS_PER_SECOND;
  }

  private lossOf(victim: CopyModel, at: PlannedRunner): number {
    const {fleet, options} = this;
    if (fleet.servingCopies(victim.name) > 1) {
      const burdened = fleet.burdenedWithout(victim, at);
      return Math.max(0, (burdened * options.horizonMs) / MS_PER_SECOND);
    }
    return fleet.askedOverHorizon(victim) + this.insuranceOf(victim, at);
  }
}

/** The first ones that are enough together; undefined if all aren't. */
function takeUntil(
  victims: VictimBase[],
  missingMb: number,
): VictimBase[] | undefined {
  let leftMb = missingMb;
  const taken: VictimBase[] = [];
  for (const each of victims) {
    if (leftMb <= 0) break;
    taken.push(each);
    leftMb -= each.victim.weightsMb;
  }
  return leftMb <= 0 ? taken : undefined;
}

function leastOf(
  victims: VictimBase[],
  costOf: (victim: VictimBase) => number,
): VictimBase {
  let least = victims[0]!;
  for (const each of victims) if (costOf(each) < costOf(least)) least = each;
  return least;
}

function together(chosen: VictimBase[]): Victims {
  return {
    models: chosen.map(({victim}) => victim),
    loss: chosen.reduce((sum, {loss}) => sum + loss, 0),
    waitMs: Math.max(...chosen.map(({waitMs}) => waitMs)),
  };
}

function byGain(a: CopyMove, b: CopyMove): number {
  return b.gain - a.gain;
}

/** How long a load there takes, from where the weights are. */
export function loadMsOf(model: CopyModel, {runner}: PlannedRunner): number {
  const {
    storeLoadMs,
    diskLoadMs = storeLoadMs,
    memoryLoadMs = diskLoadMs,
  } = model;
  if (runner.inMemory.includes(model.name)) return memoryLoadMs;
  return runner.onDisk.includes(model.name) ? diskLoadMs : storeLoadMs;
}
