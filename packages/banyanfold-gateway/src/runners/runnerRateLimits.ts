import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DecayingRate,
  decideRateLimit,
  type FleetRateUse,
  type RateLimitDecision,
} from '@banyanfold/decisions';
import type {AnswerFacts} from '../types.js';
import {RateUseMeter, type RateUse} from './rateUseMeter.js';

/** What a runner last named, as entries tell each other. */
export interface KnownRateLimit {
  runnerId: string;
  /** Requests a second; undefined once its answers name none. */
  perSecond?: number;
  /** Since the answer that named it, in ms. */
  ageMs: number;
}

/** The same from the holder, with what the fleet made of it. */
export type FleetRateLimit = Omit<KnownRateLimit, 'runnerId'> & FleetRateUse;

/** Whether a request may be sent to a runner; counted where that is limited. */
export type RatePermit = {kind: 'unlimited'} | RateLimitDecision;

export interface RunnerRateLimitsOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random(): number;
  /** Entries at work, this one included. */
  entries(): number;
}

/** Half of what is asked for within half a second counts. */
const SMOOTHING_MS = 500;
/** With less, nobody would find out that a runner takes more again. */
const MIN_PER_SECOND = 0.25;
/** That a runner names no limit any more is told to the others for so long. */
const LIFTED_RETENTION_MS = 10_000;
/** Told back by the holder, what this entry told it seems up to so much younger. */
const ECHO_TOLERANCE_MS = 1_000;
/** A limit that no answer has named for so long is not kept to any more. */
const LIMIT_RETENTION_MS = 30_000;
/**
 * What the others were asked for fades no faster than this when less is told: a
 * holder that has just begun has heard of few.
 */
const OTHERS_DECAY_MS = 2_000;
const MAX_OTHERS_DECAY_STEP_MS = 500;

interface LimitedRunner {
  perSecond: number | undefined;
  /** When the answer that named it came. */
  receivedMs: number;
  /** The answer came here, or to an entry that this one relays for. */
  isDirect: boolean;
  requested: DecayingRate;
  /** The same as the holder counts it, which is when it is reported. */
  reportedRequests: DecayingRate;
  unreportedRequests: number;
  /** Sent since the last report was made. */
  unreportedUse: number;
  /** Sent and in the report that is under way or was answered last. */
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
 * Limits that runners have named on the requests that they take a second from all
 * entries together, as this entry keeps to them.
 */
export class RunnerRateLimits {
  /** Also holds what entries that this one relays for have counted. */
  readonly meter = new RateUseMeter();
  private readonly limited = new Map<string, LimitedRunner>();

  constructor(private readonly options: RunnerRateLimitsOptions) {}

  /**
   * Takes in what the head of an answer says, or no longer says. An answer may lie
   * unread for seconds while this process stands still, so that one without a limit
   * tells of no later time than when its request was sent.
   */
  recordAnswer(runnerId: string, facts: AnswerFacts, sentMs: number): void {
    const {requestsPerSecond, signed, notExecuted, fromOtherRunner} = facts;
    if (fromOtherRunner || !(signed || notExecuted)) return;
    const isNamed = requestsPerSecond !== undefined;
    const heardMs = isNamed ? this.options.clock.nowMs() : sentMs;
    this.updateLimit(
      runnerId,
      {perSecond: requestsPerSecond, receivedMs: heardMs},
      true,
    );
  }

  /** Takes in what an entry that this one relays for has heard. */
  addRelayed({runnerId, perSecond, ageMs}: KnownRateLimit): void {
    const heardMs = this.options.clock.nowMs() - ageMs;
    this.updateLimit(runnerId, {perSecond, receivedMs: heardMs}, true);
  }

  /**
   * Asks to send a request; what is admitted counts as sent until it is given back.
   *
   * @example limits.take('i-1').kind // 'unlimited', where it names no limit
   */
  acquire(runnerId: string): RatePermit {
    const limited = this.limited.get(runnerId);
    if (limited?.perSecond === undefined) return {kind: 'unlimited'};
    const {clock, entries, random, metrics} = this.options;
    const nowMs = clock.nowMs();
    limited.requested.add(1, nowMs);
    limited.unreportedRequests += 1;
    const decision = decideRateLimit({
      limitPerSecond: Math.max(limited.perSecond, MIN_PER_SECOND),
      ownAskedPerSecond: limited.requested.perSecond(nowMs),
      heard: toFleetRateUse(limited, nowMs),
      entries: entries(),
      random,
    });
    const used = decision.kind === 'admit' ? 1 : 0;
    limited.unreportedUse += used;
    this.meter.record(runnerId, 1, used);
    metrics.count('rate_limited_requests_total', {outcome: decision.kind});
    return decision;
  }

  /** What was admitted has not been sent after all. */
  release(runnerId: string): void {
    const limited = this.limited.get(runnerId);
    if (!limited) return;
    limited.unreportedUse -= 1;
    this.meter.record(runnerId, 0, -1);
  }

  /**
   * What this entry tells the holder of the limits that it knows. Told back, what the
   * holder told would be younger by the time of an exchange.
   */
  reportedLimits(): KnownRateLimit[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.limited]
      .filter(([, {isDirect: isFirstHand}]) => isFirstHand)
      .map(([runnerId, {perSecond, receivedMs: heardMs}]) => ({
        runnerId,
        perSecond,
        ageMs: nowMs - heardMs,
      }));
  }

  /** Takes the report for the next exchange. */
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
   * Takes in what the holder has told.
   *
   * @param ageMs since it was known.
   * @param isRelayed a relay told, whose word may not hold the last report yet.
   */
  applyFleetLimits(
    limits: Readonly<Record<string, FleetRateLimit>>,
    ageMs: number,
    isRelayed: boolean,
  ): void {
    const {clock} = this.options;
    const atMs = clock.nowMs() - ageMs;
    for (const [runnerId, limit] of Object.entries(limits)) {
      const {perSecond} = limit;
      const heardMs = atMs - limit.ageMs;
      this.updateLimit(runnerId, {perSecond, receivedMs: heardMs}, false);
      const limited = this.limited.get(runnerId);
      if (!limited) continue;
      if (!isRelayed) limited.reportedUse = 0;
      const ownAskedPerSecond = limited.reportedRequests.perSecond(atMs);
      limited.fleetUse = {
        used: limit.used,
        othersAskedPerSecond: Math.max(
          limit.askedPerSecond - ownAskedPerSecond,
          decayedOthersRate(limited, atMs),
        ),
        ownAskedPerSecond,
        asOfMs: atMs,
      };
    }
  }

  /** A runner that has started again has named nothing yet. */
  handleRestart(runnerId: string): void {
    this.limited.delete(runnerId);
  }

  /** Forgets runners that are gone, and what was named long ago. */
  prune(isKnown: (runnerId: string) => boolean): void {
    const nowMs = this.options.clock.nowMs();
    for (const [runnerId, {perSecond, receivedMs: heardMs}] of this.limited) {
      const isOver = nowMs - heardMs > limitRetentionMs(perSecond);
      if (isOver || !isKnown(runnerId)) this.limited.delete(runnerId);
    }
  }

  /** The latest answer counts, whoever got it. */
  private updateLimit(
    runnerId: string,
    {
      perSecond,
      receivedMs: heardMs,
    }: Pick<LimitedRunner, 'perSecond' | 'receivedMs'>,
    isFirstHand: boolean,
  ): void {
    const known = this.limited.get(runnerId);
    if (known ? heardMs <= known.receivedMs : perSecond === undefined) return;
    const isSame = known?.perSecond === perSecond;
    const sinceMs = heardMs - (known?.receivedMs ?? 0);
    if (isSame && !isFirstHand && sinceMs < ECHO_TOLERANCE_MS) return;
    if (this.options.clock.nowMs() - heardMs > LIMIT_RETENTION_MS) return;
    const limited = known ?? createLimitedRunner();
    limited.receivedMs = heardMs;
    limited.isDirect = isFirstHand;
    this.limited.set(runnerId, limited);
    if (limited.perSecond === perSecond) return;
    limited.perSecond = perSecond;
    this.options.logger.info('runner-limit', {
      runner: runnerId,
      perSecond: perSecond ?? 'none',
      ageMs: Math.round(this.options.clock.nowMs() - heardMs),
    });
  }
}

/** How long after an answer what it named, or named no more, is kept. */
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
  {
    fleetUse: told,
    unreportedUse: unreported,
    reportedUse: reported,
  }: LimitedRunner,
  nowMs: number,
) {
  if (!told) return undefined;
  const {used, othersAskedPerSecond, ownAskedPerSecond, asOfMs: atMs} = told;
  return {
    used,
    askedPerSecond: othersAskedPerSecond + ownAskedPerSecond,
    ownAskedPerSecond,
    ageMs: nowMs - atMs,
    untold: unreported + reported,
  };
}

/** What the others were asked for when last told, as far as it counts still. */
function decayedOthersRate(
  {fleetUse: told}: LimitedRunner,
  nowMs: number,
): number {
  if (!told) return 0;
  const sinceMs = Math.min(
    Math.max(0, nowMs - told.asOfMs),
    MAX_OTHERS_DECAY_STEP_MS,
  );
  return told.othersAskedPerSecond * Math.exp(-sinceMs / OTHERS_DECAY_MS);
}
