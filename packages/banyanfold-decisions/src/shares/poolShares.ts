import {DecayingRate} from '../usage/decayingRate.js';
import {AskedRate} from './askedRate.js';
import {divideByMaxMin} from './divideByMaxMin.js';
import {limitOf} from './limitOf.js';
import type {PoolSharesOptions} from './poolSharesOptions.js';
import {UsualWait} from './usualWait.js';
import type {
  PoolBacklog,
  PoolProgress,
  ShareDemand,
  ShareLimit,
} from './shareDemand.js';

/** What a division was based on, for logs. Work is per second. */
export interface PoolState {
  pool: string;
  isContended: boolean;
  askedPerSecond: number;
  admittedPerSecond: number;
  completedPerSecond: number;
  backlog: number;
  targetMs: number;
  /** Number of organisations that may not send everything. */
  limited: number;
}

interface Account {
  organisation: string;
  weight: number;
  demand: number;
  byPriority: ReadonlyMap<number, AskedRate>;
}

const MS_PER_SECOND = 1000;
const COMPLETED_SMOOTHING_MS = 1_000;
/** Follows a rise as quickly as the demand does. */
const RECENTLY_COMPLETED_SMOOTHING_MS = 500;
/** Demand of an organisation is forgotten after this time without a request. */
const DEMAND_EXPIRY_MS = 5_000;

/** Divides what the runners of one pool complete between organisations. */
export class PoolShares {
  private readonly asked = new Map<string, Map<number, AskedRate>>();
  /** Smoothed as the completed work is, so that the two can be compared. */
  private readonly totalAsked = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly admitted = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly recentlyCompleted = new DecayingRate(
    RECENTLY_COMPLETED_SMOOTHING_MS,
  );
  private readonly completed = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly dropped = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly usualWait = new UsualWait();
  private lastCompletedMs = Number.NEGATIVE_INFINITY;
  /** Since when the demand has been in excess, or has no longer been. */
  private changingSinceMs: number | undefined;
  private isContended = false;
  /** Largest rate since the division began. */
  private mostCompletedPerSecond = 0;
  /** A division that did harm is not repeated before. */
  private heldUntilMs = Number.NEGATIVE_INFINITY;
  private lastState: PoolState;

  constructor(
    pool: string,
    private readonly weightOf: (organisation: string) => number,
    private readonly options: PoolSharesOptions,
  ) {
    this.lastState = {
      pool,
      isContended: false,
      askedPerSecond: 0,
      admittedPerSecond: 0,
      completedPerSecond: 0,
      backlog: 0,
      targetMs: 0,
      limited: 0,
    };
  }

  get state(): PoolState {
    return this.lastState;
  }

  /** Nothing has been asked for lately, so the pool may be dropped. */
  get isUnused(): boolean {
    return this.asked.size === 0;
  }

  addDemand(demand: ShareDemand, nowMs: number): void {
    const {organisation, priority, asked, admitted} = demand;
    this.totalAsked.add(asked, nowMs);
    this.admitted.add(admitted, nowMs);
    const byPriority = this.asked.get(organisation) ?? new Map();
    const rate = byPriority.get(priority) ?? new AskedRate();
    rate.add(asked, nowMs);
    byPriority.set(priority, rate);
    this.asked.set(organisation, byPriority);
  }

  addProgress({completed, dropped}: PoolProgress, nowMs: number): void {
    if (completed > 0) this.lastCompletedMs = nowMs;
    this.completed.add(completed, nowMs);
    this.recentlyCompleted.add(completed, nowMs);
    this.dropped.add(dropped, nowMs);
  }

  /** Returns the limits by organisation; undefined if nobody has one. */
  divide(
    {requests, work, workMs}: PoolBacklog,
    nowMs: number,
  ): Record<string, ShareLimit> | undefined {
    const accounts = this.accounts(nowMs);
    const targetMs = Math.max(
      this.options.minTargetMs,
      work > 0 ? workMs / work : 0,
    );
    const askedPerSecond = accounts.reduce((sum, a) => sum + a.demand, 0);
    const completedPerSecond = this.completed.perSecond(nowMs);
    const rates = {askedPerSecond, completedPerSecond};
    const view = {...rates, requests, backlog: work, targetMs};
    this.updateContention(view, nowMs);
    const totalPerSecond = this.totalAsked.perSecond(nowMs);
    this.usualWait.add({...view, askedPerSecond: totalPerSecond}, nowMs);
    const limits = this.isContended ? this.limitsOf(accounts, view, nowMs) : {};
    const limited = Object.keys(limits).length;
    const {pool} = this.lastState;
    this.lastState = {
      pool,
      isContended: this.isContended,
      admittedPerSecond: this.admitted.perSecond(nowMs),
      limited,
      ...rates,
      backlog: work,
      targetMs,
    };
    return limited > 0 ? limits : undefined;
  }

  private updateContention(view: BacklogView, nowMs: number): void {
    const {confirmMs} = this.options;
    const lastsMs = this.isContended
      ? confirmMs
      : Math.max(confirmMs, this.acceptedMs(view));
    const isChanging = this.isContended
      ? this.capacityOf(view, nowMs) >= view.askedPerSecond
      : this.isExcess(view, nowMs);
    if (nowMs - this.lastCompletedMs > this.options.completionExpiryMs) {
      this.isContended = false;
      this.changingSinceMs = undefined;
    } else if (this.isContended && this.isHarmful(view)) {
      this.isContended = false;
      this.changingSinceMs = undefined;
      this.heldUntilMs = nowMs + this.options.holdMs;
    } else if (!isChanging) {
      this.changingSinceMs = undefined;
    } else if (nowMs - (this.changingSinceMs ??= nowMs) >= lastsMs) {
      this.isContended = !this.isContended;
      this.mostCompletedPerSecond = 0;
      this.changingSinceMs = undefined;
    }
  }

  /**
   * Whether less is completed because less is admitted, so that the division
   * does harm. A queue would keep the runners as busy as before.
   */
  private isHarmful({
    askedPerSecond,
    completedPerSecond,
  }: BacklogView): boolean {
    const {minCompletedShare} = this.options;
    this.mostCompletedPerSecond = Math.max(
      this.mostCompletedPerSecond,
      completedPerSecond,
    );
    return (
      askedPerSecond > completedPerSecond &&
      completedPerSecond < this.mostCompletedPerSecond * minCompletedShare
    );
  }

  private isExcess(view: BacklogView, nowMs: number): boolean {
    const {excessDeviations} = this.options;
    const completedPerSecond = Math.max(
      view.completedPerSecond,
      this.recentlyCompleted.perSecond(nowMs),
    );
    if (view.askedPerSecond <= completedPerSecond) return false;
    if (nowMs < this.heldUntilMs) return false;
    const acceptedMs = this.acceptedMs(view);
    const readable = (completedPerSecond * acceptedMs) / MS_PER_SECOND;
    const deviation = excessDeviations / Math.sqrt(Math.max(1, view.requests));
    const isLong = view.backlog > readable * (1 + deviation);
    return isLong || this.isDropping(view, nowMs);
  }

  /** Wait above which a backlog is too long. */
  private acceptedMs({targetMs}: BacklogView): number {
    const {excessWaitFactor} = this.options;
    return Math.max(targetMs, this.usualWait.ms * excessWaitFactor);
  }

  private isDropping(
    {completedPerSecond}: BacklogView,
    nowMs: number,
  ): boolean {
    const {maxDroppedShare} = this.options;
    return this.dropped.perSecond(nowMs) > completedPerSecond * maxDroppedShare;
  }

  /** Work per second that may be admitted. */
  private capacityOf(view: BacklogView, nowMs: number): number {
    const {completedPerSecond, backlog, targetMs} = view;
    const {backlogShare, usualWaitFactor, correctionMs} = this.options;
    const usualMs = this.usualWait.ms * usualWaitFactor;
    const waitMs = Math.max(targetMs * backlogShare, usualMs);
    const targetBacklog = (completedPerSecond * waitMs) / MS_PER_SECOND;
    const correction =
      ((targetBacklog - backlog) * MS_PER_SECOND) / correctionMs;
    // The backlog of runners that reject calls is short although they are full.
    const isFull = correction > 0 && this.isDropping(view, nowMs);
    return completedPerSecond + (isFull ? 0 : correction);
  }

  private limitsOf(
    accounts: readonly Account[],
    view: BacklogView,
    nowMs: number,
  ): Record<string, ShareLimit> {
    const amounts = this.amountsOf(accounts, view, nowMs);
    const limits: Record<string, ShareLimit> = {};
    accounts.forEach(({organisation, byPriority}, index) => {
      const limit = limitOf(byPriority, amounts[index]!, nowMs);
      if (limit) limits[organisation] = limit;
    });
    return limits;
  }

  /**
   * Divides what the runners complete. A backlog above its target is reduced
   * only at the expense of organisations that ask for more than their share;
   * otherwise those that ask for less would be refused for it.
   */
  private amountsOf(
    accounts: readonly Account[],
    view: BacklogView,
    nowMs: number,
  ): number[] {
    const capacity = this.capacityOf(view, nowMs);
    const {completedPerSecond} = view;
    const divided = Math.max(capacity, completedPerSecond);
    const amounts = divideByMaxMin(accounts, divided);
    const excess = divided - capacity;
    if (excess <= 0) return amounts;
    const isOver = (index: number) => amounts[index]! < accounts[index]!.demand;
    const overAmount = amounts.reduce(
      (sum, amount, index) => sum + (isOver(index) ? amount : 0),
      0,
    );
    const factor = Math.max(0, 1 - excess / overAmount);
    return amounts.map((amount, index) =>
      isOver(index) ? amount * factor : amount,
    );
  }

  /** Demand by organisation, without those that have ceased to ask. */
  private accounts(nowMs: number): Account[] {
    const accounts: Account[] = [];
    for (const [organisation, byPriority] of this.asked) {
      let demand = 0;
      for (const [priority, rate] of byPriority) {
        if (nowMs - rate.lastMs > DEMAND_EXPIRY_MS) byPriority.delete(priority);
        else demand += rate.perSecond(nowMs);
      }
      if (byPriority.size === 0) this.asked.delete(organisation);
      const weight = this.weightOf(organisation);
      accounts.push({organisation, weight, demand, byPriority});
    }
    return accounts;
  }
}

type BacklogView = Pick<
  PoolState,
  'askedPerSecond' | 'completedPerSecond' | 'backlog' | 'targetMs'
> & {requests: number};
