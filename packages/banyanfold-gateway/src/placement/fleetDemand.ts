import {workOf} from '../requests/workOf.js';
import type {ModelDemand} from './demandMeter.js';

/**
 * Demand shifts to other models within seconds, so the average must follow as
 * fast.
 */
const SMOOTHING_MS = 1_500;
const MS_PER_SECOND = 1000;
/**
 * Long enough that this average still contains demand that ceased some seconds
 * ago.
 */
const LONG_SMOOTHING_MS = 15_000;

interface SmoothedDemand {
  workPerSecond: number;
  requestsPerSecond: number;
  usualRequestsPerSecond: number;
  updatedMs: number;
  lastRequestedMs: number;
}

/** Demand over all entries, as reported to the holder of the lease. */
export class FleetDemand {
  private readonly models = new Map<string, SmoothedDemand>();
  private firstSeenMs = Number.POSITIVE_INFINITY;

  /** Adds the demand that an entry has counted since its previous report. */
  record(demand: readonly ModelDemand[], nowMs: number): void {
    for (const modelDemand of demand) this.add(modelDemand, nowMs);
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

  /** Time since the first request was reported; negative before. */
  observedForMs(nowMs: number): number {
    return nowMs - this.firstSeenMs;
  }

  /** Requests per second, averaged over a longer time. */
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

  private add(modelDemand: ModelDemand, nowMs: number): void {
    const {arrivals, promptTokens, outputTokens} = modelDemand;
    const {prefill: read, decode: generate} = workOf({
      requests: arrivals,
      promptTokens,
      outputTokens,
    });
    const work = read + generate;
    if (arrivals > 0) this.firstSeenMs = Math.min(this.firstSeenMs, nowMs);
    const previousWorkRate = this.workPerSecond(modelDemand.model, nowMs);
    const previousUsualRate = this.usualRequestsPerSecond(
      modelDemand.model,
      nowMs,
    );
    const previousRequestRate = this.requestsPerSecond(
      modelDemand.model,
      nowMs,
    );
    this.models.set(modelDemand.model, {
      workPerSecond: previousWorkRate + (work * MS_PER_SECOND) / SMOOTHING_MS,
      requestsPerSecond:
        previousRequestRate + (arrivals * MS_PER_SECOND) / SMOOTHING_MS,
      usualRequestsPerSecond:
        previousUsualRate + (arrivals * MS_PER_SECOND) / LONG_SMOOTHING_MS,
      updatedMs: nowMs,
      lastRequestedMs: nowMs,
    });
  }
}

function decay(elapsedMs: number, smoothingMs = SMOOTHING_MS): number {
  return Math.exp(-elapsedMs / smoothingMs);
}
