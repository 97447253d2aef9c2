import {CopyVictims} from './copyVictims.js';
import type {FleetCopies, PlannedRunner} from './fleetCopies.js';
import {loadMsOf} from './loadMsOf.js';
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
  private readonly victims: CopyVictims;

  constructor(
    private readonly fleet: FleetCopies,
    private readonly options: PlanCopiesOptions,
    mayMakeRoom: boolean,
  ) {
    this.victims = new CopyVictims(fleet, options, mayMakeRoom);
  }

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
    this.victims.forget();
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
      loadMsOf(model, to) +
      (to.runner.isUnresponsive ? this.options.unresponsivePenaltyMs : 0);
    // What makes way only adds to the cost, and takes most of the time to find.
    const most = this.savedBy(model, to, {readyMs: nearMs, needsRoom: false});
    if (most.saved < this.options.minGain) return undefined;
    const victims = this.victims.at(to, model);
    if (!victims) return undefined;
    const readyMs = victims.waitMs + nearMs;
    const needsRoom = victims.models.length > 0;
    const {saved, reason} = this.savedBy(model, to, {readyMs, needsRoom});
    const {minGainToLossRatio, unloadWaitCostPerSecond} = this.options;
    const blocked = (victims.waitMs * unloadWaitCostPerSecond) / MS_PER_SECOND;
    const price = blocked + (isNear ? 0 : this.storeLoadCost(reason));
    const gain = saved + this.domainGain(model, to) - price - victims.loss;
    const minGain = this.minGainFor(model, needsRoom);
    if (saved - price - victims.loss < minGain) return undefined;
    if (saved < victims.loss * minGainToLossRatio) return undefined;
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
    const {minGain, minGainWhilePending} = this.options;
    const isComing = this.fleet.comingCopies(name) > 0;
    return isComing && needsRoom ? minGainWhilePending : minGain;
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
    return isSecond ? 0 : this.options.newDomainGain;
  }
}

function byGain(a: CopyMove, b: CopyMove): number {
  return b.gain - a.gain;
}
