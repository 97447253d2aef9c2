import {CopyVictims} from './copyVictims.js';
import type {FleetCopies, PlannedRunner} from './fleetCopies.js';
import {loadMsOf} from './loadMsOf.js';
import type {CopyModel, PlanCopiesOptions} from './types.js';

const MS_PER_SECOND = 1000;

/** One more copy of a model, and what it takes to make it. */
export interface CopyMove {
  model: CopyModel;
  target: PlannedRunner;
  /** Copies to evict for it, in this order. */
  victims: CopyModel[];
  isFromStore: boolean;
  /** Time until the copy serves. */
  readyMs: number;
  /** Callers saved over the horizon, less the cost of the move. */
  gain: number;
  reason: 'orphan' | 'relieve' | 'crowded';
}

/**
 * Number of moves per model that are compared with those of other models. A
 * plan takes few moves, and the next plan starts afresh. With all of them, a
 * plan for 100 runners and 200 models sorted 20,000 moves.
 */
const MOVES_PER_MODEL = 6;

/** Finds the copies that save most callers in the current state of the plan. */
export class CopyMoves {
  /**
   * Callers saved per model, shared by all moves of one evaluation. Computed
   * for each move, it made a plan for 100 runners and 200 models take half a
   * second.
   */
  private readonly savedAtHolders = new Map<string, number>();
  private readonly victims: CopyVictims;

  constructor(
    private readonly fleet: FleetCopies,
    private readonly options: PlanCopiesOptions,
    canEvict: boolean,
  ) {
    this.victims = new CopyVictims(fleet, options, canEvict);
  }

  /** Returns all moves whose gain exceeds the minimum, best first. */
  findMoves(loadsLeft: number): CopyMove[] {
    this.clearCache();
    const moves: CopyMove[] = [];
    for (const model of this.fleet.models.values()) {
      if (this.canSave(model)) moves.push(...this.bestMoves(model, loadsLeft));
    }
    return moves.sort(byGain);
  }

  private bestMoves(model: CopyModel, loadsLeft: number): CopyMove[] {
    const moves: CopyMove[] = [];
    for (const target of this.fleet.runners) {
      const move = this.evaluate(target, model, loadsLeft);
      if (move) moves.push(move);
    }
    return moves.sort(byGain).slice(0, MOVES_PER_MODEL);
  }

  /**
   * Evaluates one more copy at a runner after the decisions of the plan so far.
   * Returns undefined if its gain is too small.
   */
  reevaluate(
    target: PlannedRunner,
    model: CopyModel,
    loadsLeft: number,
  ): CopyMove | undefined {
    this.clearCache();
    return this.evaluate(target, model, loadsLeft);
  }

  private clearCache(): void {
    this.savedAtHolders.clear();
    this.victims.clearCache();
  }

  private evaluate(
    target: PlannedRunner,
    model: CopyModel,
    loadsLeft: number,
  ): CopyMove | undefined {
    if (target.hasOrder || target.models.has(model.name)) return undefined;
    const {onDisk, inMemory} = target.runner;
    const hasLocalWeights =
      inMemory.includes(model.name) || onDisk.includes(model.name);
    if (!hasLocalWeights && loadsLeft < 1) return undefined;
    const loadMs =
      loadMsOf(model, target) +
      (target.runner.isUnresponsive ? this.options.unresponsivePenaltyMs : 0);
    // Evictions only add to the cost, and finding them takes most of the time.
    const upperBound = this.estimateSavings(model, target, {
      readyMs: loadMs,
      needsEviction: false,
    });
    if (upperBound.saved < this.options.minGain) return undefined;
    const victims = this.victims.chooseVictims(target, model);
    if (!victims) return undefined;
    const readyMs = victims.waitMs + loadMs;
    const needsEviction = victims.models.length > 0;
    const {saved, reason} = this.estimateSavings(model, target, {
      readyMs,
      needsEviction,
    });
    const {minGainToLossRatio, unloadWaitCostPerSecond} = this.options;
    const waitCost = (victims.waitMs * unloadWaitCostPerSecond) / MS_PER_SECOND;
    const price = waitCost + (hasLocalWeights ? 0 : this.storeLoadCost(reason));
    const gain = saved + this.domainGain(model, target) - price - victims.loss;
    const minGain = this.minGainFor(model, needsEviction);
    if (saved - price - victims.loss < minGain) return undefined;
    if (saved < victims.loss * minGainToLossRatio) return undefined;
    return {
      model,
      target,
      victims: victims.models,
      isFromStore: !hasLocalWeights,
      readyMs,
      gain,
      reason,
    };
  }

  private storeLoadCost(reason: CopyMove['reason']): number {
    const {storeLoadCost, storeReliefCost} = this.options;
    return reason === 'relieve' ? storeReliefCost : storeLoadCost;
  }

  private minGainFor({name}: CopyModel, needsEviction: boolean): number {
    const {minGain, minGainWhilePending} = this.options;
    const isPending = this.fleet.pendingCopies(name) > 0;
    return isPending && needsEviction ? minGainWhilePending : minGain;
  }

  /** Whether any copy can save enough; spares the evaluation of each runner. */
  private canSave(model: CopyModel): boolean {
    const {minGain, horizonMs} = this.options;
    if (this.fleet.callersOverHorizon(model) < minGain) return false;
    if (this.fleet.servingCopies(model.name) === 0) return true;
    const savedAtHolders =
      (this.savedAtHoldersOf(model) * horizonMs) / MS_PER_SECOND;
    return (
      Math.max(savedAtHolders, this.callersWaitingForSlots(model)) >= minGain
    );
  }

  private savedAtHoldersOf(model: CopyModel): number {
    let savedAtHolders = this.savedAtHolders.get(model.name);
    if (savedAtHolders === undefined) {
      savedAtHolders = this.fleet.callersSavedAtHolders(model);
      this.savedAtHolders.set(model.name, savedAtHolders);
    }
    return savedAtHolders;
  }

  /**
   * Callers saved over the horizon by a copy that serves after `readyMs`. If
   * the copy needs no eviction, pending copies that need one are ignored:
   * callers don't have to wait for them.
   */
  private estimateSavings(
    model: CopyModel,
    target: PlannedRunner,
    {readyMs, needsEviction}: {readyMs: number; needsEviction: boolean},
  ): Pick<CopyMove, 'reason'> & {saved: number} {
    const {fleet, options} = this;
    const leftMs = Math.max(0, options.horizonMs - readyMs);
    const perSecond =
      this.savedAtHoldersOf(model) - fleet.callersLostAtTarget(target, model);
    const savedAtHolders = (perSecond * leftMs) / MS_PER_SECOND;
    if (fleet.servingCopies(model.name) === 0) {
      const plannedMs = fleet.readyInMs(model.name, needsEviction);
      const before = fleet.callersLostUntilReady(model, plannedMs);
      const after = Math.min(
        before,
        fleet.callersLostUntilReady(model, readyMs),
      );
      return {saved: before - after + savedAtHolders, reason: 'orphan'};
    }
    const crowded = this.callersWaitingForSlots(model);
    if (crowded > savedAtHolders) return {saved: crowded, reason: 'crowded'};
    return {saved: savedAtHolders, reason: 'relieve'};
  }

  /**
   * Callers saved by one more copy of a model whose requests wait at its
   * holders, unless the pending copies are enough for them.
   */
  private callersWaitingForSlots(model: CopyModel): number {
    const {waitingPerCopy} = this.options;
    const pending = this.fleet.pendingCopies(model.name);
    return Math.floor(model.waiting / waitingPerCopy) > pending
      ? this.fleet.waitingSavedByCopy(model)
      : 0;
  }

  private domainGain({name}: CopyModel, {runner}: PlannedRunner): number {
    const isInDomain = this.fleet.hasCopyInDomain(name, runner.failureDomain);
    return isInDomain ? 0 : this.options.newDomainGain;
  }
}

function byGain(a: CopyMove, b: CopyMove): number {
  return b.gain - a.gain;
}
