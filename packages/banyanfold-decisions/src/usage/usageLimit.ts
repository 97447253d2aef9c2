const MS_PER_SECOND = 1000;

/** Rate and burst of a cap, in tokens or requests. */
export interface RateLimit {
  ratePerSecond: number;
  burst: number;
}

/** How a deployment counts its caps. */
export interface UsageCounting {
  /** The span over which use is summed up. */
  windowMs: number;
  /** How far a sum over many entries may pass the cap: a share of it, and more. */
  tolerance: {share: number; amount: number};
}

/** What an organisation may use in a window. */
export interface UsageLimit {
  ratePerSecond: number;
  perWindow: number;
}

/** Of the tolerance; the rest is for what entries have not heard of each other. */
const USED_TOLERANCE = 0.3;

/**
 * The limit that the entries hold together: the cap, and as much of what it may be
 * passed by as their count can be kept to.
 *
 * @example usageLimitOf({ratePerSecond: 10, burst: 20},
 *   {windowMs: 8_000, tolerance: {share: 0, amount: 0}}).perWindow // 100
 */
export function usageLimitOf(
  {ratePerSecond, burst}: RateLimit,
  {windowMs, tolerance}: UsageCounting,
): UsageLimit {
  const cap = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  const more = cap * tolerance.share + tolerance.amount;
  return {ratePerSecond, perWindow: cap + more * USED_TOLERANCE};
}
