import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DecayingRate,
  decideRateLimit,
  type FleetRateUse,
  type RateLimitDecision,
} from '@banyanfold/decisions';
import type {ResponseInfo} from '../types.js';
import {RateUseMeter, type RateUse} from './rateUseMeter.js';

/** What a runner last named, as entries tell each other. */
export interface ToldRateLimit {
  runnerId: string;
  /** Requests a second; undefined once its answers name none. */
  perSecond?: number;
  /** Since the answer that named it, in ms. */
  ageMs: number;
}

/** The same from the holder, with what the fleet made of it. */
export type FleetRateLimit = Omit<ToldRateLimit, 'runnerId'> & FleetRateUse;

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
const LIFTED_TOLD_MS = 10_000;
/** Told back by the holder, what this entry told it seems up to so much younger. */
const ECHO_MS = 1_000;
/** A limit that no answer has named for so long is not kept to any more. */
const LIMIT_TRUSTED_MS = 30_000;
/**
 * What the others were asked for fades no faster than this when less is told: a
 * holder that has just begun has heard of few.
 */
const OTHERS_FADE_MS = 2_000;
const OTHERS_FADE_STEP_MS = 500;

interface RateLimited {
  perSecond: number | undefined;
  /** When the answer that named it came. */
  heardMs: number;
  /** The answer came here, or to an entry that this one relays for. */
  isFirstHand: boolean;
  asked: DecayingRate;
  /** The same as the holder counts it, which is when it is reported. */
  reportedAsked: DecayingRate;
  unreportedAsked: number;
  /** Sent since the last report was made. */
  unreported: number;
  /** Sent and in the report that is under way or was answered last. */
  reported: number;
  told: ToldUse | undefined;
}

interface ToldUse {
  used: number;
  othersAskedPerSecond: number;
  ownAskedPerSecond: number;
  atMs: number;
}

/**
 * Limits that runners have named on the requests that they take a second from all
 * entries together, as this entry keeps to them.
 */
export class RunnerRateLimits {
  /** Also holds what entries that this one relays for have counted. */
  readonly meter = new RateUseMeter();
  private readonly limited = new Map<string, RateLimited>();

  constructor(private readonly options: RunnerRateLimitsOptions) {}

  /**
   * Takes in what the head of an answer says, or no longer says. An answer may lie
   * unread for seconds while this process stands still, so that one without a limit
   * tells of no later time than when its request was sent.
   */
  noteAnswer(runnerId: string, facts: ResponseInfo, sentMs: number): void {
    const {requestsPerSecond, signed, notExecuted, fromOtherRunner} = facts;
    if (fromOtherRunner || !(signed || notExecuted)) return;
    const isNamed = requestsPerSecond !== undefined;
    const heardMs = isNamed ? this.options.clock.nowMs() : sentMs;
    this.note(runnerId, {perSecond: requestsPerSecond, heardMs}, true);
  }

  /** Takes in what an entry that this one relays for has heard. */
  noteTold({runnerId, perSecond, ageMs}: ToldRateLimit): void {
    const heardMs = this.options.clock.nowMs() - ageMs;
    this.note(runnerId, {perSecond, heardMs}, true);
  }

  /**
   * Asks to send a request; what is admitted counts as sent until it is given back.
   *
   * @example limits.take('i-1').kind // 'unlimited', where it names no limit
   */
  take(runnerId: string): RatePermit {
    const limited = this.limited.get(runnerId);
    if (limited?.perSecond === undefined) return {kind: 'unlimited'};
    const {clock, entries, random, metrics} = this.options;
    const nowMs = clock.nowMs();
    limited.asked.add(1, nowMs);
    limited.unreportedAsked += 1;
    const decision = decideRateLimit({
      limitPerSecond: Math.max(limited.perSecond, MIN_PER_SECOND),
      ownAskedPerSecond: limited.asked.perSecond(nowMs),
      fleet: heardOf(limited, nowMs),
      entries: entries(),
      random,
    });
    const used = decision.kind === 'admit' ? 1 : 0;
    limited.unreported += used;
    this.meter.note(runnerId, 1, used);
    metrics.count('rate_limited_requests_total', {outcome: decision.kind});
    return decision;
  }

  /** What was admitted has not been sent after all. */
  giveBack(runnerId: string): void {
    const limited = this.limited.get(runnerId);
    if (!limited) return;
    limited.unreported -= 1;
    this.meter.note(runnerId, 0, -1);
  }

  /**
   * What this entry tells the holder of the limits that it knows. Told back, what the
   * holder told would be younger by the time of an exchange.
   */
  toldLimits(): ToldRateLimit[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.limited]
      .filter(([, {isFirstHand}]) => isFirstHand)
      .map(([runnerId, {perSecond, heardMs}]) => ({
        runnerId,
        perSecond,
        ageMs: nowMs - heardMs,
      }));
  }

  /** Takes the report for the next exchange. */
  takeReports(): RateUse[] {
    const nowMs = this.options.clock.nowMs();
    for (const limited of this.limited.values()) {
      limited.reported = limited.unreported;
      limited.unreported = 0;
      limited.reportedAsked.add(limited.unreportedAsked, nowMs);
      limited.unreportedAsked = 0;
    }
    return this.meter.take();
  }

  /**
   * Takes in what the holder has told.
   *
   * @param ageMs since it was known.
   * @param isPassedOn a relay told, whose word may not hold the last report yet.
   */
  tell(
    limits: Readonly<Record<string, FleetRateLimit>>,
    ageMs: number,
    isPassedOn: boolean,
  ): void {
    const {clock} = this.options;
    const atMs = clock.nowMs() - ageMs;
    for (const [runnerId, limit] of Object.entries(limits)) {
      const {perSecond} = limit;
      const heardMs = atMs - limit.ageMs;
      this.note(runnerId, {perSecond, heardMs}, false);
      const limited = this.limited.get(runnerId);
      if (!limited) continue;
      if (!isPassedOn) limited.reported = 0;
      const ownAskedPerSecond = limited.reportedAsked.perSecond(atMs);
      limited.told = {
        used: limit.used,
        othersAskedPerSecond: Math.max(
          limit.askedPerSecond - ownAskedPerSecond,
          othersBefore(limited, atMs),
        ),
        ownAskedPerSecond,
        atMs,
      };
    }
  }

  /** A runner that has started again has named nothing yet. */
  noteRestart(runnerId: string): void {
    this.limited.delete(runnerId);
  }

  /** Forgets runners that are gone, and what was named long ago. */
  keepOnly(isKnown: (runnerId: string) => boolean): void {
    const nowMs = this.options.clock.nowMs();
    for (const [runnerId, {perSecond, heardMs}] of this.limited) {
      const isOver = nowMs - heardMs > keptMs(perSecond);
      if (isOver || !isKnown(runnerId)) this.limited.delete(runnerId);
    }
  }

  /** The latest answer counts, whoever got it. */
  private note(
    runnerId: string,
    {perSecond, heardMs}: Pick<RateLimited, 'perSecond' | 'heardMs'>,
    isFirstHand: boolean,
  ): void {
    const known = this.limited.get(runnerId);
    if (known ? heardMs <= known.heardMs : perSecond === undefined) return;
    const isSame = known?.perSecond === perSecond;
    const sinceMs = heardMs - (known?.heardMs ?? 0);
    if (isSame && !isFirstHand && sinceMs < ECHO_MS) return;
    if (this.options.clock.nowMs() - heardMs > LIMIT_TRUSTED_MS) return;
    const limited = known ?? created();
    limited.heardMs = heardMs;
    limited.isFirstHand = isFirstHand;
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
export function keptMs(perSecond: number | undefined): number {
  return perSecond === undefined ? LIFTED_TOLD_MS : LIMIT_TRUSTED_MS;
}

function created(): RateLimited {
  return {
    perSecond: undefined,
    heardMs: Number.NEGATIVE_INFINITY,
    isFirstHand: false,
    asked: new DecayingRate(SMOOTHING_MS),
    reportedAsked: new DecayingRate(SMOOTHING_MS),
    unreportedAsked: 0,
    unreported: 0,
    reported: 0,
    told: undefined,
  };
}

function heardOf({told, unreported, reported}: RateLimited, nowMs: number) {
  if (!told) return undefined;
  const {used, othersAskedPerSecond, ownAskedPerSecond, atMs} = told;
  return {
    used,
    askedPerSecond: othersAskedPerSecond + ownAskedPerSecond,
    ownAskedPerSecond,
    ageMs: nowMs - atMs,
    unaccounted: unreported + reported,
  };
}

/** What the others were asked for when last told, as far as it counts still. */
function othersBefore({told}: RateLimited, nowMs: number): number {
  if (!told) return 0;
  const sinceMs = Math.min(Math.max(0, nowMs - told.atMs), OTHERS_FADE_STEP_MS);
  return told.othersAskedPerSecond * Math.exp(-sinceMs / OTHERS_FADE_MS);
}
