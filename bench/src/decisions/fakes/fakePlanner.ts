import type {
  Move,
  PlacementArtifact,
  PlacementCopy,
  PlacementRunner,
} from '@banyanfold/decisions';
import {WEIGHT_MEMORY_BYTES} from '../deployments.js';
import type {EventQueue} from '../eventQueue.js';
import type {PlacementPolicy} from '../types.js';
import type {Catalog} from './catalog.js';
import type {FakeAgent} from './fakeAgent.js';
import type {FakeEntry} from './fakeEntry.js';

interface Outstanding {
  move: Move;
  sentMs: number;
}

const PERIOD_MS = 1_000;
const DEMAND_SMOOTHING = 0.1;
/** A load that no report shows by then has failed. */
const GIVE_UP_MS = 15_000;

/** The entry that plans: builds the lagging view and proposes the moves. */
export class FakePlanner {
  private readonly demand = new Map<string, number>();
  private readonly waiting = new Map<string, number>();
  private outstanding: Outstanding[] = [];
  private lastLoadMs = -Infinity;

  constructor(
    private readonly context: {
      events: EventQueue;
      agents: ReadonlyMap<string, FakeAgent>;
      entries: readonly FakeEntry[];
      catalog: Catalog;
      placement: PlacementPolicy;
      oneWayMs: number;
    },
  ) {
    context.events.every(PERIOD_MS, () => this.plan());
  }

  private plan(): void {
    const {events, entries, catalog, placement} = this.context;
    this.readDemand();
    const planner = entries[0]!;
    catalog.dropReplaced(artifact =>
      planner.tracker
        .views()
        .some(({reachable, artifacts}) => reachable && artifacts.has(artifact)),
    );
    this.forgetSettled(planner);
    const view = {
      runners: planner.tracker
        .views()
        .map(({vmId, reachable}) =>
          this.placementRunner(planner, vmId, reachable),
        ),
      artifacts: this.placementArtifacts(),
      loadsInFlight: this.outstanding.length,
      lastLoadMs: this.lastLoadMs,
    };
    for (const move of placement.place(view, events.nowMs)) this.send(move);
  }

  private send(move: Move): void {
    const {events, agents, oneWayMs} = this.context;
    if (move.kind === 'load') {
      this.lastLoadMs = events.nowMs;
      this.outstanding.push({move, sentMs: events.nowMs});
    }
    events.after(oneWayMs, () => {
      const accepted = agents.get(move.vmId)!.propose(move);
      if (accepted) return;
      this.outstanding = this.outstanding.filter(other => other.move !== move);
    });
  }

  /** Smooths what all entries have seen over the last period. */
  private readDemand(): void {
    const seen = new Map<string, number>();
    this.waiting.clear();
    for (const entry of this.context.entries) {
      for (const [artifact, count] of entry.arrivals) {
        seen.set(artifact, (seen.get(artifact) ?? 0) + count);
      }
      for (const [artifact, count] of entry.noCopy) {
        this.waiting.set(artifact, (this.waiting.get(artifact) ?? 0) + count);
      }
      entry.arrivals.clear();
      entry.noCopy.clear();
    }
    for (const {artifact} of this.context.catalog.all()) {
      const before = this.demand.get(artifact) ?? 0;
      const rate = (seen.get(artifact) ?? 0) / (PERIOD_MS / 1_000);
      const smoothed = before + DEMAND_SMOOTHING * (rate - before);
      this.demand.set(artifact, smoothed);
    }
  }

  /** Drops loads that a newer report shows, or that none shows in time. */
  private forgetSettled(planner: FakeEntry): void {
    const nowMs = this.context.events.nowMs;
    this.outstanding = this.outstanding.filter(({move, sentMs}) => {
      const report = planner.tracker.get(move.vmId).latest;
      const copy = report?.copies.find(c => c.artifact === move.artifact);
      if (copy) return copy.state === 'reserved';
      return nowMs - sentMs < GIVE_UP_MS && (report?.takenAtMs ?? 0) <= sentMs;
    });
  }

  private placementRunner(
    planner: FakeEntry,
    vmId: string,
    reachable: boolean,
  ): PlacementRunner {
    const report = planner.tracker.get(vmId).latest;
    const agent = this.context.agents.get(vmId)!;
    const copies: PlacementCopy[] = [...(report?.copies ?? [])];
    let freeBytes = report?.memoryFreeBytes ?? 0;
    for (const {move} of this.outstanding) {
      if (move.vmId !== vmId) continue;
      if (copies.some(({artifact}) => artifact === move.artifact)) continue;
      freeBytes -= move.bytes;
      copies.push({
        artifact: move.artifact,
        bytes: move.bytes,
        copyId: '',
        state: 'reserved',
        idleMs: 0,
      });
    }
    return {
      vmId,
      failureDomain: agent.failureDomain,
      runnerRole: report?.role ?? agent.engine.role,
      reachable: reachable && report !== undefined,
      leaving: false,
      memoryCapacityBytes: WEIGHT_MEMORY_BYTES,
      memoryFreeBytes: freeBytes,
      running: report?.running ?? 0,
      queued: report?.queued ?? 0,
      copies,
    };
  }

  private placementArtifacts(): PlacementArtifact[] {
    const {catalog, entries} = this.context;
    const planner = entries[0]!;
    return catalog.all().map(entry =>
      catalog.toPlacementArtifact(entry, {
        demandPerSecond: this.demand.get(entry.artifact) ?? 0,
        serviceTimeMs: planner.serviceTimeMs.get(entry.artifact),
        waiting: this.waiting.get(entry.artifact) ?? 0,
      }),
    );
  }
}
