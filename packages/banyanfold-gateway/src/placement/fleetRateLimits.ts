import type {Clock} from '@banyanfold/core';
import {
  DecayingRate,
  DEFAULT_RATE_LIMIT_OPTIONS,
  SlidingWindow,
} from '@banyanfold/decisions';
import type {RateUse} from '../runners/rateUseMeter.js';
import {
  keptMs,
  type FleetRateLimit,
  type ToldRateLimit,
} from '../runners/runnerRateLimits.js';

const WINDOW_MS = DEFAULT_RATE_LIMIT_OPTIONS.windowMs;
const SMOOTHING_MS = 500;
const MS_PER_SECOND = 1000;

interface Account {
  perSecond: number | undefined;
  heardMs: number;
  /** When this process began to count. */
  sinceMs: number;
  used: SlidingWindow;
  asked: DecayingRate;
}

/** Use of rate-limited runners by all entries, as the holder hears of it. */
export class FleetRateLimits {
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly clock: Clock) {}

  /** Takes in what an entry has heard of limits. */
  noteLimits(limits: readonly ToldRateLimit[]): void {
    const nowMs = this.clock.nowMs();
    for (const limit of limits) this.noteLimit(limit, nowMs);
  }

  /** Takes in what an entry has made of them. */
  noteUse(uses: readonly RateUse[]): void {
    const nowMs = this.clock.nowMs();
    for (const {runnerId, asked, used} of uses) {
      const account = this.accounts.get(runnerId);
      account?.asked.add(asked, nowMs);
      account?.used.add(used, nowMs);
    }
  }

  tell(): Record<string, FleetRateLimit> {
    const nowMs = this.clock.nowMs();
    const told: Record<string, FleetRateLimit> = {};
    for (const [runnerId, account] of this.accounts) {
      const {perSecond, heardMs} = account;
      const ageMs = nowMs - heardMs;
      if (ageMs > keptMs(perSecond)) {
        this.accounts.delete(runnerId);
        continue;
      }
      told[runnerId] = {
        perSecond,
        ageMs,
        used: account.used.sum(nowMs) + uncounted(account, nowMs),
        askedPerSecond: account.asked.perSecond(nowMs),
      };
    }
    return told;
  }

  private noteLimit(
    {runnerId, perSecond, ageMs}: ToldRateLimit,
    nowMs: number,
  ): void {
    const heardMs = nowMs - ageMs;
    const known = this.accounts.get(runnerId);
    if (known && heardMs <= known.heardMs) return;
    if (ageMs > keptMs(perSecond)) return;
    if (known) {
      known.perSecond = perSecond;
      known.heardMs = heardMs;
    } else if (perSecond !== undefined) {
      this.accounts.set(runnerId, {
        perSecond,
        heardMs,
        sinceMs: nowMs,
        used: new SlidingWindow(WINDOW_MS),
        asked: new DecayingRate(SMOOTHING_MS),
      });
    }
  }
}

/** Of the window before this process began to count, as if the limit was used. */
function uncounted({sinceMs, perSecond = 0}: Account, nowMs: number): number {
  const leftMs = Math.max(0, WINDOW_MS - (nowMs - sinceMs));
  return (perSecond * leftMs) / MS_PER_SECOND;
}
