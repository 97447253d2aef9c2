import {AmountLog} from './amountLog.js';
import {DecayingRate} from './decayingRate.js';

/** Smoothing of the demand that the lease holder reports. */
export const SMOOTHING_MS = 500;
/** Age up to which own demand and shares are kept. */
export const KEPT_MS = 4_000;
/**
 * Age of the newest use that a snapshot includes: entries report each 250 ms,
 * and half of that passes on average until the next exchange of their relay.
 */
const REPORT_LAG_MS = 375;
/** Interval from which two snapshots show how the demand changes. */
const MIN_TREND_MS = 200;
/**
 * Factor by which the last rise of the demand is assumed to go on until a
 * decision: the snapshot is about two intervals of reports old by then.
 */
const RISE_FACTOR = 2;
/** Snapshots further apart than two exchanges have a change of holder between. */
const MAX_SNAPSHOT_GAP_MS = 600;
/** Two exchanges, in which all entries have reported to a new holder. */
const HANDOVER_MS = 500;
/** Longest time before a snapshot for which use is assumed to be missing. */
const MAX_MISSING_MS = 3_000;
/**
 * Below this share of the total demand, the demand of the other entries counts
 * as zero: a report reaches the holder some ms after it was made, so its rate
 * decays that much later there.
 */
const MIN_OTHERS_SHARE = 0.05;
/**
 * Requests of mean size that are added to the demand before it is compared, so
 * that a single request shows no surge; fewer when the snapshot is late, since
 * nothing else tells of a surge then.
 */
const PRIOR_REQUESTS = 1;
const LATE_PRIOR_REQUESTS = 0.1;
/** Weight of earlier requests in the mean amount of one. */
const MEAN_WEIGHT = 0.95;
const MS_PER_SECOND = 1000;

/** Demand of one organisation at the other entries, per second. */
export interface OthersDemand {
  /** As of the last snapshot. */
  knownPerSecond: number;
  /** As it may be by now, if it goes on to rise. */
  cautiousPerSecond: number;
}

interface Snapshot {
  askedPerSecond: number;
  atMs: number;
  /** Part of it that this entry had reported. */
  ownPerSecond: number;
}

/**
 * Estimates the demand at the other entries, which is known some hundred ms
 * late, from how it rose and from how the demand at this entry rose since.
 *
 * Designed for an organisation that goes to ten times its usual demand within
 * a second. By the demand of the last snapshot alone, all entries admit without
 * limit until the cap is passed.
 */
export class OthersDemandEstimate {
  private readonly asked = new DecayingRate(SMOOTHING_MS);
  private readonly askedLog = new AmountLog(KEPT_MS);
  /** The same demand when it is reported, as the lease holder counts it. */
  private readonly reported = new DecayingRate(SMOOTHING_MS);
  private unreportedAmount = 0;
  private meanAmount: number | undefined;
  private snapshot: Snapshot | undefined;
  private trendBase: {askedPerSecond: number; atMs: number} | undefined;
  private risePerSecond = 0;
  private handover: {fromMs: number; untilMs: number} | undefined;

  /** Records a request at this entry. */
  addOwn(amount: number, nowMs: number): void {
    this.asked.add(amount, nowMs);
    this.askedLog.add(amount, nowMs);
    this.unreportedAmount += amount;
    const {meanAmount = amount} = this;
    this.meanAmount = meanAmount * MEAN_WEIGHT + amount * (1 - MEAN_WEIGHT);
  }

  /** Records that a report to the lease holder includes all demand so far. */
  markReported(nowMs: number): void {
    this.reported.add(this.unreportedAmount, nowMs);
    this.unreportedAmount = 0;
  }

  /** Applies the demand at all entries as the lease holder knew it. */
  update(askedPerSecond: number, atMs: number): void {
    const previous = this.snapshot;
    if (previous && atMs - previous.atMs > MAX_SNAPSHOT_GAP_MS) {
      const fromMs = Math.max(previous.atMs, atMs - MAX_MISSING_MS);
      this.handover = {fromMs, untilMs: atMs + HANDOVER_MS};
    }
    this.updateTrend(askedPerSecond, atMs);
    const ownPerSecond = this.reported.perSecond(atMs);
    this.snapshot = {askedPerSecond, atMs, ownPerSecond};
  }

  /** Demand at this entry, per second. */
  ownPerSecond(nowMs: number): number {
    return this.asked.perSecond(nowMs);
  }

  /** Time up to which the last snapshot includes the use of all entries. */
  get coveredMs(): number {
    const {handover, snapshot} = this;
    const atMs = snapshot?.atMs ?? 0;
    const isHandover = handover !== undefined && atMs < handover.untilMs;
    return (isHandover ? handover.fromMs : atMs) - REPORT_LAG_MS;
  }

  at(nowMs: number): OthersDemand {
    if (!this.snapshot) return {knownPerSecond: 0, cautiousPerSecond: 0};
    const {askedPerSecond, ownPerSecond} = this.snapshot;
    const risen = askedPerSecond + this.risePerSecond;
    return {
      knownPerSecond: othersOf(askedPerSecond, ownPerSecond),
      cautiousPerSecond:
        othersOf(risen, ownPerSecond) * this.ownGrowth(this.snapshot, nowMs),
    };
  }

  /** Factor by which the demand here exceeds what was known of it. */
  private ownGrowth({ownPerSecond}: Snapshot, nowMs: number): number {
    const {coveredMs, meanAmount = 0} = this;
    const isLate = nowMs - coveredMs > MAX_SNAPSHOT_GAP_MS + REPORT_LAG_MS;
    const prior = meanAmount * (isLate ? LATE_PRIOR_REQUESTS : PRIOR_REQUESTS);
    const expected = (ownPerSecond * (nowMs - coveredMs)) / MS_PER_SECOND;
    if (expected + prior === 0) return 1;
    const observed = this.askedLog.sumSince(coveredMs);
    return Math.max(1, (observed + prior) / (expected + prior));
  }

  /** Removes the holder's smoothing: the demand since the snapshot before. */
  private updateTrend(askedPerSecond: number, atMs: number): void {
    const base = this.trendBase;
    const elapsedMs = base ? atMs - base.atMs : MIN_TREND_MS;
    if (elapsedMs < MIN_TREND_MS) return;
    this.trendBase = {askedPerSecond, atMs};
    if (!base) return;
    const kept = Math.exp(-elapsedMs / SMOOTHING_MS);
    const current = (askedPerSecond - base.askedPerSecond * kept) / (1 - kept);
    this.risePerSecond = Math.max(0, current - askedPerSecond) * RISE_FACTOR;
  }
}

function othersOf(askedPerSecond: number, ownPerSecond: number): number {
  const others = askedPerSecond - ownPerSecond;
  return others > askedPerSecond * MIN_OTHERS_SHARE ? others : 0;
}
