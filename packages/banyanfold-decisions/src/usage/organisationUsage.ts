import {MIN_RETRY_AFTER_MS} from '../options.js';
import {DecayingRate} from './decayingRate.js';
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
}

export type UsageDecision =
  /** @property left remaining amount, as far as this entry knows. */
  | {kind: 'admit'; left: number}
  /**
   * @property retryAfterMs time until the cap has freed what the request needs,
   *   and what is asked for at once above the limit.
   */
  | {kind: 'refuse'; left: number; retryAfterMs: number};

const SMOOTHING_MS = 500;
/** A snapshot is valid as it is up to this age. */
export const SNAPSHOT_FRESH_MS = 1_500;
const NO_USAGE: FleetUsageSnapshot = {
  left: 0,
  freedPerSecond: 0,
  askedPerSecond: 0,
};
/** Time until others know of an admission: an exchange, or two via a relay. */
const PROPAGATION_MS = 700;
/**
 * Below this share of the total demand, the demand of the other entries counts
 * as zero: a report reaches the holder some ms after it was made, so its rate
 * decays that much later there.
 */
const MIN_OTHERS_SHARE = 0.05;
/** The largest share of the limit that must be left for one request. */
const MAX_NEEDED_SHARE = 0.5;
const MS_PER_SECOND = 1000;

/**
 * Tracks the use of one organisation's cap at one entry.
 *
 * While more is left than the other entries can admit before this one learns of
 * it, every request is admitted. Near the limit, each entry admits at random,
 * so that all entries together admit what is left and what becomes free. An
 * entry without a snapshot admits the share of the rate that its callers had of
 * the total demand.
 *
 * Designed for an organisation far over its cap next to others below theirs, at
 * entries that learn of each other's use some hundred ms late, or not at all.
 *
 * @example
 * const usage = new OrganisationUsage(true);
 * usage.decide(9_190, {limit, nowMs, random}).kind // 'admit'
 */
export class OrganisationUsage {
  private readonly asked = new DecayingRate(SMOOTHING_MS);
  /** The same demand when it is reported, as the lease holder counts it. */
  private readonly reported = new DecayingRate(SMOOTHING_MS);
  private unreportedAmount = 0;
  private fleet:
    (FleetUsageSnapshot & {atMs: number; ownPerSecond: number}) | undefined;
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
    const {limit, nowMs, random} = view;
    this.asked.add(amount, nowMs);
    this.unreportedAmount += amount;
    this.applyLimit(limit);
    const othersPerSecond = this.othersAskedPerSecond();
    const askedPerSecond = othersPerSecond + this.asked.perSecond(nowMs);
    const {left, perSecond} = this.available(view, othersPerSecond);
    const propagationSeconds = PROPAGATION_MS / MS_PER_SECOND;
    const needed = Math.min(amount, limit.perWindow * MAX_NEEDED_SHARE);
    const isAmple = left >= needed + othersPerSecond * propagationSeconds;
    const share = (left / propagationSeconds + perSecond) / askedPerSecond;
    if (isAmple || random() < share) {
      this.unaccounted += amount;
      return {kind: 'admit', left};
    }
    // Callers that return at once contend with all others that do.
    const knownAsked = this.fleet?.askedPerSecond ?? 0;
    const contended = (knownAsked - perSecond) * propagationSeconds - left;
    const missing = Math.max(amount - left, contended);
    const missingMs = (missing * MS_PER_SECOND) / limit.ratePerSecond;
    const retryAfterMs = Math.max(missingMs, MIN_RETRY_AFTER_MS);
    return {kind: 'refuse', left, retryAfterMs};
  }

  /** Records that a report to the lease holder includes all demand so far. */
  markReported(nowMs: number): void {
    this.reported.add(this.unreportedAmount, nowMs);
    this.unreportedAmount = 0;
  }

  /** Returns an admitted amount that was not run. */
  refund(amount: number): void {
    this.unaccounted -= amount;
  }

  /**
   * Replaces the known use of all entries.
   *
   * @param fleet the remaining amount, or the share that remains of any limit.
   * @param atMs time at which that was known.
   * @param unaccounted amount admitted here that `fleet` does not include.
   */
  update(
    fleet: FleetUsageSnapshot | number,
    atMs: number,
    unaccounted: number,
  ): void {
    const ownPerSecond = this.reported.perSecond(atMs);
    const usage = typeof fleet === 'number' ? NO_USAGE : fleet;
    this.fleet = {...usage, atMs, ownPerSecond};
    this.leftShare = typeof fleet === 'number' ? fleet : undefined;
    this.unaccounted = unaccounted;
  }

  /** Demand at the other entries, as of the last snapshot. */
  private othersAskedPerSecond(): number {
    if (!this.fleet) return 0;
    const {askedPerSecond, ownPerSecond} = this.fleet;
    const others = askedPerSecond - ownPerSecond;
    return others > askedPerSecond * MIN_OTHERS_SHARE ? others : 0;
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

  /** Amount that all entries may admit now, and the rate from now on. */
  private available(
    view: UsageView,
    othersPerSecond: number,
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
    const change =
      ((fleet.freedPerSecond - othersPerSecond) * sinceMs) / MS_PER_SECOND;
    // The other entries stop at the limit too.
    const lowest = Math.min(fleet.left, 0);
    const left = Math.min(perWindow, Math.max(lowest, fleet.left + change));
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
    const askedPerSecond = othersPerSecond + this.asked.perSecond(nowMs);
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
