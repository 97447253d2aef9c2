/** What the whole fleet did with a rate-limited runner, as the holder tells it. */
export interface FleetRateUse {
  /** Requests sent within the window. */
  used: number;
  /** Requests that wanted the runner, sent or not. */
  askedPerSecond: number;
}

/** The fleet's use as one entry last heard it. */
export interface ReceivedRateUse extends FleetRateUse {
  ageMs: number;
  /** What this entry was asked for at that time, which is part of it. */
  ownAskedPerSecond: number;
  /** Sent by this entry and not in `used`. */
  unaccounted: number;
}

/** What an entry decides by. */
export interface RateLimitView {
  /** Requests a second that the runner takes from all entries together. */
  limitPerSecond: number;
  /** Requests that want the runner at this entry, this one included. */
  ownAskedPerSecond: number;
  /** Undefined while the holder has told nothing. */
  fleet?: ReceivedRateUse;
  /** Entries at work, this one included. */
  entries: number;
  /** Uniform in [0, 1). */
  random(): number;
}

export interface RateLimitOptions {
  /** The span over which use is summed up. */
  windowMs: number;
  /** What was heard counts this long; three exchanges may be lost. */
  maxAgeMs: number;
  /** How strongly the rate answers a window that is less or more than full. */
  gain: number;
  /** With so many times the limit in the window nothing more is sent. */
  maxFillRatio: number;
  /** Of the limit, what is used by entries that hear nothing of each other. */
  uncoordinatedShare: number;
  /** Requests a second of this entry below which a growth of them is noise. */
  noisePerSecond: number;
}

export const DEFAULT_RATE_LIMIT_OPTIONS: RateLimitOptions = {
  windowMs: 4_000,
  maxAgeMs: 1_500,
  gain: 1,
  maxFillRatio: 1.1,
  uncoordinatedShare: 0.8,
  noisePerSecond: 4,
};

export type RateLimitDecision =
  | {kind: 'admit'}
  /** @property retryAfterMs until the runner takes another request. */
  | {kind: 'refuse'; retryAfterMs: number};

const MS_PER_SECOND = 1000;

/**
 * Whether an entry sends a request to a runner that takes so many a second from all
 * entries together. Each admits by chance the share that the limit is of what all
 * of them are asked for, so that no entry needs a part of its own: at a limit of one
 * request a second and hundreds of entries a part would be too small for any. The
 * window of what was sent corrects the rate.
 *
 * @example
 * decideRateLimit({limitPerSecond: 2, ownAskedPerSecond: 8, entries: 1,
 *   fleet: {used: 8, askedPerSecond: 8, ageMs: 0, ownAskedPerSecond: 8,
 *     unaccounted: 0},
 *   random: () => 0.2}) // {kind: 'admit'}
 */
export function decideRateLimit(
  view: RateLimitView,
  options: RateLimitOptions = DEFAULT_RATE_LIMIT_OPTIONS,
): RateLimitDecision {
  const {limitPerSecond, ownAskedPerSecond, random} = view;
  const share = shareOf(view, options);
  if (random() * ownAskedPerSecond < share) return {kind: 'admit'};
  return {kind: 'refuse', retryAfterMs: MS_PER_SECOND / limitPerSecond};
}

/** Requests a second that this entry may send. */
function shareOf(view: RateLimitView, options: RateLimitOptions): number {
  const {limitPerSecond, ownAskedPerSecond, fleet, entries} = view;
  const unheard = limitPerSecond * options.uncoordinatedShare;
  if (!fleet || fleet.askedPerSecond <= 0) return unheard / entries;
  if (fleet.ageMs > options.maxAgeMs) {
    return (
      unheard * Math.min(1, fleet.ownAskedPerSecond / fleet.askedPerSecond)
    );
  }
  const others = Math.max(0, fleet.askedPerSecond - fleet.ownAskedPerSecond);
  const asked = others * growthOf(view, fleet, options) + ownAskedPerSecond;
  return (rateOf(view, fleet, options) * ownAskedPerSecond) / asked;
}

/** More than the limit while the window isn't full, less while it is overfull. */
function rateOf(
  {limitPerSecond}: RateLimitView,
  {used, unaccounted}: ReceivedRateUse,
  {windowMs, gain, maxFillRatio}: RateLimitOptions,
): number {
  const perWindow = (limitPerSecond * windowMs) / MS_PER_SECOND;
  const filled = (used + unaccounted) / perWindow;
  if (filled >= maxFillRatio) return 0;
  return limitPerSecond * (1 + gain * (1 - filled));
}

/** A burst reaches all entries alike, and none has heard of the others' yet. */
function growthOf(
  {ownAskedPerSecond}: RateLimitView,
  heard: ReceivedRateUse,
  {noisePerSecond}: RateLimitOptions,
): number {
  const before = heard.ownAskedPerSecond + noisePerSecond;
  return Math.max(1, (ownAskedPerSecond + noisePerSecond) / before);
}
