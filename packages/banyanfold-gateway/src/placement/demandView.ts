import {workOf} from '../requests/workOf.js';
import type {ModelDemand} from './demandMeter.js';

/** Demand moves to other models within seconds; so must its average. */
const SMOOTHING_MS = 1_500;
const MS_PER_SECOND = 1000;
/** Demand that left for some seconds is still in this average. */
const USUAL_SMOOTHING_MS = 15_000;

interface SmoothedDemand {
  workPerSecond: number;
  requestsPerSecond: number;
  usualPerSecond: number;
  updatedMs: number;
  lastAskedMs: number;
}

/** Demand over all entries, as the holder of orders has heard it. */
export class DemandView {
  private readonly models = new Map<string, SmoothedDemand>();
  private firstAskedMs = Number.POSITIVE_INFINITY;

  /** Takes in what was asked of an entry since it told before. */
  note(demand: readonly ModelDemand[], nowMs: number): void {
    for (const asked of demand) this.add(asked, nowMs);
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

  private add(asked: ModelDemand, nowMs: number): void {
    const {arrivals, promptTokens, outputTokens} = asked;
    const {prefill: read, decode: generate} = workOf({
      requests: arrivals,
      promptTokens,
      outputTokens,
    });
    const work = read + generate;
    if (arrivals > 0) this.firstAskedMs = Math.min(this.firstAskedMs, nowMs);
    const before = this.workPerSecond(asked.model, nowMs);
    const usualBefore = this.usualPerSecond(asked.model, nowMs);
    const requestsBefore = this.requestsPerSecond(asked.model, nowMs);
    this.models.set(asked.model, {
      workPerSecond: before + (work * MS_PER_SECOND) / SMOOTHING_MS,
      requestsPerSecond:
        requestsBefore + (arrivals * MS_PER_SECOND) / SMOOTHING_MS,
      usualPerSecond:
        usualBefore + (arrivals * MS_PER_SECOND) / USUAL_SMOOTHING_MS,
      updatedMs: nowMs,
      lastAskedMs: nowMs,
    });
  }
}

function decay(elapsedMs: number, smoothingMs = SMOOTHING_MS): number {
  return Math.exp(-elapsedMs / smoothingMs);
}
