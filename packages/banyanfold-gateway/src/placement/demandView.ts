import type {StandbyCandidate} from '@banyanfold/decisions';
import {workOf} from '../requests/workOf.js';
import type {ModelDemand} from './demandMeter.js';

/** Demand moves to other models within seconds; so must its average. */
const SMOOTHING_MS = 1_500;
const MS_PER_SECOND = 1000;
/** Demand that left for some seconds is still in this average. */
const USUAL_SMOOTHING_MS = 15_000;
/** An entry that was not heard of for this long no longer counts. */
const ENTRY_LOST_MS = 2_000;

/** Work is told to a tenth: fewer digits, and nobody decides by less. */
const ROUNDING = 10;

interface SmoothedDemand {
  workPerSecond: number;
  requestsPerSecond: number;
  usualPerSecond: number;
  updatedMs: number;
  lastAskedMs: number;
}

/** What an entry has open at the runners. */
export interface EntryLoad {
  processorShare: number;
  openWork: Readonly<Record<string, number>>;
  adaptersInUse: Readonly<Record<string, readonly string[]>>;
  /** Requests under way, by runner and model. */
  modelsInUse: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

interface EntryState extends EntryLoad {
  heardMs: number;
  waiting: Map<string, number>;
}

/** Demand over all entries, as the holder of orders has heard it. */
export class DemandView {
  private readonly models = new Map<string, SmoothedDemand>();
  private readonly entries = new Map<string, EntryState>();
  private firstAskedMs = Number.POSITIVE_INFINITY;

  note(
    entry: string,
    {processorShare, openWork, adaptersInUse, modelsInUse}: EntryLoad,
    demand: readonly ModelDemand[],
    nowMs: number,
  ): void {
    const waiting = new Map<string, number>();
    for (const asked of demand) {
      if (asked.waiting > 0) waiting.set(asked.model, asked.waiting);
      this.add(asked, nowMs);
    }
    const heardMs = nowMs;
    this.entries.set(entry, {
      heardMs,
      processorShare,
      openWork,
      adaptersInUse,
      modelsInUse,
      waiting,
    });
  }

  workPerSecond(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    if (!smoothed) return 0;
    return smoothed.workPerSecond * decay(nowMs - smoothed.updatedMs);
  }

  requestsPerSecond(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    if (!smoothed) return 0;
    return smoothed.requestsPerSecond * decay(nowMs - smoothed.updatedMs);
  }

  /** Since a request was first heard of; negative before. */
  knownForMs(nowMs: number): number {
    return nowMs - this.firstAskedMs;
  }

  /** Requests a second over a longer time. */
  usualPerSecond(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    if (!smoothed) return 0;
    const sinceMs = nowMs - smoothed.updatedMs;
    return smoothed.usualPerSecond * decay(sinceMs, USUAL_SMOOTHING_MS);
  }

  idleMs(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    return smoothed ? nowMs - smoothed.lastAskedMs : Number.MAX_SAFE_INTEGER;
  }

  waiting(model: string, nowMs: number): number {
    let total = 0;
    for (const {heardMs, waiting} of this.entries.values()) {
      if (nowMs - heardMs < ENTRY_LOST_MS) total += waiting.get(model) ?? 0;
    }
    return total;
  }

  /** Entries heard of lately. */
  countEntries(nowMs: number): number {
    let count = 0;
    for (const {heardMs} of this.entries.values()) {
      if (nowMs - heardMs < ENTRY_LOST_MS) count += 1;
    }
    return Math.max(1, count);
  }

  /** Entries heard of lately, the last heard first. */
  entriesHeard(nowMs: number): StandbyCandidate[] {
    return [...this.entries]
      .filter(([, {heardMs}]) => nowMs - heardMs < ENTRY_LOST_MS)
      .sort(([, a], [, b]) => b.heardMs - a.heardMs)
      .map(([address, {processorShare}]) => ({address, processorShare}));
  }

  /** Open work of the other entries, by runner. */
  peersWork(entry: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const [name, {heardMs, openWork}] of this.entries) {
      if (name === entry || nowMs - heardMs >= ENTRY_LOST_MS) continue;
      for (const [runnerId, work] of Object.entries(openWork)) {
        total[runnerId] = (total[runnerId] ?? 0) + work;
      }
    }
    for (const [runnerId, work] of Object.entries(total)) {
      total[runnerId] = Math.round(work * ROUNDING) / ROUNDING;
    }
    return total;
  }

  /** Requests that the other entries have open, by runner. */
  peersRequests(entry: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const [name, {heardMs, modelsInUse}] of this.entries) {
      if (name === entry || nowMs - heardMs >= ENTRY_LOST_MS) continue;
      for (const [runnerId, counts] of Object.entries(modelsInUse)) {
        const open = Object.values(counts).reduce((sum, n) => sum + n, 0);
        total[runnerId] = (total[runnerId] ?? 0) + open;
      }
    }
    return total;
  }

  /** Whether an entry has a request under way there that uses the adapter. */
  isAdapterInUse(runnerId: string, adapter: string, nowMs: number): boolean {
    return [...this.entries.values()].some(
      ({heardMs, adaptersInUse}) =>
        nowMs - heardMs < ENTRY_LOST_MS &&
        adaptersInUse[runnerId]?.includes(adapter),
    );
  }

  /** Requests of all entries under way at a runner, by model. */
  modelsInUse(runnerId: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const {heardMs, modelsInUse} of this.entries.values()) {
      if (nowMs - heardMs >= ENTRY_LOST_MS) continue;
      for (const [model, count] of Object.entries(
        modelsInUse[runnerId] ?? {},
      )) {
        total[model] = (total[model] ?? 0) + count;
      }
    }
    return total;
  }

  private add(asked: ModelDemand, nowMs: number): void {
    const {arrivals, promptTokens, outputTokens} = asked;
    const {read, generate} = workOf({
      requests: arrivals,
      promptTokens,
      outputTokens,
    });
    const work = read + generate;
    if (arrivals > 0) this.firstAskedMs = Math.min(this.firstAskedMs, nowMs);
    const before = this.workPerSecond(asked.model, nowMs);
    const usualBefore = this.usualPerSecond(asked.model, nowMs);
    const requestsBefore = this.requestsPerSecond(asked.model, nowMs);
    const lastAskedMs =
      asked.arrivals > 0 || asked.waiting > 0
        ? nowMs
        : (this.models.get(asked.model)?.lastAskedMs ?? nowMs);
    this.models.set(asked.model, {
      workPerSecond: before + (work * MS_PER_SECOND) / SMOOTHING_MS,
      requestsPerSecond:
        requestsBefore + (arrivals * MS_PER_SECOND) / SMOOTHING_MS,
      usualPerSecond:
        usualBefore + (arrivals * MS_PER_SECOND) / USUAL_SMOOTHING_MS,
      updatedMs: nowMs,
      lastAskedMs,
    });
  }
}

function decay(elapsedMs: number, smoothingMs = SMOOTHING_MS): number {
  return Math.exp(-elapsedMs / smoothingMs);
}
