import {workOf} from '../requests/workOf.js';
import type {ModelDemand} from './demandMeter.js';

/** Demand moves to other models within seconds; so must its average. */
const SMOOTHING_MS = 1_500;
const MS_PER_SECOND = 1000;
/** Demand that left for some seconds is still in this average. */
const LONG_SMOOTHING_MS = 15_000;

interface SmoothedDemand {
  workPerSecond: number;
  requestsPerSecond: number;
  usualRequestsPerSecond: number;
  updatedMs: number;
  lastRequestedMs: number;
}

/** Demand over all entries, as the holder of orders has heard it. */
export class FleetDemand {
  private readonly models = new Map<string, SmoothedDemand>();
  private firstSeenMs = Number.POSITIVE_INFINITY;

  /** Takes in what was asked of an entry since it told before. */
  record(demand: readonly ModelDemand[], nowMs: number): void {
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
  observedForMs(nowMs: number): number {
    return nowMs - this.firstSeenMs;
  }

  /** Requests a second over a longer time. */
  usualRequestsPerSecond(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    if (!smoothed) return 0;
    const sinceMs = nowMs - smoothed.updatedMs;
    return smoothed.usualRequestsPerSecond * decay(sinceMs, LONG_SMOOTHING_MS);
  }

  idleMs(model: string, nowMs: number): number {
    const smoothed = this.models.get(model);
    return smoothed
      ? nowMs - smoothed.lastRequestedMs
      : Number.MAX_SAFE_INTEGER;
  }

  private add(asked: ModelDemand, nowMs: number): void {
    const {arrivals, promptTokens, outputTokens} = asked;
    const {read, generate} = workOf({
      requests: arrivals,
      promptTokens,
      outputTokens,
    });
    const work = read + generate;
    if (arrivals > 0) this.firstSeenMs = Math.min(this.firstSeenMs, nowMs);
    const before = this.workPerSecond(asked.model, nowMs);
    const usualBefore = this.usualRequestsPerSecond(asked.model, nowMs);
    const requestsBefore = this.requestsPerSecond(asked.model, nowMs);
    this.models.set(asked.model, {
      workPerSecond: before + (work * MS_PER_SECOND) / SMOOTHING_MS,
      requestsPerSecond:
        requestsBefore + (arrivals * MS_PER_SECOND) / SMOOTHING_MS,
      usualRequestsPerSecond:
        usualBefore + (arrivals * MS_PER_SECOND) / LONG_SMOOTHING_MS,
      updatedMs: nowMs,
      lastRequestedMs: nowMs,
    });
  }
}

function decay(elapsedMs: number, smoothingMs = SMOOTHING_MS): number {
  return Math.exp(-elapsedMs / smoothingMs);
}
