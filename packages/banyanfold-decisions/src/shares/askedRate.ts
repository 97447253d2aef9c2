import {DecayingRate} from '../usage/decayingRate.js';

/** Follows a fall of the demand within two exchanges. */
const FAST_SMOOTHING_MS = 500;
/** A large single request hardly counts as demand above a share. */
const SLOW_SMOOTHING_MS = 2_000;

/**
 * Rate of an organisation's demand that rises slowly and falls quickly.
 *
 * An organisation with few large requests would be limited for each of them if
 * its rate rose quickly. Capacity would stay unused after a peak if the rate
 * fell slowly.
 */
export class AskedRate {
  private readonly fast = new DecayingRate(FAST_SMOOTHING_MS);
  private readonly slow = new DecayingRate(SLOW_SMOOTHING_MS);
  lastMs = Number.NEGATIVE_INFINITY;

  add(amount: number, nowMs: number): void {
    this.fast.add(amount, nowMs);
    this.slow.add(amount, nowMs);
    this.lastMs = nowMs;
  }

  perSecond(nowMs: number): number {
    return Math.min(this.fast.perSecond(nowMs), this.slow.perSecond(nowMs));
  }
}
