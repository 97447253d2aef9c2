import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {ReportedLoad, RunnerStart} from '../types.js';

/** The speed of a runner as an entry reports it to the holder. */
export interface SpeedReport {
  runnerId: string;
  /** 1 is as usual. */
  speed: number;
  samples: number;
}

/** Speed, and how long ago it was known in ms, by runner. */
export type FleetSpeeds = Readonly<Record<string, readonly [number, number]>>;

/** A figure beyond these is more likely an error than a machine's speed. */
const MIN_SPEED = 0.1;
const MAX_SPEED = 3;
const USUAL_PERCENT = 100;
/**
 * The figure changes many times a second; entries that follow each change move
 * their requests in step.
 */
const SMOOTHING_MS = 1_000;
/** Eight exchanges. Other programs on the machine come and go in seconds. */
const SPEED_VALID_MS = 2_000;
/** After that a speed returns to 1 without a step that moves all requests. */
const SPEED_DECAY_MS = 1_000;
/** A change by less is neither logged nor worth a message. */
const NOTABLE_CHANGE = 0.1;
const LOG_INTERVAL_MS = 1_000;

interface KnownSpeed {
  speed: number;
  atMs: number;
}

interface RunnerCapacity {
  own: KnownSpeed | undefined;
  /** Samples since the last exchange, of this entry and those it relays for. */
  pendingSum: number;
  pendingSamples: number;
  /** Time of the first of them. */
  pendingSinceMs: number;
  loggedSpeed: number;
  loggedMs: number;
}

export interface RunnerCapacitiesOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** The current start of a runner; undefined if it is gone. */
  currentStart(runnerId: string): RunnerStart | undefined;
}

/** Why a reported load was not used. */
export type InvalidLoadReason = 'malformed' | 'earlier-start';

/** How fast runners work at present, from their responses and from peers. */
export class RunnerCapacities {
  private readonly runners = new Map<string, RunnerCapacity>();
  private fleet = new Map<string, KnownSpeed>();

  constructor(private readonly options: RunnerCapacitiesOptions) {}

  /**
   * Records the load that a response stated.
   *
   * @param runner the start that the request was sent to; a response of an
   * earlier start says nothing of the current one.
   */
  record(runner: RunnerStart, {durationPercent}: ReportedLoad): void {
    const {clock, currentStart} = this.options;
    const {runnerId, bornMs} = runner;
    if (currentStart(runnerId)?.bornMs !== bornMs) {
      return this.countInvalid('earlier-start');
    }
    if (durationPercent === undefined) return;
    const speed = clampSpeed(USUAL_PERCENT / durationPercent);
    const capacity = this.getOrCreate(runnerId);
    capacity.own = smooth(capacity.own, speed, clock.nowMs());
    this.addPending(capacity, speed, 1);
    this.logIfChanged(runnerId, capacity);
  }

  countInvalid(reason: InvalidLoadReason): void {
    this.options.metrics.count('runner_loads_invalid_total', {reason});
  }

  /**
   * The speed of a runner: what the holder sent, else own samples, else 1.
   *
   * @example capacities.speed('i-7f3a') // 0.55
   */
  speed(runnerId: string): number {
    const nowMs = this.options.clock.nowMs();
    const own = this.runners.get(runnerId)?.own;
    const fleet = this.fleet.get(runnerId);
    const isFleetValid = fleet && nowMs - fleet.atMs <= SPEED_VALID_MS;
    const known = isFleetValid || !own ? fleet : own;
    return known ? decayed(known, nowMs) : 1;
  }

  /** Samples since the last call; those of a lost exchange are not repeated. */
  takeReports(): SpeedReport[] {
    const reports: SpeedReport[] = [];
    const nowMs = this.options.clock.nowMs();
    for (const [runnerId, capacity] of this.runners) {
      const {pendingSum, pendingSamples: samples} = capacity;
      if (samples === 0) continue;
      capacity.pendingSum = 0;
      capacity.pendingSamples = 0;
      // An entry that was frozen has samples from before.
      if (nowMs - capacity.pendingSinceMs > SPEED_VALID_MS) continue;
      reports.push({runnerId, speed: round(pendingSum / samples), samples});
    }
    return reports;
  }

  /** Adds what an entry that this process relays for has sampled. */
  addRelayed(reports: readonly SpeedReport[]): void {
    for (const {runnerId, speed, samples} of reports) {
      const capacity = this.getOrCreate(runnerId);
      this.addPending(capacity, clampSpeed(speed), samples);
    }
  }

  /** Starts again if the samples so far are too old to be reported. */
  private addPending(
    capacity: RunnerCapacity,
    speed: number,
    samples: number,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const isOld = nowMs - capacity.pendingSinceMs > SPEED_VALID_MS;
    if (capacity.pendingSamples === 0 || isOld) {
      capacity.pendingSum = 0;
      capacity.pendingSamples = 0;
      capacity.pendingSinceMs = nowMs;
    }
    capacity.pendingSum += speed * samples;
    capacity.pendingSamples += samples;
  }

  /** @param ageMs time since the holder sent the speeds. */
  applyFleetSpeeds(speeds: FleetSpeeds, ageMs: number): void {
    const sentMs = this.options.clock.nowMs() - ageMs;
    this.fleet = new Map(
      Object.entries(speeds).map(([runnerId, [speed, knownMs]]) => [
        runnerId,
        {speed: clampSpeed(speed), atMs: sentMs - knownMs},
      ]),
    );
  }

  /** Runners that are known to be slower or faster than usual. */
  get notableCount(): number {
    const ids = new Set([...this.runners.keys(), ...this.fleet.keys()]);
    const isNotable = (id: string) =>
      Math.abs(this.speed(id) - 1) > NOTABLE_CHANGE;
    return [...ids].filter(isNotable).length;
  }

  /** Discards what an earlier start of the runner reported. */
  handleRestart(runnerId: string): void {
    this.runners.delete(runnerId);
    this.fleet.delete(runnerId);
  }

  prune(isKnown: (runnerId: string) => boolean): void {
    for (const runnerId of this.runners.keys()) {
      if (!isKnown(runnerId)) this.runners.delete(runnerId);
    }
  }

  private logIfChanged(runnerId: string, capacity: RunnerCapacity): void {
    const {clock, logger} = this.options;
    const nowMs = clock.nowMs();
    const speed = this.speed(runnerId);
    if (Math.abs(speed - capacity.loggedSpeed) <= NOTABLE_CHANGE) return;
    if (nowMs - capacity.loggedMs < LOG_INTERVAL_MS) return;
    capacity.loggedSpeed = speed;
    capacity.loggedMs = nowMs;
    logger.info('runner-speed', {runner: runnerId, speed: round(speed)});
  }

  private getOrCreate(runnerId: string): RunnerCapacity {
    let capacity = this.runners.get(runnerId);
    if (!capacity) {
      capacity = {
        own: undefined,
        pendingSum: 0,
        pendingSamples: 0,
        pendingSinceMs: 0,
        loggedSpeed: 1,
        loggedMs: Number.NEGATIVE_INFINITY,
      };
      this.runners.set(runnerId, capacity);
    }
    return capacity;
  }
}

function smooth(
  known: KnownSpeed | undefined,
  speed: number,
  nowMs: number,
): KnownSpeed {
  if (!known || nowMs - known.atMs > SPEED_VALID_MS) {
    return {speed, atMs: nowMs};
  }
  const weight = 1 - Math.exp((known.atMs - nowMs) / SMOOTHING_MS);
  return {speed: known.speed + (speed - known.speed) * weight, atMs: nowMs};
}

function decayed({speed, atMs}: KnownSpeed, nowMs: number): number {
  const overMs = Math.max(0, nowMs - atMs - SPEED_VALID_MS);
  return clampSpeed(1 + (speed - 1) * Math.exp(-overMs / SPEED_DECAY_MS));
}

function clampSpeed(speed: number): number {
  return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
}

function round(speed: number): number {
  return Math.round(speed * 100) / 100;
}
