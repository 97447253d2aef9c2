import {DecayingRate} from './decayingRate.js';
import type {FleetUsageSnapshot} from './organisationUsage.js';
import type {UsageLimit} from './usageLimit.js';
import {SlidingWindow} from './slidingWindow.js';

const SMOOTHING_MS = 500;

/** What entries have asked for and admitted, for one organisation. */
export interface UsageReport {
  organisation: string;
  /** Refused or not. */
  asked: number;
  /** Admitted, less what was not run after all. */
  used: number;
}

interface Account {
  used: SlidingWindow;
  asked: DecayingRate;
  askedMs: number;
  /** Of the limit by which it was last counted. */
  perWindow: number;
}

export interface FleetUsageOptions {
  windowMs: number;
  /** Undefined for an organisation without a cap. */
  limitOf(organisation: string): UsageLimit | undefined;
  /** Since when all use is reported here. */
  startMs: number;
  /**
   * What had been used of the limit by then, in a window; all of it where that
   * isn't known.
   */
  initialUse(organisation: string, limit: UsageLimit): number;
}

/** Use of the whole fleet, as the holder of orders hears of it. */
export class FleetUsage {
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly options: FleetUsageOptions) {}

  addReports(reports: readonly UsageReport[], nowMs: number): void {
    for (const {organisation, asked, used} of reports) {
      const limit = this.options.limitOf(organisation);
      if (!limit) continue;
      const account = this.of(organisation, limit);
      scaleToLower(account, limit);
      account.used.add(used, nowMs);
      account.asked.add(asked, nowMs);
      account.askedMs = nowMs;
    }
  }

  /** What is left to organisations that were asked for within a window. */
  snapshot(nowMs: number): Record<string, FleetUsageSnapshot> {
    const {limitOf, windowMs} = this.options;
    const told: Record<string, FleetUsageSnapshot> = {};
    for (const [organisation, account] of this.accounts) {
      const limit = limitOf(organisation);
      if (!limit || nowMs - account.askedMs > windowMs) {
        this.accounts.delete(organisation);
        continue;
      }
      scaleToLower(account, limit);
      told[organisation] = {
        left: Math.round(limit.perWindow - account.used.sum(nowMs)),
        freedPerSecond: account.used.expiringPerSecond(nowMs),
        askedPerSecond: account.asked.perSecond(nowMs),
      };
    }
    return told;
  }

  private of(name: string, limit: UsageLimit): Account {
    let account = this.accounts.get(name);
    if (!account) {
      const {windowMs, startMs, initialUse} = this.options;
      const used = new SlidingWindow(windowMs);
      used.addEvenly(initialUse(name, limit), startMs);
      account = {
        used,
        asked: new DecayingRate(SMOOTHING_MS),
        askedMs: startMs,
        perWindow: limit.perWindow,
      };
      this.accounts.set(name, account);
    }
    return account;
  }
}

/**
 * What was used under a higher limit counts by its share of that one: a limit that
 * is lowered far would have all refused until none of it is left in the window.
 */
function scaleToLower(account: Account, {perWindow}: UsageLimit): void {
  const factor = perWindow / account.perWindow;
  account.perWindow = perWindow;
  if (factor < 1) account.used.scale(factor);
}
