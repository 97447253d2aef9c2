import {DecayingRate} from './decayingRate.js';
import type {UsageLimit} from './usageLimit.js';

/** What the fleet has used of a cap, as the holder of orders tells it. */
export interface FleetUsageSnapshot {
  /** Left of the limit; negative when more has been used. */
  left: number;
  /** What comes free a second as earlier use leaves the window. */
  freedPerSecond: number;
  /** What callers ask for at all entries, refused or not. */
  askedPerSecond: number;
}

/** What an entry decides by. */
export interface UsageView {
  limit: UsageLimit;
  nowMs: number;
  /** Uniform in [0, 1). */
  random(): number;
}

export type UsageDecision =
  /** @property left of the limit, as far as this entry knows. */
  | {kind: 'admit'; left: number}
  /** @property retryAfterMs until as much as the request needs is left. */
  | {kind: 'refuse'; left: number; retryAfterMs: number};

const SMOOTHING_MS = 500;
/** What the holder told counts this long. */
const TOLD_FRESH_MS = 1_500;
const UNASKED: FleetUsageSnapshot = {
  left: 0,
  freedPerSecond: 0,
  askedPerSecond: 0,
};
/**
 * What was left when last told is spent evenly over this long; by then half of what
 * had been used before has left the window.
 */
const SPENT_MS = 4_000;
/** Until the others know of what an entry admits: an exchange, or two by a relay. */
const UNHEARD_MS = 700;
/**
 * With a smaller share of what is asked for the others count as none: a report
 * reaches the holder some ms after it was made, and fades there that much later.
 */
const LEAST_OTHERS_SHARE = 0.05;
/** Of the limit, what must be left for a request, however large it is. */
const LARGEST_NEED = 0.5;
const MS_PER_SECOND = 1000;

/**
 * One organisation's use of its cap, as one entry accounts for it.
 *
 * While more is left than the other entries can admit until this one hears of it, it
 * admits whatever comes. Close to the limit each admits by chance, so that all of
 * them together admit what is left and what comes free meanwhile. An entry that is
 * told nothing admits the share of the rate that its callers had of all.
 *
 * Answers the load of an organisation far over its cap beside others under theirs,
 * at entries that hear of each other some hundred ms late, or not at all.
 *
 * @example
 * const usage = new OrganisationUsage(true);
 * usage.decide(9_190, {limit, nowMs, random}).kind // 'admit'
 */
export class OrganisationUsage {
  private readonly asked = new DecayingRate(SMOOTHING_MS);
  /** The same as the holder counts it, which is when it is reported. */
  private readonly reported = new DecayingRate(SMOOTHING_MS);
  private unreported = 0;
  private told:
    (FleetUsageSnapshot & {atMs: number; ownPerSecond: number}) | undefined;
  /** Admitted here and not in what was told. */
  private untold = 0;
  private perWindow = 0;
  /** Left of the limit, where that was told and no amount. */
  private leftShare: number | undefined;

  /** @param isUnused nobody had used anything when this entry started. */
  constructor(private readonly isUnused: boolean) {}

  decide(amount: number, view: UsageView): UsageDecision {
    const {limit, nowMs, random} = view;
    this.asked.add(amount, nowMs);
    this.unreported += amount;
    this.noteLimit(limit);
    const othersPerSecond = this.othersAskedPerSecond();
    const askedPerSecond = othersPerSecond + this.asked.perSecond(nowMs);
    const {left, perSecond} = this.available(view, othersPerSecond);
    const unheardSeconds = UNHEARD_MS / MS_PER_SECOND;
    const needed = Math.min(amount, limit.perWindow * LARGEST_NEED);
    const isAmple = left >= needed + othersPerSecond * unheardSeconds;
    const share = (left / unheardSeconds + perSecond) / askedPerSecond;
    if (isAmple || random() < share) {
      this.untold += amount;
      return {kind: 'admit', left};
    }
    const missing = amount - left;
    const retryAfterMs = (missing * MS_PER_SECOND) / limit.ratePerSecond;
    return {kind: 'refuse', left, retryAfterMs};
  }

  /** What was asked for here up to now is on its way to the holder. */
  markReported(nowMs: number): void {
    this.reported.add(this.unreported, nowMs);
    this.unreported = 0;
  }

  /** What was admitted was not run after all. */
  refund(amount: number): void {
    this.untold -= amount;
  }

  /**
   * Takes in what the fleet has used.
   *
   * @param told what is left, or which share of the limit, of whatever is asked.
   * @param atMs when that was known.
   * @param untold admitted here and not in it.
   */
  update(
    told: FleetUsageSnapshot | number,
    atMs: number,
    untold: number,
  ): void {
    const ownPerSecond = this.reported.perSecond(atMs);
    const usage = typeof told === 'number' ? UNASKED : told;
    this.told = {...usage, atMs, ownPerSecond};
    this.leftShare = typeof told === 'number' ? told : undefined;
    this.untold = untold;
  }

  /** What callers ask for at the other entries, as last told. */
  private othersAskedPerSecond(): number {
    if (!this.told) return 0;
    const {askedPerSecond, ownPerSecond} = this.told;
    const others = askedPerSecond - ownPerSecond;
    return others > askedPerSecond * LEAST_OTHERS_SHARE ? others : 0;
  }

  /**
   * What is known may have been counted by a higher limit, until the holder tells
   * again.
   */
  private noteLimit({perWindow}: UsageLimit): void {
    const factor = perWindow / this.perWindow;
    this.perWindow = perWindow;
    if (this.told && this.leftShare !== undefined) {
      this.told.left = this.leftShare * perWindow;
      return;
    }
    if (factor >= 1) return;
    this.untold *= factor;
    if (this.told) this.told.left *= factor;
  }

  /** What all entries together may admit now, and a second from now on. */
  private available(
    {limit, nowMs}: UsageView,
    othersPerSecond: number,
  ): {left: number; perSecond: number} {
    const {told, isUnused, untold} = this;
    const {ratePerSecond, perWindow} = limit;
    if (!told && isUnused) {
      return {left: perWindow - untold, perSecond: ratePerSecond};
    }
    if (!told) return {left: 0, perSecond: ratePerSecond};
    const freed = Math.min(told.freedPerSecond, ratePerSecond);
    const sinceMs = nowMs - told.atMs;
    if (sinceMs > SPENT_MS) return {left: 0, perSecond: ratePerSecond};
    if (sinceMs > TOLD_FRESH_MS) {
      const spend = (Math.max(0, told.left) * MS_PER_SECOND) / SPENT_MS;
      return {left: 0, perSecond: Math.min(ratePerSecond, freed + spend)};
    }
    const change =
      ((told.freedPerSecond - othersPerSecond) * sinceMs) / MS_PER_SECOND;
    // The others stop at the limit as well.
    const lowest = Math.min(told.left, 0);
    const left = Math.min(perWindow, Math.max(lowest, told.left + change));
    return {left: left - untold, perSecond: freed};
  }
}
