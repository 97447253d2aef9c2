import {DecayingRate} from '../usage/decayingRate.js';
import {AskedRate} from './askedRate.js';
import {divideByMaxMin} from './divideByMaxMin.js';
import type {
  PoolBacklog,
  PoolProgress,
  ShareDemand,
  ShareLimit,
} from './shareDemand.js';

export interface PoolSharesOptions {
  /** Time that an excess must last, and that it must be over to end. */
  confirmMs: number;
  /** A shorter target counts as this. */
  minTargetMs: number;
  /** Share of the target time that the backlog is kept at. */
  backlogShare: number;
  /** Time over which a deviation of the backlog is corrected. */
  correctionMs: number;
  /** Without a completion for this long, nothing is divided. */
  completionExpiryMs: number;
  /** Dropped share of the completed work that shows an excess of demand. */
  maxDroppedShare: number;
}

export const DEFAULT_POOL_SHARES_OPTIONS: PoolSharesOptions = {
  // Two exchanges: the completed work lags behind a rise of demand by one.
  confirmMs: 500,
  // A report and its answer take two exchanges; a backlog that is read in less
  // runs empty before it can be corrected.
  minTargetMs: 500,
  // The other half is for the variation of waits around their mean.
  backlogShare: 0.5,
  // More than twice the delay of the loop (report, division, answer: 0.7 s), so
  // that the corrections don't oscillate.
  correctionMs: 1_500,
  // Runners that hang complete nothing, which says nothing about a share.
  completionExpiryMs: 1_500,
  // Plain runners reject calls instead of queueing them.
  maxDroppedShare: 0.05,
};

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
/** Demand of an organisation is forgotten after this time without a request. */
const DEMAND_EXPIRY_MS = 5_000;
const SHARE_STEPS = 1_000;

/** Divides what the runners of one pool complete between organisations. */
export class PoolShares {
  private readonly asked = new Map<string, Map<number, AskedRate>>();
  private readonly admitted = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly completed = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private readonly dropped = new DecayingRate(COMPLETED_SMOOTHING_MS);
  private lastCompletedMs = Number.NEGATIVE_INFINITY;
  /** Since when the demand has been in excess, or has no longer been. */
  private changingSinceMs: number | undefined;
  private isContended = false;
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
    this.dropped.add(dropped, nowMs);
  }

  /** Returns the limits by organisation; undefined if nobody has one. */
  divide(
    {work, workMs}: PoolBacklog,
    nowMs: number,
  ): Record<string, ShareLimit> | undefined {
    const accounts = this.accounts(nowMs);
    const targetMs = Math.max(
      this.options.minTargetMs,
      work > 0 ? workMs / work : 0,
    );
    const askedPerSecond = accounts.reduce((sum, a) => sum + a.demand, 0);
    const completedPerSecond = this.completed.perSecond(nowMs);
    const view = {askedPerSecond, completedPerSecond, backlog: work, targetMs};
    this.updateContention(view, nowMs);
    const limits = this.isContended ? this.limitsOf(accounts, view, nowMs) : {};
    const limited = Object.keys(limits).length;
    const {pool} = this.lastState;
    this.lastState = {
      pool,
      isContended: this.isContended,
      admittedPerSecond: this.admitted.perSecond(nowMs),
      limited,
      ...view,
    };
    return limited > 0 ? limits : undefined;
  }

  private updateContention(view: BacklogView, nowMs: number): void {
    const {confirmMs} = this.options;
    const isChanging = this.isContended
      ? this.capacityOf(view, nowMs) >= view.askedPerSecond
      : this.isExcess(view, nowMs);
    if (nowMs - this.lastCompletedMs > this.options.completionExpiryMs) {
      this.isContended = false;
      this.changingSinceMs = undefined;
    } else if (!isChanging) {
      this.changingSinceMs = undefined;
    } else if (nowMs - (this.changingSinceMs ??= nowMs) >= confirmMs) {
      this.isContended = !this.isContended;
      this.changingSinceMs = undefined;
    }
  }

  private isExcess(view: BacklogView, nowMs: number): boolean {
    const {askedPerSecond, completedPerSecond, backlog, targetMs} = view;
    if (askedPerSecond <= completedPerSecond) return false;
    const readable = (completedPerSecond * targetMs) / MS_PER_SECOND;
    return backlog > readable || this.isDropping(view, nowMs);
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
    const {backlogShare, correctionMs} = this.options;
    const targetBacklog =
      (completedPerSecond * targetMs * backlogShare) / MS_PER_SECOND;
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
>;

/** Gives the amount to the most urgent requests first. */
function limitOf(
  byPriority: ReadonlyMap<number, AskedRate>,
  amount: number,
  nowMs: number,
): ShareLimit | undefined {
  let left = amount;
  const priorities = [...byPriority.keys()].sort((a, b) => a - b);
  for (const priority of priorities) {
    const demand = byPriority.get(priority)!.perSecond(nowMs);
    if (demand > left * (1 + 1 / SHARE_STEPS)) {
      const share = Math.floor((left / demand) * SHARE_STEPS) / SHARE_STEPS;
      return [priority, share];
    }
    left = Math.max(0, left - demand);
  }
  return undefined;
}
