const MS_PER_SECOND = 1000;

/** Rate and burst of a cap, in tokens or requests. */
export interface RateLimit {
  ratePerSecond: number;
  burst: number;
}

/** Amount that an organisation may use within a window. */
export interface UsageLimit {
  ratePerSecond: number;
  perWindow: number;
  windowMs: number;
}

/**
 * Converts a cap to the limit that all entries enforce together.
 *
 * @example usageLimitOf({ratePerSecond: 10, burst: 20}, 8_000).perWindow // 100
 */
export function usageLimitOf(
  {ratePerSecond, burst}: RateLimit,
  windowMs: number,
): UsageLimit {
  const perWindow = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  return {ratePerSecond, perWindow, windowMs};
}
