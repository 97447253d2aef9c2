import {PoolShares, type PoolState} from './poolShares.js';
import {
  DEFAULT_POOL_SHARES_OPTIONS,
  type PoolSharesOptions,
} from './poolSharesOptions.js';
import type {
  PoolBacklog,
  PoolProgress,
  ShareDemand,
  ShareLimit,
  ShareLimits,
} from './shareDemand.js';

export interface FleetSharesOptions extends PoolSharesOptions {
  /** Nothing is limited before reports have arrived for this long. */
  warmUpMs: number;
  /** Shortest time between two divisions. */
  intervalMs: number;
  /** Limits that are sent at most, over all pools. */
  maxLimits: number;
}

export const DEFAULT_FLEET_SHARES_OPTIONS: FleetSharesOptions = {
  ...DEFAULT_POOL_SHARES_OPTIONS,
  // Four exchanges, after which most of the demand has been reported.
  warmUpMs: 1_000,
  // An exchange; more often, all entries would cause a division each.
  intervalMs: 200,
  maxLimits: 10_000,
};

const NO_BACKLOG: PoolBacklog = {requests: 0, work: 0, workMs: 0};

/**
 * Limits of the organisations that ask for more than their share, as decided by
 * the lease holder from the reports of all entries.
 *
 * Designed for demand above what the runners complete, where a queue in order
 * of arrival gives each organisation capacity in proportion to its demand. Each
 * pool is divided by itself: one model in demand may be short of capacity while
 * the rest of its service is idle.
 *
 * @example
 * const shares = new FleetShares(nowMs, organisation => 1);
 * shares.addDemand(report.demand, nowMs);
 * shares.limits(backlogByPool, nowMs) // {draft: {claims: [1, 0.4]}}
 */
export class FleetShares {
  private readonly pools = new Map<string, PoolShares>();
  private dividedMs = Number.NEGATIVE_INFINITY;
  private lastLimits: ShareLimits = {};

  /**
   * @param startMs time since which all demand is reported to this instance.
   * @param weightOf weight of an organisation, greater than 0.
   */
  constructor(
    private readonly startMs: number,
    private readonly weightOf: (organisation: string) => number,
    private readonly options: FleetSharesOptions = DEFAULT_FLEET_SHARES_OPTIONS,
  ) {}

  addDemand(demand: readonly ShareDemand[], nowMs: number): void {
    for (const each of demand) this.poolOf(each.pool).addDemand(each, nowMs);
  }

  addProgress(progress: readonly PoolProgress[], nowMs: number): void {
    for (const each of progress) {
      this.poolOf(each.pool).addProgress(each, nowMs);
    }
  }

  /** Returns the current limits; the same object until the next division. */
  limits(
    backlogs: () => Readonly<Record<string, PoolBacklog>>,
    nowMs: number,
  ): ShareLimits {
    const {warmUpMs, intervalMs} = this.options;
    if (nowMs - this.startMs < warmUpMs) return {};
    if (nowMs - this.dividedMs < intervalMs) return this.lastLimits;
    this.dividedMs = nowMs;
    this.lastLimits = this.divide(backlogs(), nowMs);
    return this.lastLimits;
  }

  /** The state of each pool at the last division. */
  states(): PoolState[] {
    return [...this.pools.values()].map(({state}) => state);
  }

  private divide(
    backlogs: Readonly<Record<string, PoolBacklog>>,
    nowMs: number,
  ): ShareLimits {
    const limits: Record<string, Record<string, ShareLimit>> = {};
    for (const [pool, shares] of this.pools) {
      const divided = shares.divide(backlogs[pool] ?? NO_BACKLOG, nowMs);
      if (divided) limits[pool] = divided;
      else if (shares.isUnused) this.pools.delete(pool);
    }
    return keepLowest(limits, this.options.maxLimits);
  }

  private poolOf(pool: string): PoolShares {
    let shares = this.pools.get(pool);
    if (!shares) {
      shares = new PoolShares(pool, this.weightOf, this.options);
      this.pools.set(pool, shares);
    }
    return shares;
  }
}

/** Keeps the limits that admit the least, if there are too many. */
function keepLowest(
  limits: Record<string, Record<string, ShareLimit>>,
  maxLimits: number,
): ShareLimits {
  const rows = Object.entries(limits).flatMap(([pool, byOrganisation]) =>
    Object.entries(byOrganisation).map(([organisation, limit]) => ({
      pool,
      organisation,
      limit,
    })),
  );
  if (rows.length <= maxLimits) return limits;
  rows.sort((a, b) => a.limit[1] - b.limit[1]);
  const kept: Record<string, Record<string, ShareLimit>> = {};
  for (const {pool, organisation, limit} of rows.slice(0, maxLimits)) {
    (kept[pool] ??= {})[organisation] = limit;
  }
  return kept;
}
