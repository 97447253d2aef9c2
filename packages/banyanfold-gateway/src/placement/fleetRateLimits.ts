import type {Clock} from '@banyanfold/core';
import {
  DecayingRate,
  DEFAULT_RATE_LIMIT_OPTIONS,
  SlidingWindow,
} from '@banyanfold/decisions';
import type {RateUse} from '../runners/rateUseMeter.js';
import {
  limitRetentionMs,
  type FleetRateLimit,
  type KnownRateLimit,
} from '../runners/runnerRateLimits.js';

const WINDOW_MS = DEFAULT_RATE_LIMIT_OPTIONS.windowMs;
const SMOOTHING_MS = 500;
const MS_PER_SECOND = 1000;

interface RunnerAccount {
  perSecond: number | undefined;
  receivedMs: number;
  /** When this process started to count. */
  countedSinceMs: number;
  used: SlidingWindow;
  requested: DecayingRate;
}

/** Use of rate-limited runners by all entries, as reported to the holder. */
export class FleetRateLimits {
  private readonly accounts = new Map<string, RunnerAccount>();

  constructor(private readonly clock: Clock) {}

  /** Records the limits that an entry knows. */
  recordLimits(limits: readonly KnownRateLimit[]): void {
    const nowMs = this.clock.nowMs();
    for (const limit of limits) this.recordLimit(limit, nowMs);
  }

  /** Records the requests of an entry to rate-limited runners. */
  recordUse(uses: readonly RateUse[]): void {
    const nowMs = this.clock.nowMs();
    for (const {runnerId, asked, used} of uses) {
      const account = this.accounts.get(runnerId);
      account?.requested.add(asked, nowMs);
      account?.used.add(used, nowMs);
    }
  }

  snapshot(): Record<string, FleetRateLimit> {
    const nowMs = this.clock.nowMs();
    const limits: Record<string, FleetRateLimit> = {};
    for (const [runnerId, account] of this.accounts) {
      const {perSecond, receivedMs} = account;
      const ageMs = nowMs - receivedMs;
      if (ageMs > limitRetentionMs(perSecond)) {
        this.accounts.delete(runnerId);
        continue;
      }
      limits[runnerId] = {
        perSecond,
        ageMs,
        used: account.used.sum(nowMs) + assumedUse(account, nowMs),
        askedPerSecond: account.requested.perSecond(nowMs),
      };
    }
    return limits;
  }

  private recordLimit(
    {runnerId, perSecond, ageMs}: KnownRateLimit,
    nowMs: number,
  ): void {
    const receivedMs = nowMs - ageMs;
    const account = this.accounts.get(runnerId);
    if (account && receivedMs <= account.receivedMs) return;
    if (ageMs > limitRetentionMs(perSecond)) return;
    if (account) {
      account.perSecond = perSecond;
      account.receivedMs = receivedMs;
    } else if (perSecond !== undefined) {
      this.accounts.set(runnerId, {
        perSecond,
        receivedMs,
        countedSinceMs: nowMs,
        used: new SlidingWindow(WINDOW_MS),
        requested: new DecayingRate(SMOOTHING_MS),
      });
    }
  }
}

/**
 * Assumes full use of the limit for the part of the window before counting
 * started.
 */
function assumedUse(
  {countedSinceMs, perSecond = 0}: RunnerAccount,
  nowMs: number,
): number {
  const uncountedMs = Math.max(0, WINDOW_MS - (nowMs - countedSinceMs));
  return (perSecond * uncountedMs) / MS_PER_SECOND;
}
