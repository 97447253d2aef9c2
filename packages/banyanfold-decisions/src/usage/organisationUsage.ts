import {DecayingRate} from './decayingRate.js';
import {UsageBucket, type BucketLimits} from './usageBucket.js';

/** What the fleet has used of a cap, as the holder of orders tells it. */
export interface FleetUsageTold {
  /** Left in the bucket of the whole fleet; negative when it is overdrawn. */
  left: number;
  /** What callers ask for at all entries, refused or not. */
  askedPerSecond: number;
}

/** What an entry decides by. */
export interface UsageView {
  limits: BucketLimits;
  /** Entries at work, this one included. */
  entries: number;
  nowMs: number;
  /** Uniform in [0, 1). */
  random(): number;
}

export type UsageDecision =
  /** @property left of the cap, as far as this entry knows. */
  | {kind: 'admit'; left: number}
  /** @property retryAfterMs until the bucket has what the request needs. */
  | {kind: 'refuse'; left: number; retryAfterMs: number};

/** How the entries share one cap without asking anyone for each request. */
export type UsageSharing = 'equal' | 'demand' | 'fleet';

const SMOOTHING_MS = 1_500;
/** The fleet's bucket counts for so long after it was told. */
const TOLD_FRESH_MS = 1_500;
/** A share outlives its last renewal by so much; then the floor is left. */
const SHARE_HELD_MS = 5_000;
/** Of the cap, dealt to all entries alike; no more is left to one cut off. */
const FLOOR_SHARE = 0.1;
/** Until what an entry admits is known to the others. */
const UNTOLD_MS = 250;
const MS_PER_SECOND = 1000;

type Rule = (
  usage: OrganisationUsage,
  amount: number,
  view: UsageView,
) => UsageDecision;

const RULES: Record<UsageSharing, Rule> = {
  equal: (usage, amount, view) =>
    usage.decideByShare(amount, 1 / view.entries, view),
  demand: (usage, amount, view) =>
    usage.decideByShare(amount, usage.demandShare(view), view),
  fleet: (usage, amount, view) => usage.decideByFleet(amount, view),
};

export class OrganisationUsage {
  private readonly own: UsageBucket;
  private readonly asked = new DecayingRate(SMOOTHING_MS);
  private told:
    (FleetUsageTold & {atMs: number; ownPerSecond: number}) | undefined;
  /** Admitted here and not in what was told. */
  private untold = 0;

  /** @param sinceMs since when the entry has had a share; -Infinity for always. */
  constructor(
    private readonly sharing: UsageSharing,
    sinceMs: number,
  ) {
    this.own = new UsageBucket(sinceMs);
  }

  decide(amount: number, view: UsageView): UsageDecision {
    this.asked.add(amount, view.nowMs);
    return RULES[this.sharing](this, amount, view);
  }

  decideByShare(
    amount: number,
    share: number,
    {limits, nowMs}: UsageView,
  ): UsageDecision {
    this.own.fill(scaled(limits, share), nowMs);
    const {left} = this.own;
    if (left > 0) {
      this.take(amount);
      return {kind: 'admit', left};
    }
    const perSecond = Math.max(limits.ratePerSecond * share, 1);
    const retryAfterMs = (-left * MS_PER_SECOND) / perSecond;
    return {kind: 'refuse', left, retryAfterMs};
  }

  decideByFleet(amount: number, view: UsageView): UsageDecision {
    const {limits, nowMs, random} = view;
    const asked = this.fleetAskedPerSecond(nowMs);
    const left = this.fleetLeft(view, asked);
    const unheardSeconds = UNTOLD_MS / MS_PER_SECOND;
    const due = asked * unheardSeconds;
    const available = left + limits.ratePerSecond * unheardSeconds;
    if (left >= due || random() * due < available) {
      this.take(amount);
      return {kind: 'admit', left};
    }
    const missing = Math.max(amount, 0) - left;
    const retryAfterMs = (missing * MS_PER_SECOND) / limits.ratePerSecond;
    return {kind: 'refuse', left, retryAfterMs};
  }

  /** What was admitted was not run after all. */
  giveBack(amount: number): void {
    this.take(-amount);
  }

  /**
   * Takes in what the fleet has used.
   *
   * @param atMs when that was known.
   * @param untold admitted here and not in it.
   */
  tell(told: FleetUsageTold, atMs: number, untold: number): void {
    const ownPerSecond = this.asked.perSecond(atMs);
    this.told = {...told, atMs, ownPerSecond};
    this.untold = untold;
  }

  /** Of the cap; all entries' shares add up to 1 while all are told. */
  demandShare({entries, nowMs}: UsageView): number {
    const floor = FLOOR_SHARE / entries;
    if (!this.told || nowMs - this.told.atMs > SHARE_HELD_MS) {
      return this.told ? floor : 1 / entries;
    }
    const own = this.asked.perSecond(nowMs);
    if (own === 0) return floor;
    const all = Math.max(this.told.askedPerSecond, own);
    return floor + ((1 - FLOOR_SHARE) * own) / all;
  }

  private take(amount: number): void {
    this.own.left -= amount;
    this.untold += amount;
  }

  /** As last told, with what has changed here since. */
  private fleetAskedPerSecond(nowMs: number): number {
    const own = this.asked.perSecond(nowMs);
    if (!this.told) return own;
    const others = this.told.askedPerSecond - this.told.ownPerSecond;
    return Math.max(0, others) + own;
  }

  private fleetLeft({limits, nowMs}: UsageView, asked: number): number {
    const {told} = this;
    if (!told) {
      this.own.fill(limits, nowMs);
      return this.own.left;
    }
    const seconds = (nowMs - told.atMs) / MS_PER_SECOND;
    const usedPerSecond = Math.min(asked, limits.ratePerSecond);
    const gained = (limits.ratePerSecond - usedPerSecond) * seconds;
    if (nowMs - told.atMs > TOLD_FRESH_MS) return 0;
    return Math.min(limits.burst, told.left + gained) - this.untold;
  }
}

function scaled(limits: BucketLimits, share: number): BucketLimits {
  const {ratePerSecond, burst} = limits;
  return {ratePerSecond: ratePerSecond * share, burst: burst * share};
}
