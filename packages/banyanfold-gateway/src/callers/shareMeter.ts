import type {
  PoolBacklog,
  PoolProgress,
  ShareDemand,
} from '@banyanfold/decisions';

/** Demand and progress since the previous report, as it is sent. */
export interface ShareReport {
  demandByOrganisation: ShareDemand[];
  poolProgress: PoolProgress[];
}

/**
 * Two exchanges. The holder counts a report as of the time of its arrival, so
 * that the counts of a longer time, such as that of a partition, would seem to
 * be a multiple of the rate.
 */
const MAX_REPORTED_MS = 500;

/** Counts demand and progress of pools between two exchanges. */
export class ShareMeter {
  private demand = new Map<string, ShareDemand>();
  private progress = new Map<string, PoolProgress>();
  private readonly backlogs = new Map<string, PoolBacklog>();
  private takenMs: number | undefined;

  addDemand(added: ShareDemand): void {
    const {pool, organisation, priority} = added;
    const key = JSON.stringify([pool, organisation, priority]);
    const known = this.demand.get(key);
    this.demand.set(key, {
      pool,
      organisation,
      priority,
      asked: (known?.asked ?? 0) + added.asked,
      admitted: (known?.admitted ?? 0) + added.admitted,
    });
  }

  addProgress({pool, completed, dropped}: PoolProgress): void {
    const known = this.progress.get(pool);
    this.progress.set(pool, {
      pool,
      completed: (known?.completed ?? 0) + completed,
      dropped: (known?.dropped ?? 0) + dropped,
    });
  }

  /** Adds the counts of another entry. */
  add({demandByOrganisation = [], poolProgress = []}: Partial<ShareReport>) {
    for (const demand of demandByOrganisation) this.addDemand(demand);
    for (const progress of poolProgress) this.addProgress(progress);
  }

  /** @param sign 1 for a request that is admitted, -1 when it is over. */
  changeBacklog(pool: string, changed: PoolBacklog, sign: 1 | -1): void {
    const known = this.backlogs.get(pool) ?? {requests: 0, work: 0, workMs: 0};
    const requests = known.requests + sign * changed.requests;
    const work = known.work + sign * changed.work;
    const workMs = known.workMs + sign * changed.workMs;
    // Also drops rounding errors of the sums.
    if (requests > 0) this.backlogs.set(pool, {requests, work, workMs});
    else this.backlogs.delete(pool);
  }

  /** The backlog of this process, without that of other entries. */
  ownBacklogs(): Record<string, PoolBacklog> {
    return Object.fromEntries(this.backlogs);
  }

  /**
   * Returns the counts and resets them. Those of a longer time than two
   * exchanges are reduced to that time.
   */
  take(nowMs: number): ShareReport {
    const elapsedMs = nowMs - (this.takenMs ?? nowMs);
    const share = Math.min(1, MAX_REPORTED_MS / elapsedMs);
    this.takenMs = nowMs;
    const demandByOrganisation = [...this.demand.values()].map(demand => ({
      ...demand,
      asked: demand.asked * share,
      admitted: demand.admitted * share,
    }));
    const poolProgress = [...this.progress.values()].map(progress => ({
      ...progress,
      completed: progress.completed * share,
      dropped: progress.dropped * share,
    }));
    this.demand = new Map();
    this.progress = new Map();
    return {demandByOrganisation, poolProgress};
  }
}
