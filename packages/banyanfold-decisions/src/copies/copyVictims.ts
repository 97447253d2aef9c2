import type {FleetCopies, PlannedRunner} from './fleetCopies.js';
import {loadMsOf} from './loadMsOf.js';
import type {CopyModel, PlanCopiesOptions} from './types.js';

const MS_PER_SECOND = 1000;

/** Copies that are evicted together for a new copy. */
export interface Victims {
  models: CopyModel[];
  /** Callers lost over the horizon by the evictions. */
  loss: number;
  waitMs: number;
}

/** A copy that can be evicted, with its cost regardless of the new copy. */
interface Victim {
  victim: CopyModel;
  /** Callers lost over the horizon by its eviction. */
  loss: number;
  /** Time until its requests have finished. */
  waitMs: number;
}

const NO_VICTIMS: Victims = {models: [], loss: 0, waitMs: 0};

/** Chooses the copies to evict for a new copy, and computes their cost. */
export class CopyVictims {
  /** Copies that can be evicted, by runner; valid for one evaluation. */
  private readonly cache = new Map<PlannedRunner, Victim[]>();

  constructor(
    private readonly fleet: FleetCopies,
    private readonly options: PlanCopiesOptions,
    private readonly canEvict: boolean,
  ) {}

  /** Discards cached costs; to be called after each decision of the plan. */
  clearCache(): void {
    this.cache.clear();
  }

  /** Returns the copies to evict, or undefined if they free too little. */
  chooseVictims(target: PlannedRunner, model: CopyModel): Victims | undefined {
    const missingMb = model.weightsMb - target.freeMb;
    if (missingMb <= 0) return NO_VICTIMS;
    if (!this.canEvict) return undefined;
    const candidates = this.evictableAt(target);
    if (candidates.length === 0) return undefined;
    const callers = this.fleet.callersOverHorizon(model);
    const costOf = ({loss, waitMs}: Victim) =>
      loss + (callers * waitMs) / this.options.horizonMs;
    const cheapest = cheapestOf(candidates, costOf);
    if (cheapest.victim.weightsMb >= missingMb) return combine([cheapest]);
    // Prefers one large copy to several smaller ones of the same total cost.
    const large = candidates.filter(c => c.victim.weightsMb >= missingMb);
    const single = large.length > 0 ? [cheapestOf(large, costOf)] : undefined;
    const sorted = [...candidates].sort((a, b) => costOf(a) - costOf(b));
    const several = takeUntilEnough(sorted, missingMb);
    const sum = (victims: Victim[]) =>
      victims.reduce((total, each) => total + costOf(each), 0);
    if (!single || !several) {
      const chosen = single ?? several;
      return chosen && combine(chosen);
    }
    return combine(sum(single) <= sum(several) ? single : several);
  }

  private evictableAt(holder: PlannedRunner): Victim[] {
    let victims = this.cache.get(holder);
    if (!victims) {
      victims = [...holder.models]
        .map(name => this.fleet.model(name))
        .filter(victim => victim !== undefined)
        .filter(victim => this.isEvictable(victim))
        .map(victim => ({
          victim,
          loss: this.lossOf(victim, holder),
          waitMs: this.unloadWaitMs(victim, holder),
        }));
      this.cache.set(holder, victims);
    }
    return victims;
  }

  /**
   * The last copy stays while callers wait for its model. Any copy stays while
   * another one of the model is pending: the plan counts the pending one, but it
   * cannot serve callers yet.
   */
  private isEvictable(victim: CopyModel): boolean {
    const {fleet} = this;
    const isNeeded =
      victim.waiting > 0 && fleet.servingCopies(victim.name) === 1;
    return !isNeeded && fleet.pendingCopies(victim.name) === 0;
  }

  /** An unload waits for the longest of the requests in flight. */
  private unloadWaitMs(victim: CopyModel, {runner}: PlannedRunner): number {
    const {idleThresholdMs, runDurationMs} = this.options;
    const isIdle = victim.idleMs >= idleThresholdMs;
    const runs = runner.inUse
      ? (runner.inUse[victim.name] ?? 0)
      : isIdle
        ? 0
        : 1;
    return runs === 0 ? 0 : runDurationMs * (1 + Math.log(runs));
  }

  /** Callers lost if demand moves to the model once nobody holds it. */
  private demandShiftCost(victim: CopyModel, holder: PlannedRunner): number {
    const reloadMs = loadMsOf(victim, holder);
    const {demandShiftShare} = this.options;
    const {requestsPerSecond, models} = this.fleet;
    const moved = (requestsPerSecond * demandShiftShare) / models.size;
    return (moved * reloadMs) / MS_PER_SECOND;
  }

  private lossOf(victim: CopyModel, holder: PlannedRunner): number {
    const {fleet, options} = this;
    if (fleet.servingCopies(victim.name) > 1) {
      const lost = fleet.callersLostByRemoval(victim, holder);
      return (
        Math.max(0, (lost * options.horizonMs) / MS_PER_SECOND) +
        fleet.waitingLostByRemoval(victim)
      );
    }
    return (
      fleet.callersOverHorizon(victim) + this.demandShiftCost(victim, holder)
    );
  }
}

/**
 * Returns the first copies that free enough memory, or undefined if all do not.
 */
function takeUntilEnough(
  victims: Victim[],
  missingMb: number,
): Victim[] | undefined {
  let leftMb = missingMb;
  const taken: Victim[] = [];
  for (const each of victims) {
    if (leftMb <= 0) break;
    taken.push(each);
    leftMb -= each.victim.weightsMb;
  }
  return leftMb <= 0 ? taken : undefined;
}

function cheapestOf(
  victims: Victim[],
  costOf: (victim: Victim) => number,
): Victim {
  let least = victims[0]!;
  for (const each of victims) if (costOf(each) < costOf(least)) least = each;
  return least;
}

function combine(chosen: Victim[]): Victims {
  return {
    models: chosen.map(({victim}) => victim),
    loss: chosen.reduce((sum, {loss}) => sum + loss, 0),
    waitMs: Math.max(...chosen.map(({waitMs}) => waitMs)),
  };
}
