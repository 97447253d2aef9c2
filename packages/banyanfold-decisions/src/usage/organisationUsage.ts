import {MIN_RETRY_AFTER_MS} from '../options.js';
import {AdmissionForecast} from './admissionForecast.js';
import {AmountLog} from './amountLog.js';
import {KEPT_MS, OthersDemandEstimate} from './othersDemand.js';
import {silentRatePerSecond} from './silentRatePerSecond.js';
import type {SlidingWindow} from './slidingWindow.js';
import type {UsageLimit} from './usageLimit.js';

/** Use of a cap by all entries, as reported by the lease holder. */
export interface FleetUsageSnapshot {
  /** Remaining amount of the limit; negative when more has been used. */
  left: number;
  /** Amount per second that becomes free as earlier use leaves the window. */
  freedPerSecond: number;
  /** Amount per second requested at all entries, including refused ones. */
  askedPerSecond: number;
}

/** Input of {@link OrganisationUsage.decide}. */
export interface UsageView {
  limit: UsageLimit;
  nowMs: number;
  /** Returns a uniform number in [0, 1). */
  random(): number;
  /** Use by all entries up to the last snapshot, if that is known. */
  knownUse?: SlidingWindow;
  /** Number of times that the request has waited for an update; default 0. */
  waits?: number;
}

export type UsageDecision =
  /** @property left remaining amount, as far as this entry knows. */
  | {kind: 'admit'; left: number}
  /** To be decided again after the next update, as `waits` tells. */
  | {kind: 'wait'; left: number}
  /**
   * @property retryAfterMs time until the cap has freed what the request needs,
   *   and what is asked for at once above the limit.
   */
  | {kind: 'refuse'; left: number; retryAfterMs: number};

/** A snapshot is valid as it is up to this age. */
export const SNAPSHOT_FRESH_MS = 1_500;
const NO_USAGE: FleetUsageSnapshot = {
  left: 0,
  freedPerSecond: 0,
  askedPerSecond: 0,
};
/** Time until others know of an admission: an exchange, or two via a relay. */
const PROPAGATION_MS = 700;
/** An interval of reports: a relay may not have passed on the last but one. */
const RELAY_LAG_MS = 250;
/**
 * Updates that a request waits for while the demand may be rising. The rise of
 * one interval is often chance, and is known not to go on by the second update.
 */
const MAX_WAITS = 2;
/** The largest share of the limit that must be left for one request. */
const MAX_NEEDED_SHARE = 0.5;
const MS_PER_SECOND = 1000;

/**
 * Tracks the use of one organisation's cap at one entry.
 *
 * While more is left than the other entries can admit before this one learns of
 * it, every request is admitted. Near the limit, each entry admits at random,
 * so that all entries together admit what is left and what becomes free. What
 * the others have admitted since the snapshot is forecast by the share that was
 * admitted here. A request that only an apparent rise of the demand would refuse
 * waits for the next snapshots. An entry without a snapshot admits the share of
 * the rate that its callers had of the total demand.
 *
 * Designed for an organisation far over its cap next to others below theirs, at
 * entries that learn of each other's use some hundred ms late, or not at all.
 *
 * @example
 * const usage = new OrganisationUsage(true);
 * usage.decide(9_190, {limit, nowMs, random}).kind // 'admit'
 */
export class OrganisationUsage {
  private readonly others = new OthersDemandEstimate();
  private readonly forecast = new AdmissionForecast(KEPT_MS);
  private readonly admitted = new AmountLog(KEPT_MS);
  private fleet: (FleetUsageSnapshot & {atMs: number}) | undefined;
  /** Amount admitted here that the snapshot does not include. */
  private unaccounted = 0;
  private perWindow = 0;
  /** The rate since the snapshot of `atMs` has become too old. */
  private silent:
    {atMs: number; perWindow: number; perSecond: number} | undefined;
  /** Remaining share of the limit, if the update gave a share. */
  private leftShare: number | undefined;

  /** @param isFleetUnused whether nothing was used when this entry started. */
  constructor(private readonly isFleetUnused: boolean) {}

  decide(amount: number, view: UsageView): UsageDecision {
    const {limit, nowMs, random, waits = 0} = view;
    const others = this.others.at(nowMs);
    if (waits === 0) this.others.addOwn(amount, nowMs);
    this.applyLimit(limit);
    const needed = Math.min(amount, limit.perWindow * MAX_NEEDED_SHARE);
    const {left, share} = this.assess(view, others.cautiousPerSecond, needed);
    this.forecast.record(share, nowMs);
    if (random() < share) {
      this.unaccounted += amount;
      this.admitted.add(amount, nowMs);
      return {kind: 'admit', left};
    }
    const isHeard = this.fleet && nowMs - this.fleet.atMs <= SNAPSHOT_FRESH_MS;
    if (isHeard && waits < MAX_WAITS) {
      const known = this.assess(view, others.knownPerSecond, needed);
      if (known.share === 1) return {kind: 'wait', left};
    }
    // The delay follows from the snapshot, without a forecast of the time before.
    const {left: told} = this.available(
      view,
      others.knownPerSecond,
      this.fleet?.atMs,
    );
    return this.refuse(amount, told, limit);
  }

  /**
   * The remaining amount and the share of the demand to admit, at a demand of
   * the other entries.
   */
  private assess(
    view: UsageView,
    othersPerSecond: number,
    needed: number,
  ): {left: number; share: number} {
    const {left, perSecond} = this.available(view, othersPerSecond);
    const propagationSeconds = PROPAGATION_MS / MS_PER_SECOND;
    if (left >= needed + othersPerSecond * propagationSeconds) {
      return {left, share: 1};
    }
    const asked = othersPerSecond + this.others.ownPerSecond(view.nowMs);
    const share = (left / propagationSeconds + perSecond) / asked;
    return {left, share: Math.min(1, Math.max(0, share))};
  }

  private refuse(
    amount: number,
    left: number,
    {ratePerSecond}: UsageLimit,
  ): UsageDecision {
    // Callers that return at once contend with all others that do.
    const {askedPerSecond = 0, freedPerSecond = ratePerSecond} =
      this.fleet ?? {};
    const freed = Math.min(freedPerSecond, ratePerSecond);
    const contended =
      ((askedPerSecond - freed) * PROPAGATION_MS) / MS_PER_SECOND - left;
    const missing = Math.max(amount - left, contended);
    const missingMs = (missing * MS_PER_SECOND) / ratePerSecond;
    const retryAfterMs = Math.max(missingMs, MIN_RETRY_AFTER_MS);
    return {kind: 'refuse', left, retryAfterMs};
  }

  /** Records that a report to the lease holder includes all demand so far. */
  markReported(nowMs: number): void {
    this.others.markReported(nowMs);
  }

  /**
   * Returns an admitted amount that was not run.
   *
   * @param chargedMs time of the decision to admit it.
   */
  refund(amount: number, chargedMs: number): void {
    this.unaccounted -= amount;
    this.admitted.subtractAt(amount, chargedMs);
  }

  /**
   * Replaces the known use of all entries.
   *
   * @param fleet the remaining amount, or the share that remains of any limit.
   * @param atMs time at which that was known.
   * @param unaccounted amount admitted here that `fleet` does not include.
   * @param isRelayed it came through a relay, whose last report may be missing.
   */
  update(
    fleet: FleetUsageSnapshot | number,
    atMs: number,
    unaccounted: number,
    isRelayed = false,
  ): void {
    const usage = typeof fleet === 'number' ? NO_USAGE : fleet;
    this.others.update(usage.askedPerSecond, atMs);
    this.fleet = {...usage, atMs};
    this.leftShare = typeof fleet === 'number' ? fleet : undefined;
    const recent = this.admitted.sumSince(atMs - RELAY_LAG_MS);
    this.unaccounted = isRelayed ? Math.max(unaccounted, recent) : unaccounted;
  }

  /**
   * Scales the known use, which may have been counted under a higher limit,
   * until the next snapshot arrives.
   */
  private applyLimit({perWindow}: UsageLimit): void {
    const factor = perWindow / this.perWindow;
    this.perWindow = perWindow;
    if (this.fleet && this.leftShare !== undefined) {
      this.fleet.left = this.leftShare * perWindow;
      return;
    }
    if (factor >= 1) return;
    this.unaccounted *= factor;
    if (this.fleet) this.fleet.left *= factor;
  }

  /**
   * Amount that all entries may admit now, and the rate from now on.
   *
   * @param coveredMs time up to which the snapshot includes all use.
   */
  private available(
    view: UsageView,
    othersPerSecond: number,
    coveredMs = this.others.coveredMs,
  ): {left: number; perSecond: number} {
    const {limit, nowMs} = view;
    const {fleet, isFleetUnused, unaccounted} = this;
    const {ratePerSecond, perWindow} = limit;
    if (!fleet && isFleetUnused) {
      return {left: perWindow - unaccounted, perSecond: ratePerSecond};
    }
    if (!fleet) return {left: 0, perSecond: ratePerSecond};
    const freed = Math.min(fleet.freedPerSecond, ratePerSecond);
    const sinceMs = nowMs - fleet.atMs;
    if (sinceMs > SNAPSHOT_FRESH_MS) {
      return {left: 0, perSecond: this.silentRate(view, othersPerSecond)};
    }
    const taken = this.forecast.between({
      fromMs: coveredMs,
      toMs: nowMs,
      askedPerSecond: othersPerSecond,
    });
    const gained = (freed * sinceMs) / MS_PER_SECOND;
    const left = Math.min(perWindow, fleet.left + gained - taken);
    return {left: left - unaccounted, perSecond: freed};
  }

  /** Rate at which all entries may go on while no snapshot arrives. */
  private silentRate(
    {limit, nowMs, knownUse}: UsageView,
    othersPerSecond: number,
  ): number {
    const {atMs, left} = this.fleet!;
    const {silent} = this;
    // All use up to the end of the snapshot's validity has left the window.
    const isAllExpired = nowMs - atMs > limit.windowMs + SNAPSHOT_FRESH_MS;
    if (isAllExpired) return limit.ratePerSecond;
    const isComputed =
      silent?.atMs === atMs && silent.perWindow === limit.perWindow;
    if (isComputed) return silent.perSecond;
    const askedPerSecond = othersPerSecond + this.others.ownPerSecond(nowMs);
    const spent = (askedPerSecond * SNAPSHOT_FRESH_MS) / MS_PER_SECOND;
    const perSecond = silentRatePerSecond({
      limit,
      knownUse,
      fromMs: atMs + SNAPSHOT_FRESH_MS,
      left,
      spent: Math.min(spent, Math.max(0, left)),
    });
    this.silent = {atMs, perWindow: limit.perWindow, perSecond};
    return perSecond;
  }
}
