import {
  OrganisationUsage,
  SNAPSHOT_FRESH_MS,
  type FleetUsageSnapshot,
  type UsageDecision,
  type UsageLimit,
  type UsageReport,
  usageLimitOf,
  UseHistory,
  type SlidingWindow,
} from '@banyanfold/decisions';
import type {Clock} from '@banyanfold/core';
import type {Organisation, StoredUsage, UsageCap} from '../types.js';
import {UsageMeter} from './usageMeter.js';

export interface UsageAccountsOptions {
  clock: Clock;
  /** Length of the window over which usage is summed up. */
  windowMs: number;
  /**
   * The settings say that the whole system starts for the first time. What the
   * store or the lease tells goes before it.
   */
  isFirstStart: boolean;
  random(): number;
  /** The cap in force; undefined if there is none, or no such organisation. */
  usageCapOf(organisation: string): UsageCap | undefined;
}

/**
 * An organisation is near its limit, and its usage is stored, while it has less
 * than this share of the limit left. An organisation that is not stored may
 * have used up the rest, so this share is what it is assumed to have left.
 */
const NEAR_LIMIT_SHARE = 0.4;
/** Interval at which the usage near the limits is stored. */
export const USAGE_SAVE_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1000;
/** Parts of the window in which use is stored. */
const STORED_PARTS = 8;
/** Time for an exchange with the holder, which follows each stall at once. */
const MAX_UPDATE_WAIT_MS = 150;
/** An exchange, of which there are four a second, and the time it takes. */
const MAX_EXCHANGE_WAIT_MS = 300;
/** An organisation that the holder doesn't report has used nothing lately. */
const UNUSED_LEFT_SHARE = 1;

interface Account {
  usage: OrganisationUsage;
  /** Amount admitted here since the last report. */
  unreported: number;
  /** Amount admitted here and contained in the last report, even in flight. */
  reported: number;
}

/** Usage of the whole fleet, as the holder last reported it. */
interface FleetUsageState {
  usage: Readonly<Record<string, FleetUsageSnapshot>>;
  /** When the holder knew it, in ms of the clock. */
  atMs: number;
  /** Share of its limit that an organisation missing in `usage` has left. */
  unlistedShare: number;
  isRelayed: boolean;
}

/** Tracks each organisation's usage of its cap, as known to this entry. */
export class UsageAccounts {
  /** Also contains the counts of the entries that this one relays for. */
  readonly meter = new UsageMeter();
  private readonly accounts = new Map<string, Account>();
  /** Use by all entries, of the organisations with use in the last window. */
  private readonly histories = new Map<string, UseHistory>();
  /**
   * First known usage of organisations whose caps were not known yet: a process
   * that starts may read the stored usage before the configuration.
   */
  private readonly restored = new Map<
    string,
    {snapshot: StoredUsage; atMs: number}
  >();
  private fleetUsage: FleetUsageState | undefined;
  private readonly updateListeners = new Set<() => void>();
  /** No update arrived within the wait since the last one. */
  private isUpdateOverdue = false;

  private isFirstStart: boolean;

  constructor(private readonly options: UsageAccountsOptions) {
    this.isFirstStart = options.isFirstStart;
  }

  /** The limit of an organisation over all entries. */
  limitOf(cap: UsageCap): UsageLimit {
    return usageLimitOf(cap, this.options.windowMs);
  }

  get windowMs(): number {
    return this.options.windowMs;
  }

  /** To be called if the store shows that the system has been in service. */
  noteEarlierService(): void {
    this.isFirstStart = false;
  }

  /** Use by all entries, as far as this entry has heard of it. */
  knownUse(): Map<string, SlidingWindow> {
    this.recordRestored();
    return new Map(
      [...this.histories].map(([name, {window}]) => [name, window]),
    );
  }

  /**
   * Share of its limit that an organisation of which no use is known is assumed
   * to have used; all of it before the first update.
   */
  get assumedUseShare(): number {
    const {fleetUsage} = this;
    return fleetUsage ? 1 - fleetUsage.unlistedShare : 1;
  }

  /** Selects the organisations that may soon have used up their limit. */
  nearLimit(
    usage: Readonly<Record<string, FleetUsageSnapshot>>,
    limitOf: (organisation: string) => UsageLimit | undefined,
  ): Record<string, StoredUsage> {
    const nowMs = this.options.clock.nowMs();
    const near = Object.entries(usage).filter(([name, {left}]) => {
      const perWindow = limitOf(name)?.perWindow ?? Infinity;
      return left < perWindow * NEAR_LIMIT_SHARE;
    });
    return Object.fromEntries(
      near.map(([name, snapshot]) => {
        const window = this.histories.get(name)?.window;
        const usedByAge = window?.amountsByAge(STORED_PARTS, nowMs);
        return [name, {...snapshot, usedByAge: usedByAge?.map(Math.round)}];
      }),
    );
  }

  /** Applies stored usage, unless the holder has already sent its own. */
  restore(usage: Readonly<Record<string, StoredUsage>>, ageMs: number): void {
    if (this.fleetUsage) return;
    const used = Object.entries(usage).map(([name, stored]) => [
      name,
      withUseUntilNextSave(stored),
    ]);
    const restored = Object.fromEntries(used) as Record<string, StoredUsage>;
    this.applySnapshot(restored, ageMs, NEAR_LIMIT_SHARE, false);
  }

  /**
   * Waits for the next update if the last one is old. A process that was frozen
   * is told within an exchange what is left; by what it knew before, callers
   * below the cap would be refused when all requests of the freeze are read at
   * once. If the holder is silent, only the first requests wait.
   */
  async untilFresh(): Promise<void> {
    const {fleetUsageAgeMs = 0, isUpdateOverdue} = this;
    if (fleetUsageAgeMs <= SNAPSHOT_FRESH_MS || isUpdateOverdue) return;
    const isUpdated = await this.waitForUpdate(MAX_UPDATE_WAIT_MS);
    if (!isUpdated) this.isUpdateOverdue = true;
  }

  /** Waits for the next update, for an exchange and the time it takes. */
  async untilUpdated(): Promise<void> {
    await this.waitForUpdate(MAX_EXCHANGE_WAIT_MS);
  }

  /** Resolves to whether an update arrived within a time. */
  private waitForUpdate(maxMs: number): Promise<boolean> {
    const {clock} = this.options;
    const {updateListeners} = this;
    return new Promise(resolve => {
      const finish = (isUpdated: boolean) => {
        timer.cancel();
        updateListeners.delete(notify);
        resolve(isUpdated);
      };
      const notify = () => finish(true);
      const timer = clock.setTimer(maxMs, () => finish(false));
      updateListeners.add(notify);
    });
  }

  /**
   * Decides on a request, after it has waited for a number of updates if the
   * decision was to wait.
   *
   * @example accounts.decide(organisation, cap, 9_190).kind // 'admit'
   */
  decide(
    {name}: Organisation,
    cap: UsageCap,
    amount: number,
    waits = 0,
  ): UsageDecision {
    const {clock, random} = this.options;
    const account = this.of(name);
    const decision = account.usage.decide(amount, {
      limit: this.limitOf(cap),
      nowMs: clock.nowMs(),
      random,
      knownUse: this.histories.get(name)?.window,
      waits,
    });
    const used = decision.kind === 'admit' ? amount : 0;
    account.unreported += used;
    this.meter.note(name, waits === 0 ? amount : 0, used);
    return decision;
  }

  /**
   * Refunds an admitted amount that was not run.
   *
   * @param chargedMs time of the decision to admit it.
   */
  refund(organisation: string, amount: number, chargedMs: number): void {
    const account = this.of(organisation);
    account.usage.refund(amount, chargedMs);
    account.unreported -= amount;
    this.meter.refund(organisation, amount, chargedMs);
  }

  /** Takes the reports for the next exchange with the holder. */
  takeReports(): UsageReport[] {
    for (const [name, account] of this.accounts) {
      if (!this.options.usageCapOf(name)) this.accounts.delete(name);
      account.reported = account.unreported;
      account.unreported = 0;
      account.usage.markReported(this.options.clock.nowMs());
    }
    return this.meter.take(this.options.clock.nowMs());
  }

  /**
   * Applies the fleet's usage as reported by the holder.
   *
   * @param ageMs time since the holder knew it.
   * @param isRelayed it came through a relay, so it may lack the last report.
   */
  applyFleetUsage(
    usage: Readonly<Record<string, FleetUsageSnapshot>>,
    ageMs: number,
    isRelayed: boolean,
  ): void {
    this.applySnapshot(usage, ageMs, UNUSED_LEFT_SHARE, isRelayed);
  }

  private applySnapshot(
    usage: Readonly<Record<string, StoredUsage>>,
    ageMs: number,
    unlistedShare: number,
    isRelayed: boolean,
  ): void {
    const atMs = this.options.clock.nowMs() - ageMs;
    this.recordHistories(usage, atMs);
    this.fleetUsage = {usage, atMs, unlistedShare, isRelayed};
    this.isUpdateOverdue = false;
    for (const [name, account] of this.accounts) {
      const {unreported, reported} = account;
      this.applyToAccount(
        name,
        account,
        unreported + (isRelayed ? reported : 0),
      );
    }
    for (const notify of this.updateListeners) notify();
  }

  private recordHistories(
    usage: Readonly<Record<string, StoredUsage>>,
    atMs: number,
  ): void {
    const isFirst = this.fleetUsage === undefined;
    const isUnused = !isFirst || this.isFirstStart;
    this.recordRestored();
    for (const [name, snapshot] of Object.entries(usage)) {
      const isRecorded = this.recordHistory(name, snapshot, {atMs, isUnused});
      if (isFirst && !isRecorded) this.restored.set(name, {snapshot, atMs});
    }
    for (const [name, {window}] of this.histories) {
      if (window.sum(atMs) === 0) this.histories.delete(name);
    }
  }

  /** Returns false if the cap isn't known. */
  private recordHistory(
    name: string,
    {left, usedByAge}: StoredUsage,
    {atMs, isUnused}: {atMs: number; isUnused: boolean},
  ): boolean {
    const cap = this.options.usageCapOf(name);
    if (!cap) return false;
    const history =
      this.histories.get(name) ?? new UseHistory(this.windowMs, isUnused);
    history.record(this.limitOf(cap).perWindow - left, atMs, usedByAge);
    this.histories.set(name, history);
    return true;
  }

  /** Records the restored usage of the organisations whose caps are known now. */
  private recordRestored(): void {
    for (const [name, {snapshot, atMs}] of this.restored) {
      if (
        this.recordHistory(name, snapshot, {atMs, isUnused: this.isFirstStart})
      ) {
        this.restored.delete(name);
      }
    }
  }

  private applyToAccount(
    name: string,
    {usage}: Account,
    uncounted: number,
  ): void {
    const {fleetUsage} = this;
    if (!fleetUsage) return;
    usage.update(
      fleetUsage.usage[name] ?? fleetUsage.unlistedShare,
      fleetUsage.atMs,
      uncounted,
      fleetUsage.isRelayed,
    );
  }

  /** Age of the fleet's usage in ms; undefined before the first update. */
  get fleetUsageAgeMs(): number | undefined {
    if (!this.fleetUsage) return undefined;
    return Math.round(this.options.clock.nowMs() - this.fleetUsage.atMs);
  }

  private of(name: string): Account {
    let account = this.accounts.get(name);
    if (!account) {
      const usage = new OrganisationUsage(this.isFirstStart);
      account = {usage, unreported: 0, reported: 0};
      this.accounts.set(name, account);
      this.applyToAccount(name, account, 0);
    }
    return account;
  }
}

/**
 * Adds what may have been used until the next record would have been saved. The
 * reports that reached the last holder in that time are lost.
 */
function withUseUntilNextSave(stored: StoredUsage): StoredUsage {
  const {left, freedPerSecond, askedPerSecond, usedByAge} = stored;
  const seconds = USAGE_SAVE_INTERVAL_MS / MS_PER_SECOND;
  const available = Math.max(0, left) + freedPerSecond * seconds;
  const used = Math.min(askedPerSecond * seconds, available);
  const [newest = 0, ...older] = usedByAge ?? [];
  return {
    ...stored,
    left: left - used,
    usedByAge: usedByAge && [newest + used, ...older],
  };
}
