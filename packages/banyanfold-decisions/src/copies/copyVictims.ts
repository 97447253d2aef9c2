import type {FleetCopies, PlannedRunner} from './fleetCopies.js';
import {loadMsOf} from './loadMsOf.js';
import type {CopyModel, PlanCopiesOptions} from './types.js';

const MS_PER_SECOND = 1000;

/** What makes way for a copy, together. */
export interface Victims {
  models: CopyModel[];
  /** Callers lost over the horizon by their going. */
  loss: number;
  waitMs: number;
}

/** One copy that may make way, with what that costs whatever comes. */
interface Victim {
  victim: CopyModel;
  /** Callers lost over the horizon by its going. */
  loss: number;
  /** Until its runs are over. */
  waitMs: number;
}

const NO_VICTIMS: Victims = {models: [], loss: 0, waitMs: 0};

/** Finds what makes way for a copy more, and what its going costs. */
export class CopyVictims {
  /** What may go at each runner, whatever comes; the same for all moves of a look. */
  private readonly known = new Map<PlannedRunner, Victim[]>();

  constructor(
    private readonly fleet: FleetCopies,
    private readonly options: PlanCopiesOptions,
    private readonly mayMakeRoom: boolean,
  ) {}

  /** The plan has decided something: costs are counted anew. */
  forget(): void {
    this.known.clear();
  }

  /** What makes way; undefined if what may go isn't enough. */
  at(to: PlannedRunner, model: CopyModel): Victims | undefined {
    const missingMb = model.weightsMb - to.freeMb;
    if (missingMb <= 0) return NO_VICTIMS;
    if (!this.mayMakeRoom) return undefined;
    const candidates = this.victimsOf(to);
    if (candidates.length === 0) return undefined;
    const asked = this.fleet.askedOverHorizon(model);
    const costOf = ({loss, waitMs}: Victim) =>
      loss + (asked * waitMs) / this.options.horizonMs;
    const cheapest = leastOf(candidates, costOf);
    if (cheapest.victim.weightsMb >= missingMb) return together([cheapest]);
    // One that is large enough by itself goes before several smaller ones.
    const large = candidates.filter(c => c.victim.weightsMb >= missingMb);
    const alone = large.length > 0 ? [leastOf(large, costOf)] : undefined;
    const sorted = [...candidates].sort((a, b) => costOf(a) - costOf(b));
    const several = takeUntil(sorted, missingMb);
    const sum = (victims: Victim[]) =>
      victims.reduce((total, each) => total + costOf(each), 0);
    if (!alone || !several) {
      const chosen = alone ?? several;
      return chosen && together(chosen);
    }
    return together(sum(alone) <= sum(several) ? alone : several);
  }

  private victimsOf(at: PlannedRunner): Victim[] {
    let victims = this.known.get(at);
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
      this.known.set(at, victims);
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
    const {idleThresholdMs, runDurationMs} = this.options;
    const isIdle = victim.idleMs >= idleThresholdMs;
    const runs = runner.inUse
      ? (runner.inUse[victim.name] ?? 0)
      : isIdle
        ? 0
        : 1;
    return runs === 0 ? 0 : runDurationMs * (1 + Math.log(runs));
  }

  /** Callers lost by a move of demand to a model that nobody holds. */
  private insuranceOf(victim: CopyModel, at: PlannedRunner): number {
    const reloadMs = loadMsOf(victim, at);
    const {demandShiftShare} = this.options;
    const {requestsPerSecond, models} = this.fleet;
    const moved = (requestsPerSecond * demandShiftShare) / models.size;
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
function takeUntil(victims: Victim[], missingMb: number): Victim[] | undefined {
  let leftMb = missingMb;
  const taken: Victim[] = [];
  for (const each of victims) {
    if (leftMb <= 0) break;
    taken.push(each);
    leftMb -= each.victim.weightsMb;
  }
  return leftMb <= 0 ? taken : undefined;
}

function leastOf(
  victims: Victim[],
  costOf: (victim: Victim) => number,
): Victim {
  let least = victims[0]!;
  for (const each of victims) if (costOf(each) < costOf(least)) least = each;
  return least;
}

function together(chosen: Victim[]): Victims {
  return {
    models: chosen.map(({victim}) => victim),
    loss: chosen.reduce((sum, {loss}) => sum + loss, 0),
    waitMs: Math.max(...chosen.map(({waitMs}) => waitMs)),
  };
}
