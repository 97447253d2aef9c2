import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DecayingRate,
  decideRateLimit,
  type FleetRateUse,
  type RateLimitDecision,
} from '@banyanfold/decisions';
import type {ResponseInfo} from '../types.js';
import {RateUseMeter, type RateUse} from './rateUseMeter.js';

/** The last known limit of a runner, as entries exchange it. */
export interface KnownRateLimit {
  runnerId: string;
  /** Requests per second; undefined after a response without a limit. */
  perSecond?: number;
  /** Time since the response with this limit, in ms. */
  ageMs: number;
}

/** A limit as the holder reports it, with the use by all entries. */
export type FleetRateLimit = Omit<KnownRateLimit, 'runnerId'> & FleetRateUse;

/**
 * Decision on a request to a runner. The request counts if the runner is
 * limited.
 */
export type RatePermit = {kind: 'unlimited'} | RateLimitDecision;

export interface RunnerRateLimitsOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random(): number;
}

/** Time constant of the exponential average of the request rate. */
const SMOOTHING_MS = 500;
/** Minimum rate, so that an increase of the limit is noticed. */
const MIN_PER_SECOND = 0.25;
/** How long a lifted limit is reported to the other entries. */
const LIFTED_RETENTION_MS = 10_000;
/**
 * A limit that the holder reports back may seem up to this much more recent.
 */
const ECHO_TOLERANCE_MS = 1_000;
/** A limit that no response has confirmed for this long is dropped. */
const LIMIT_RETENTION_MS = 30_000;
/**
 * The rate of requests at the other entries decays no faster than this when the
 * reported rate is lower, because a new holder has received few reports.
 */
const OTHERS_DECAY_MS = 2_000;
const MAX_OTHERS_DECAY_STEP_MS = 500;

interface LimitedRunner {
  perSecond: number | undefined;
  /** When the response with this limit arrived. */
  receivedMs: number;
  /**
   * Whether the response arrived here or at an entry that this one relays for.
   */
  isDirect: boolean;
  requested: DecayingRate;
  /** The same as the holder counts it, that is, at the time of the report. */
  reportedRequests: DecayingRate;
  unreportedRequests: number;
  /** Requests sent since the last report. */
  unreportedUse: number;
  /**
   * Requests sent and contained in the report that is in flight or was
   * acknowledged last.
   */
  reportedUse: number;
  fleetUse: FleetUse | undefined;
}

interface FleetUse {
  used: number;
  othersAskedPerSecond: number;
  ownAskedPerSecond: number;
  asOfMs: number;
}

/**
 * Enforces at this entry the limits that runners set on the requests per second
 * from all entries together.
 */
export class RunnerRateLimits {
  /** Also contains the counts of entries that this one relays for. */
  readonly meter = new RateUseMeter();
  private readonly limited = new Map<string, LimitedRunner>();

  constructor(private readonly options: RunnerRateLimitsOptions) {}

  /**
   * Records the limit in the headers of a response, or its absence. A response
   * may stay unread for seconds while this process is frozen, so a response
   * without a limit counts from when its request was sent.
   */
  recordAnswer(runnerId: string, facts: ResponseInfo, sentMs: number): void {
    const {requestsPerSecond, signed, notExecuted, fromOtherRunner} = facts;
    if (fromOtherRunner || !(signed || notExecuted)) return;
    const hasLimit = requestsPerSecond !== undefined;
    const receivedMs = hasLimit ? this.options.clock.nowMs() : sentMs;
    this.updateLimit(
      runnerId,
      {perSecond: requestsPerSecond, receivedMs},
      true,
    );
  }

  /** Records a limit that an entry has received for which this one relays. */
  addRelayed({runnerId, perSecond, ageMs}: KnownRateLimit): void {
    const receivedMs = this.options.clock.nowMs() - ageMs;
    this.updateLimit(runnerId, {perSecond, receivedMs}, true);
  }

  /**
   * Decides whether a request may be sent. An admitted request counts as sent
   * unless it is released.
   *
   * @example limits.acquire('i-1').kind // 'unlimited', if the runner sets no limit
   */
  acquire(runnerId: string): RatePermit {
    const limited = this.limited.get(runnerId);
    if (limited?.perSecond === undefined) return {kind: 'unlimited'};
    const {clock, random, metrics} = this.options;
    const nowMs = clock.nowMs();
    limited.requested.add(1, nowMs);
    limited.unreportedRequests += 1;
    const decision = decideRateLimit({
      limitPerSecond: Math.max(limited.perSecond, MIN_PER_SECOND),
      ownAskedPerSecond: limited.requested.perSecond(nowMs),
      fleet: toFleetRateUse(limited, nowMs),
      random,
    });
    const used = decision.kind === 'admit' ? 1 : 0;
    limited.unreportedUse += used;
    this.meter.record(runnerId, 1, used);
    metrics.count('rate_limited_requests_total', {outcome: decision.kind});
    return decision;
  }

  /** Cancels an admitted request that was not sent. */
  release(runnerId: string): void {
    const limited = this.limited.get(runnerId);
    if (!limited) return;
    limited.unreportedUse -= 1;
    this.meter.record(runnerId, 0, -1);
  }

  /**
   * Returns the limits to report to the holder. Limits that the holder reported
   * are left out, because reported back they would seem more recent by the time
   * of an exchange.
   */
  reportedLimits(): KnownRateLimit[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.limited]
      .filter(([, {isDirect}]) => isDirect)
      .map(([runnerId, {perSecond, receivedMs}]) => ({
        runnerId,
        perSecond,
        ageMs: nowMs - receivedMs,
      }));
  }

  /** Returns the counts for the next exchange and marks them as reported. */
  takeReports(): RateUse[] {
    const nowMs = this.options.clock.nowMs();
    for (const limited of this.limited.values()) {
      limited.reportedUse = limited.unreportedUse;
      limited.unreportedUse = 0;
      limited.reportedRequests.add(limited.unreportedRequests, nowMs);
      limited.unreportedRequests = 0;
    }
    return this.meter.take();
  }

  /**
   * Applies the limits that the holder has reported.
   *
   * @param ageMs time since the holder made the report.
   * @param isRelayed whether a relay forwarded the report, which then may not
   *   contain the last counts of this entry yet.
   */
  applyFleetLimits(
    limits: Readonly<Record<string, FleetRateLimit>>,
    ageMs: number,
    isRelayed: boolean,
  ): void {
    const {clock} = this.options;
    const asOfMs = clock.nowMs() - ageMs;
    for (const [runnerId, limit] of Object.entries(limits)) {
      const {perSecond} = limit;
      const receivedMs = asOfMs - limit.ageMs;
      this.updateLimit(runnerId, {perSecond, receivedMs}, false);
      const limited = this.limited.get(runnerId);
      if (!limited) continue;
      if (!isRelayed) limited.reportedUse = 0;
      const ownAskedPerSecond = limited.reportedRequests.perSecond(asOfMs);
      limited.fleetUse = {
        used: limit.used,
        othersAskedPerSecond: Math.max(
          limit.askedPerSecond - ownAskedPerSecond,
          decayedOthersRate(limited, asOfMs),
        ),
        ownAskedPerSecond,
        asOfMs,
      };
    }
  }

  /** Drops the limit of a restarted runner, which has not set one yet. */
  handleRestart(runnerId: string): void {
    this.limited.delete(runnerId);
  }

  /** Drops removed runners and expired limits. */
  prune(isKnown: (runnerId: string) => boolean): void {
    const nowMs = this.options.clock.nowMs();
    for (const [runnerId, {perSecond, receivedMs}] of this.limited) {
      const isExpired = nowMs - receivedMs > limitRetentionMs(perSecond);
      if (isExpired || !isKnown(runnerId)) this.limited.delete(runnerId);
    }
  }

  /**
   * Applies a limit if its response is the most recent one, whichever entry
   * received it.
   */
  private updateLimit(
    runnerId: string,
    {perSecond, receivedMs}: Pick<LimitedRunner, 'perSecond' | 'receivedMs'>,
    isDirect: boolean,
  ): void {
    const last = this.limited.get(runnerId);
    if (last ? receivedMs <= last.receivedMs : perSecond === undefined) return;
    const isUnchanged = last?.perSecond === perSecond;
    const newerByMs = receivedMs - (last?.receivedMs ?? 0);
    if (isUnchanged && !isDirect && newerByMs < ECHO_TOLERANCE_MS) return;
    if (this.options.clock.nowMs() - receivedMs > LIMIT_RETENTION_MS) return;
    const limited = last ?? createLimitedRunner();
    limited.receivedMs = receivedMs;
    limited.isDirect = isDirect;
    this.limited.set(runnerId, limited);
    if (limited.perSecond === perSecond) return;
    limited.perSecond = perSecond;
    this.options.logger.info('runner-limit', {
      runner: runnerId,
      perSecond: perSecond ?? 'none',
      ageMs: Math.round(this.options.clock.nowMs() - receivedMs),
    });
  }
}

/** How long a limit, or its removal, is kept after the response. */
export function limitRetentionMs(perSecond: number | undefined): number {
  return perSecond === undefined ? LIFTED_RETENTION_MS : LIMIT_RETENTION_MS;
}

function createLimitedRunner(): LimitedRunner {
  return {
    perSecond: undefined,
    receivedMs: Number.NEGATIVE_INFINITY,
    isDirect: false,
    requested: new DecayingRate(SMOOTHING_MS),
    reportedRequests: new DecayingRate(SMOOTHING_MS),
    unreportedRequests: 0,
    unreportedUse: 0,
    reportedUse: 0,
    fleetUse: undefined,
  };
}

function toFleetRateUse(
  {fleetUse, unreportedUse, reportedUse}: LimitedRunner,
  nowMs: number,
) {
  if (!fleetUse) return undefined;
  const {used, othersAskedPerSecond, ownAskedPerSecond, asOfMs} = fleetUse;
  return {
    used,
    askedPerSecond: othersAskedPerSecond + ownAskedPerSecond,
    ownAskedPerSecond,
    ageMs: nowMs - asOfMs,
    unaccounted: unreportedUse + reportedUse,
  };
}

/**
 * Request rate of the other entries from the last report, decayed to the given
 * time.
 */
function decayedOthersRate({fleetUse}: LimitedRunner, nowMs: number): number {
  if (!fleetUse) return 0;
  const elapsedMs = Math.min(
    Math.max(0, nowMs - fleetUse.asOfMs),
    MAX_OTHERS_DECAY_STEP_MS,
  );
  return fleetUse.othersAskedPerSecond * Math.exp(-elapsedMs / OTHERS_DECAY_MS);
}
