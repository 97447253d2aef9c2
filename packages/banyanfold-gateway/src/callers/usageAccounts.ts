import {
  OrganisationUsage,
  type FleetUsageSnapshot,
  type UsageDecision,
  type UsageLimit,
  type UsageReport,
  usageLimitOf,
} from '@banyanfold/decisions';
import type {Clock} from '@banyanfold/core';
import type {InferenceRequest, Organisation, UsageCap} from '../types.js';
import {UsageMeter} from './usageMeter.js';

export interface UsageAccountsOptions {
  clock: Clock;
  /** The span over which use is summed up. */
  windowMs: number;
  /** The whole system starts for the first time; nothing has been used. */
  isFirstStart: boolean;
  random(): number;
  /** Whether the configuration still names an organisation. */
  isKnown(organisation: string): boolean;
}

/**
 * Of its limit, what one that is kept in the store has left at most; any other one
 * may have used all but so much.
 */
const KEPT_LEFT_SHARE = 0.4;
/** An organisation that the holder doesn't tell of has used nothing lately. */
const UNUSED_SHARE = 1;

interface Account {
  usage: OrganisationUsage;
  /** Admitted here since the last report was made. */
  unreported: number;
  /** Admitted here and in the report that is under way or was answered last. */
  reported: number;
}

interface ToldUsage {
  usage: Readonly<Record<string, FleetUsageSnapshot>>;
  /** When it was known to the holder. */
  atMs: number;
  /** Left to one that isn't told of, as a share of its limit. */
  unlistedShare: number;
}

/** How much of its cap each organisation has used, as this entry knows it. */
export class UsageAccounts {
  /** Also holds what entries that this one relays for have counted. */
  readonly meter = new UsageMeter();
  private readonly accounts = new Map<string, Account>();
  private told: ToldUsage | undefined;

  constructor(private readonly options: UsageAccountsOptions) {}

  /** The limit that holds for an organisation, over all entries. */
  limitOf(cap: UsageCap): UsageLimit {
    return usageLimitOf(cap, this.options.windowMs);
  }

  get windowMs(): number {
    return this.options.windowMs;
  }

  /** What this entry last heard to be left; undefined where it heard nothing. */
  leftOf(organisation: string, {perWindow}: UsageLimit): number | undefined {
    const {told} = this;
    if (!told) return this.options.isFirstStart ? perWindow : undefined;
    const left = told.usage[organisation]?.left;
    return left ?? perWindow * told.unlistedShare;
  }

  /** Of what is told by the holder, those that may soon have nothing left. */
  nearLimit(
    told: Readonly<Record<string, FleetUsageSnapshot>>,
    limitOf: (organisation: string) => UsageLimit | undefined,
  ): Record<string, FleetUsageSnapshot> {
    const near = Object.entries(told).filter(([name, {left}]) => {
      const perWindow = limitOf(name)?.perWindow ?? Infinity;
      return left < perWindow * KEPT_LEFT_SHARE;
    });
    return Object.fromEntries(near);
  }

  /** Takes in what was kept in the store, until the holder tells. */
  tellStored(
    usage: Readonly<Record<string, FleetUsageSnapshot>>,
    ageMs: number,
  ): void {
    if (this.told) return;
    this.tellAll(usage, ageMs, KEPT_LEFT_SHARE, false);
  }

  /** @example accounts.decide(organisation, cap, 9_190).kind // 'admit' */
  decide({name}: Organisation, cap: UsageCap, amount: number): UsageDecision {
    const {clock, random} = this.options;
    const account = this.of(name);
    const decision = account.usage.decide(amount, {
      limit: this.limitOf(cap),
      nowMs: clock.nowMs(),
      random,
    });
    const used = decision.kind === 'admit' ? amount : 0;
    account.unreported += used;
    this.meter.note(name, amount, used);
    return decision;
  }

  /** What was admitted was not run after all. */
  giveBack(organisation: string, amount: number): void {
    const account = this.of(organisation);
    account.usage.refund(amount);
    account.unreported -= amount;
    this.meter.note(organisation, 0, -amount);
  }

  /** Takes the report for the next exchange. */
  takeReports(): UsageReport[] {
    for (const [name, account] of this.accounts) {
      if (!this.options.isKnown(name)) this.accounts.delete(name);
      account.reported = account.unreported;
      account.unreported = 0;
      account.usage.markReported(this.options.clock.nowMs());
    }
    return this.meter.take();
  }

  /**
   * Takes in what the holder has told.
   *
   * @param ageMs since it was known.
   * @param isPassedOn a relay told, whose word may not hold the last report yet.
   */
  tell(
    told: Readonly<Record<string, FleetUsageSnapshot>>,
    ageMs: number,
    isPassedOn: boolean,
  ): void {
    this.tellAll(told, ageMs, UNUSED_SHARE, isPassedOn);
  }

  private tellAll(
    usage: Readonly<Record<string, FleetUsageSnapshot>>,
    ageMs: number,
    unlistedShare: number,
    isPassedOn: boolean,
  ): void {
    const atMs = this.options.clock.nowMs() - ageMs;
    this.told = {usage, atMs, unlistedShare};
    for (const [name, account] of this.accounts) {
      const {unreported, reported} = account;
      this.tellOf(name, account, unreported + (isPassedOn ? reported : 0));
    }
  }

  private tellOf(name: string, {usage}: Account, untold: number): void {
    const {told} = this;
    if (!told) return;
    usage.update(told.usage[name] ?? told.unlistedShare, told.atMs, untold);
  }

  /** Age of what this entry decides by, in ms; undefined before it was told. */
  get toldAgeMs(): number | undefined {
    if (!this.told) return undefined;
    return Math.round(this.options.clock.nowMs() - this.told.atMs);
  }

  private of(name: string): Account {
    let account = this.accounts.get(name);
    if (!account) {
      const usage = new OrganisationUsage(this.options.isFirstStart);
      account = {usage, unreported: 0, reported: 0};
      this.accounts.set(name, account);
      this.tellOf(name, account, 0);
    }
    return account;
  }
}

/**
 * What a request counts against a cap.
 *
 * @example usageOf({promptTokens: 9_190, maxOutputTokens: 52}, cap) // 9242
 */
export function usageOf(
  {
    promptTokens,
    maxOutputTokens,
  }: Pick<InferenceRequest, 'promptTokens' | 'maxOutputTokens'>,
  {unit, plainTokens}: UsageCap,
): number {
  if (unit === 'requests') return 1;
  return promptTokens + maxOutputTokens || plainTokens;
}
