import {DecayingRate} from './decayingRate.js';
import type {FleetUsageSnapshot} from './organisationUsage.js';
import type {UsageLimit} from './usageLimit.js';
import {SlidingWindow} from './slidingWindow.js';

const SMOOTHING_MS = 500;

/** Amount of earlier requests that was not run. */
export interface UsageRefund {
  amount: number;
  /** Time since those requests were charged. */
  agoMs: number;
}

/** Demand and use that entries have counted for one organisation. */
export interface UsageReport {
  organisation: string;
  /** Requested amount, whether admitted or refused. */
  asked: number;
  /** Admitted amount, less what was not run. */
  used: number;
  /** The part of `used` that was refunded; omitted by earlier releases. */
  refunds?: UsageRefund[] | undefined;
}

interface Account {
  used: SlidingWindow;
  asked: DecayingRate;
  lastAskedMs: number;
  /** The limit per window that applied when the use was last scaled. */
  perWindow: number;
}

export interface FleetUsageOptions {
  windowMs: number;
  /** Returns undefined for an organisation without a cap. */
  limitOf(organisation: string): UsageLimit | undefined;
  /** Time since which all use is reported to this instance. */
  startMs: number;
  /** Use before `startMs` of the organisations of which it is known. */
  knownUse: ReadonlyMap<string, SlidingWindow>;
  /** Assumed use of the limit in the window before `startMs` of others. */
  assumedUse(limit: UsageLimit): number;
}

/** Use of the caps by all entries, as counted by the lease holder. */
export class FleetUsage {
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly options: FleetUsageOptions) {
    for (const [organisation, known] of options.knownUse) {
      const limit = options.limitOf(organisation);
      if (limit) this.createAccount(organisation, limit).addWindow(known);
    }
  }

  addReports(reports: readonly UsageReport[], nowMs: number): void {
    for (const {organisation, asked, used, refunds = []} of reports) {
      const limit = this.options.limitOf(organisation);
      if (!limit) continue;
      const account = this.accountFor(organisation, limit);
      scaleToLowerLimit(account, limit);
      const refunded = refunds.reduce((sum, {amount}) => sum + amount, 0);
      account.used.add(used + refunded, nowMs);
      for (const {amount, agoMs} of refunds) {
        account.used.subtractAt(amount, nowMs - agoMs);
      }
      account.asked.add(asked, nowMs);
      account.lastAskedMs = nowMs;
    }
  }

  /** Returns the state of organisations with requests within a window. */
  snapshot(nowMs: number): Record<string, FleetUsageSnapshot> {
    const {limitOf, windowMs} = this.options;
    const snapshots: Record<string, FleetUsageSnapshot> = {};
    for (const [organisation, account] of this.accounts) {
      const limit = limitOf(organisation);
      if (!limit || nowMs - account.lastAskedMs > windowMs) {
        this.accounts.delete(organisation);
        continue;
      }
      scaleToLowerLimit(account, limit);
      snapshots[organisation] = {
        left: Math.round(limit.perWindow - account.used.sum(nowMs)),
        freedPerSecond: account.used.expiringPerSecond(nowMs),
        askedPerSecond: account.asked.perSecond(nowMs),
      };
    }
    return snapshots;
  }

  private accountFor(name: string, limit: UsageLimit): Account {
    const known = this.accounts.get(name);
    if (known) return known;
    const {startMs, assumedUse} = this.options;
    this.createAccount(name, limit).addEvenly(assumedUse(limit), startMs);
    return this.accounts.get(name)!;
  }

  private createAccount(name: string, {perWindow}: UsageLimit): SlidingWindow {
    const {windowMs, startMs} = this.options;
    const used = new SlidingWindow(windowMs);
    const asked = new DecayingRate(SMOOTHING_MS);
    this.accounts.set(name, {used, asked, lastAskedMs: startMs, perWindow});
    return used;
  }
}

/**
 * Scales use under a higher limit down to the current one. Otherwise a limit
 * that is lowered far would cause all requests to be refused until that use has
 * left the window.
 */
function scaleToLowerLimit(account: Account, {perWindow}: UsageLimit): void {
  const factor = perWindow / account.perWindow;
  account.perWindow = perWindow;
  if (factor < 1) account.used.scale(factor);
}
