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
  /** When this process began to count. */
  countedSinceMs: number;
  used: SlidingWindow;
  requested: DecayingRate;
}

/** Use of rate-limited runners by all entries, as the holder hears of it. */
export class FleetRateLimits {
  private readonly accounts = new Map<string, RunnerAccount>();

  constructor(private readonly clock: Clock) {}

  /** Takes in what an entry has heard of limits. */
  recordLimits(limits: readonly KnownRateLimit[]): void {
    const nowMs = this.clock.nowMs();
    for (const limit of limits) this.noteLimit(limit, nowMs);
  }

  /** Takes in what an entry has made of them. */
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
      const {perSecond, receivedMs: heardMs} = account;
      const ageMs = nowMs - heardMs;
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

  private noteLimit(
    {runnerId, perSecond, ageMs}: KnownRateLimit,
    nowMs: number,
  ): void {
    const heardMs = nowMs - ageMs;
    const known = this.accounts.get(runnerId);
    if (known && heardMs <= known.receivedMs) return;
    if (ageMs > limitRetentionMs(perSecond)) return;
    if (known) {
      known.perSecond = perSecond;
      known.receivedMs = heardMs;
    } else if (perSecond !== undefined) {
      this.accounts.set(runnerId, {
        perSecond,
        receivedMs: heardMs,
        countedSinceMs: nowMs,
        used: new SlidingWindow(WINDOW_MS),
        requested: new DecayingRate(SMOOTHING_MS),
      });
    }
  }
}

/** Of the window before this process began to count, as if the limit was used. */
function assumedUse(
  {countedSinceMs: sinceMs, perSecond = 0}: RunnerAccount,
  nowMs: number,
): number {
  const leftMs = Math.max(0, WINDOW_MS - (nowMs - sinceMs));
  return (perSecond * leftMs) / MS_PER_SECOND;
}
