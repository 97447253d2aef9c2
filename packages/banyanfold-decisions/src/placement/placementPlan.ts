import type {PlacementOptions} from '../options.js';
import type {
  Move,
  PlacementArtifact,
  PlacementCopy,
  PlacementRunner,
  PlacementView,
} from '../types.js';

/** A runner in the state after the moves planned so far. */
export interface PlannedRunner {
  runner: PlacementRunner;
  freeBytes: number;
  /** Copies by artifact; those planned for retirement are `releasing`. */
  copies: Map<string, PlacementCopy>;
  /** Observed load as a multiple of the expected one, if requests queue. */
  demandFactor: number;
  /** Expected share of its slots in use; may exceed 1. */
  load: number;
}

const MS_PER_SECOND = 1000;
/** Limits the effect of one long queue, which may be chance. */
const MAX_DEMAND_FACTOR = 1.5;

/** States of copies that serve, or will serve without another order. */
const COUNTED_STATES = new Set<PlacementCopy['state']>(['held', 'reserved']);

/** State of one placement decision: the view after the moves planned so far. */
export class PlacementPlan {
  readonly moves: Move[] = [];
  readonly unplaced: Array<{artifact: string; reason: string}> = [];
  /** Runners that can take copies, by VM. */
  readonly runners = new Map<string, PlannedRunner>();
  readonly artifacts = new Map<string, PlacementArtifact>();
  private readonly holderIndex = new Map<string, PlannedRunner[]>();

  constructor(
    readonly view: PlacementView,
    /** Number of loads that the weight store allows now. */
    public loadsLeft: number,
    private readonly options: PlacementOptions,
  ) {
    for (const artifact of view.artifacts) {
      this.artifacts.set(artifact.artifact, artifact);
    }
    for (const runner of view.runners) {
      if (!runner.reachable || runner.leaving) continue;
      this.runners.set(runner.vmId, plannedRunner(runner));
    }
    this.recompute();
  }

  /** Runners whose copy serves or is being loaded. */
  holders(artifact: string): readonly PlannedRunner[] {
    return this.holderIndex.get(artifact) ?? [];
  }

  /** Runners whose copy serves now. */
  servingRunners(artifact: string): PlannedRunner[] {
    return this.holders(artifact).filter(
      ({copies}) => copies.get(artifact)?.state === 'held',
    );
  }

  /** Slots that one copy of an artifact is expected to keep in use. */
  slotsPerCopy(name: string): number {
    const artifact = this.artifacts.get(name);
    if (!artifact) return 0;
    const copies = Math.max(1, this.holders(name).length);
    return this.slotsFor(artifact, artifact.demandPerSecond / copies);
  }

  load(target: PlannedRunner, artifact: PlacementArtifact, reason: string) {
    this.moves.push({
      kind: 'load',
      vmId: target.runner.vmId,
      artifact: artifact.artifact,
      bytes: artifact.bytes,
      runnerRole: '',
      reliesOnCopyIds: [],
      reason,
    });
    this.loadsLeft -= 1;
    target.freeBytes -= artifact.bytes;
    target.copies.set(artifact.artifact, {
      artifact: artifact.artifact,
      bytes: artifact.bytes,
      copyId: '',
      state: 'reserved',
      idleMs: 0,
    });
    this.recompute();
  }

  /**
   * Plans a retirement that relies on the held copies elsewhere. A copy that is
   * relied on is never retired in the same decision: each retirement would be
   * accepted by itself, and both together would leave no copy.
   */
  retire(target: PlannedRunner, copy: PlacementCopy, reason: string) {
    if (copy.state !== 'held') return;
    this.moves.push({
      kind: 'retire',
      vmId: target.runner.vmId,
      artifact: copy.artifact,
      bytes: copy.bytes,
      runnerRole: '',
      reliesOnCopyIds: this.reliableCopyIds(target, copy.artifact),
      reason,
    });
    target.copies.set(copy.artifact, {...copy, state: 'releasing'});
    this.recompute();
  }

  /** Records why an artifact gets no copy now. */
  markUnplaced({artifact}: PlacementArtifact, reason: string): void {
    this.unplaced.push({artifact, reason});
  }

  setRole(target: PlannedRunner, runnerRole: string, reason: string) {
    this.moves.push({
      kind: 'set-role',
      vmId: target.runner.vmId,
      artifact: '',
      bytes: 0,
      runnerRole,
      reliesOnCopyIds: [],
      reason,
    });
  }

  /** Held copies on other usable runners; none if it isn't published. */
  reliableCopyIds(target: PlannedRunner, artifact: string): string[] {
    if (!this.artifacts.has(artifact)) return [];
    return this.servingRunners(artifact)
      .filter(({runner}) => runner.vmId !== target.runner.vmId)
      .map(({copies}) => copies.get(artifact)!.copyId);
  }

  /** Slots that a rate of requests for an artifact keeps in use. */
  slotsFor(artifact: PlacementArtifact, ratePerSecond: number): number {
    const {assumedServiceTimeMs} = this.options;
    const serviceTimeMs = artifact.serviceTimeMs ?? assumedServiceTimeMs;
    return (ratePerSecond * serviceTimeMs) / MS_PER_SECOND;
  }

  slotsOf({runner}: PlannedRunner): number {
    return runner.maxRunning ?? this.options.assumedMaxRunning;
  }

  /** Updates the index of holders and the loads from the copies. */
  private recompute(): void {
    this.holderIndex.clear();
    for (const planned of this.runners.values()) {
      planned.load = 0;
      planned.demandFactor = 1;
      for (const {artifact, state} of planned.copies.values()) {
        if (!COUNTED_STATES.has(state)) continue;
        const holders = this.holderIndex.get(artifact);
        if (holders) holders.push(planned);
        else this.holderIndex.set(artifact, [planned]);
      }
    }
    this.distributeDemand();
    this.raiseToObservedLoad();
  }

  private distributeDemand(): void {
    for (const artifact of this.artifacts.values()) {
      const holders = this.holders(artifact.artifact);
      const rate = artifact.demandPerSecond / holders.length;
      for (const holder of holders) {
        holder.load += this.slotsFor(artifact, rate) / this.slotsOf(holder);
      }
    }
  }

  /**
   * Demand is smoothed, so a shift of demand shows first where requests queue.
   */
  private raiseToObservedLoad(): void {
    for (const planned of this.runners.values()) {
      const {running, queued} = planned.runner;
      if (queued === 0) continue;
      const observed = (running + queued) / this.slotsOf(planned);
      if (observed <= planned.load) continue;
      planned.demandFactor = Math.min(
        observed / planned.load,
        MAX_DEMAND_FACTOR,
      );
      planned.load = observed;
    }
  }
}

function plannedRunner(runner: PlacementRunner): PlannedRunner {
  return {
    runner,
    freeBytes: runner.memoryFreeBytes,
    copies: new Map(runner.copies.map(copy => [copy.artifact, copy])),
    load: 0,
    demandFactor: 1,
  };
}
