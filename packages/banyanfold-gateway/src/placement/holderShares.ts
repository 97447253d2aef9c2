import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  FleetShares,
  type PoolBacklog,
  type PoolState,
  type ShareLimits,
} from '@banyanfold/decisions';
import type {ShareReport} from '../callers/shareMeter.js';
import type {FleetView} from '../view/fleetView.js';
import {ShareWeights} from './shareWeights.js';

export interface HolderSharesOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  view: FleetView;
  /** Whether shares are switched on. */
  isSwitchedOn: boolean;
}

/** Metrics show no pools if no entry has asked for limits for this long. */
const STATE_EXPIRY_MS = 2_000;
/** Interval of the log lines of a pool while it is divided. */
const LOG_INTERVAL_MS = 5_000;

/** Divides pools between organisations while this process is the holder. */
export class HolderShares {
  private readonly weights: ShareWeights;
  private fleet: FleetShares;
  private limitedMs = Number.NEGATIVE_INFINITY;
  /** When the state of each divided pool was last logged. */
  private readonly loggedMs = new Map<string, number>();

  constructor(private readonly options: HolderSharesOptions) {
    const {view, metrics} = options;
    this.weights = new ShareWeights(() => view.organisations);
    this.fleet = this.newFleet();
    metrics.gauge('share_pools_divided', () => this.dividedPools().length);
    metrics.gauge('share_backlog_work', () =>
      Math.round(this.dividedPools().reduce((sum, p) => sum + p.backlog, 0)),
    );
  }

  /** Forgets all reports, because entries reported to another holder before. */
  reset(): void {
    this.fleet = this.newFleet();
    this.loggedMs.clear();
  }

  record({demandByOrganisation = [], poolProgress = []}: Partial<ShareReport>) {
    if (!this.isEnabled) return;
    const nowMs = this.options.clock.nowMs();
    this.fleet.addDemand(demandByOrganisation, nowMs);
    this.fleet.addProgress(poolProgress, nowMs);
  }

  /** Returns undefined if there are no shares. */
  limits(
    backlogs: () => Readonly<Record<string, PoolBacklog>>,
  ): ShareLimits | undefined {
    if (!this.isEnabled) return undefined;
    this.limitedMs = this.options.clock.nowMs();
    const limits = this.fleet.limits(backlogs, this.limitedMs);
    this.logStates();
    return limits;
  }

  private get isEnabled(): boolean {
    const {isSwitchedOn, view} = this.options;
    return isSwitchedOn && view.organisations !== undefined;
  }

  private newFleet(): FleetShares {
    const nowMs = this.options.clock.nowMs();
    return new FleetShares(nowMs, organisation =>
      this.weights.of(organisation),
    );
  }

  private dividedPools(): PoolState[] {
    const ageMs = this.options.clock.nowMs() - this.limitedMs;
    if (ageMs > STATE_EXPIRY_MS) return [];
    return this.fleet.states().filter(({isContended}) => isContended);
  }

  private logStates(): void {
    const nowMs = this.options.clock.nowMs();
    const divided = this.dividedPools();
    for (const state of divided) {
      const loggedMs = this.loggedMs.get(state.pool) ?? -Infinity;
      if (nowMs - loggedMs < LOG_INTERVAL_MS) continue;
      this.loggedMs.set(state.pool, nowMs);
      this.logDivided(state);
    }
    for (const pool of this.loggedMs.keys()) {
      if (divided.some(state => state.pool === pool)) continue;
      this.loggedMs.delete(pool);
      this.options.logger.info('shares-end', {pool});
    }
  }

  private logDivided(state: PoolState): void {
    this.options.logger.info('shares', {
      pool: state.pool,
      askedPerSecond: state.askedPerSecond.toFixed(1),
      admittedPerSecond: state.admittedPerSecond.toFixed(1),
      completedPerSecond: state.completedPerSecond.toFixed(1),
      backlog: state.backlog.toFixed(1),
      targetMs: Math.round(state.targetMs),
      limited: state.limited,
    });
  }
}
