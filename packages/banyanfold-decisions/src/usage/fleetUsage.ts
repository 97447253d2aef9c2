import {DecayingRate} from './decayingRate.js';
import type {FleetUsageTold} from './organisationUsage.js';
import {UsageBucket, type BucketLimits} from './usageBucket.js';

const SMOOTHING_MS = 1_500;
/** An organisation that nobody asked for so long is not told of. */
const FORGOTTEN_MS = 10_000;

/** What entries have asked for and admitted, for one organisation. */
export interface UsageReport {
  organisation: string;
  /** Refused or not. */
  asked: number;
  /** Admitted, less what was not run after all. */
  used: number;
}

interface Account {
  bucket: UsageBucket;
  asked: DecayingRate;
  askedMs: number;
}

/** The buckets of the whole fleet, at the holder of orders. */
export class FleetUsage {
  private readonly accounts = new Map<string, Account>();

  /**
   * @param sinceMs since when all use has been heard; -Infinity for always. What
   *   was used before isn't known, so that buckets fill from empty then.
   * @param limitsOf undefined for an organisation without a cap.
   */
  constructor(
    private readonly sinceMs: number,
    private readonly limitsOf: (
      organisation: string,
    ) => BucketLimits | undefined,
  ) {}

  note(reports: readonly UsageReport[], nowMs: number): void {
    for (const {organisation, asked, used} of reports) {
      const limits = this.limitsOf(organisation);
      if (!limits) continue;
      const account = this.of(organisation);
      account.bucket.fill(limits, nowMs);
      account.bucket.left -= used;
      account.asked.add(asked, nowMs);
      account.askedMs = nowMs;
    }
  }

  /** What is left to organisations that were asked for lately. */
  tell(nowMs: number): Record<string, FleetUsageTold> {
    const told: Record<string, FleetUsageTold> = {};
    for (const [organisation, account] of this.accounts) {
      const limits = this.limitsOf(organisation);
      if (!limits || nowMs - account.askedMs > FORGOTTEN_MS) {
        this.accounts.delete(organisation);
        continue;
      }
      account.bucket.fill(limits, nowMs);
      told[organisation] = {
        left: Math.round(account.bucket.left),
        askedPerSecond: Math.round(account.asked.perSecond(nowMs)),
      };
    }
    return told;
  }

  private of(name: string): Account {
    let account = this.accounts.get(name);
    if (!account) {
      account = {
        bucket: new UsageBucket(this.sinceMs),
        asked: new DecayingRate(SMOOTHING_MS),
        askedMs: 0,
      };
      this.accounts.set(name, account);
    }
    return account;
  }
}
