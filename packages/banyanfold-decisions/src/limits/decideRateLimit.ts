/** Use of a rate-limited runner by all entries, from the lease holder. */
export interface FleetRateUse {
  /** Requests sent within the window. */
  used: number;
  /** Requests per second for the runner, whether sent or refused. */
  askedPerSecond: number;
}

/** The use by all entries, as this entry last received it. */
export interface ReceivedRateUse extends FleetRateUse {
  ageMs: number;
  /** Request rate of this entry at that time, part of `askedPerSecond`. */
  ownAskedPerSecond: number;
  /** Requests sent by this entry that `used` doesn't include. */
  unaccounted: number;
}

/** Input of {@link decideRateLimit}. */
export interface RateLimitView {
  /** Requests per second that the runner accepts from all entries together. */
  limitPerSecond: number;
  /** Requests per second for the runner at this entry, including this one. */
  ownAskedPerSecond: number;
  /** Undefined until the lease holder has reported the use. */
  fleet?: ReceivedRateUse;
  /** Returns a uniform number in [0, 1). */
  random(): number;
}

export interface RateLimitOptions {
  /** Window over which the use is summed. */
  windowMs: number;
  /** Maximum age of valid received use; three exchanges may be lost. */
  maxAgeMs: number;
  /** Feedback gain: how strongly the rate corrects a deviation of the use. */
  gain: number;
  /** No request is sent while the use is this many times the window's limit. */
  maxFillRatio: number;
  /** Share of the limit to use while entries don't know each other's use. */
  uncoordinatedShare: number;
  /**
   * Number of entries that share that part until they know each other's use. A
   * bound, because the number that is told is too low after all have started.
   */
  maxEntries: number;
  /** Below this rate of requests at this entry, a growth counts as noise. */
  noisePerSecond: number;
}

export const DEFAULT_RATE_LIMIT_OPTIONS: RateLimitOptions = {
  windowMs: 4_000,
  maxAgeMs: 1_500,
  gain: 1,
  maxFillRatio: 1.1,
  uncoordinatedShare: 0.8,
  maxEntries: 730,
  noisePerSecond: 4,
};

export type RateLimitDecision =
  | {kind: 'admit'}
  /** @property retryAfterMs time until the runner accepts another request. */
  | {kind: 'refuse'; retryAfterMs: number};

const MS_PER_SECOND = 1000;

/**
 * Decides whether an entry sends a request to a runner whose request rate limit
 * all entries share. Each entry admits a random share of its requests, equal to
 * the ratio of the limit to the demand at all entries. No entry needs a quota
 * of its own: with a limit of one request per second and hundreds of entries,
 * each quota would be too small to use. The rate is corrected by the use within
 * the window.
 *
 * @example
 * decideRateLimit({limitPerSecond: 2, ownAskedPerSecond: 8,
 *   fleet: {used: 8, askedPerSecond: 8, ageMs: 0, ownAskedPerSecond: 8,
 *     unaccounted: 0},
 *   random: () => 0.2}) // {kind: 'admit'}
 */
export function decideRateLimit(
  view: RateLimitView,
  options: RateLimitOptions = DEFAULT_RATE_LIMIT_OPTIONS,
): RateLimitDecision {
  const {limitPerSecond, ownAskedPerSecond, random} = view;
  const allowedPerSecond = allowedRate(view, options);
  if (random() * ownAskedPerSecond < allowedPerSecond) return {kind: 'admit'};
  return {kind: 'refuse', retryAfterMs: MS_PER_SECOND / limitPerSecond};
}

/** Requests per second that this entry may send. */
function allowedRate(view: RateLimitView, options: RateLimitOptions): number {
  const {limitPerSecond, ownAskedPerSecond, fleet} = view;
  const uncoordinated = limitPerSecond * options.uncoordinatedShare;
  if (!fleet || fleet.askedPerSecond <= 0) {
    return uncoordinated / options.maxEntries;
  }
  if (fleet.ageMs > options.maxAgeMs) {
    return (
      uncoordinated *
      Math.min(1, fleet.ownAskedPerSecond / fleet.askedPerSecond)
    );
  }
  const othersAsked = Math.max(
    0,
    fleet.askedPerSecond - fleet.ownAskedPerSecond,
  );
  const totalAsked =
    othersAsked * demandGrowth(view, fleet, options) + ownAskedPerSecond;
  return (correctedRate(view, fleet, options) * ownAskedPerSecond) / totalAsked;
}

/** Above the limit while the window has room, below it when overfull. */
function correctedRate(
  {limitPerSecond}: RateLimitView,
  {used, unaccounted}: ReceivedRateUse,
  {windowMs, gain, maxFillRatio}: RateLimitOptions,
): number {
  const perWindow = (limitPerSecond * windowMs) / MS_PER_SECOND;
  const fillRatio = (used + unaccounted) / perWindow;
  if (fillRatio >= maxFillRatio) return 0;
  return limitPerSecond * (1 + gain * (1 - fillRatio));
}

/**
 * Growth of the demand at this entry since the last exchange. The other entries
 * are assumed to grow alike, because a burst reaches all of them before their
 * reports include it.
 */
function demandGrowth(
  {ownAskedPerSecond}: RateLimitView,
  fleet: ReceivedRateUse,
  {noisePerSecond}: RateLimitOptions,
): number {
  const previousRate = fleet.ownAskedPerSecond + noisePerSecond;
  return Math.max(1, (ownAskedPerSecond + noisePerSecond) / previousRate);
}
