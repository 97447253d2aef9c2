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

/** Counts demand and progress of pools between two exchanges. */
export class ShareMeter {
  private demand = new Map<string, ShareDemand>();
  private progress = new Map<string, PoolProgress>();
  private readonly backlogs = new Map<string, PoolBacklog>();

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

  /** Returns the counts and resets them. */
  take(): ShareReport {
    const demandByOrganisation = [...this.demand.values()];
    const poolProgress = [...this.progress.values()];
    this.demand = new Map();
    this.progress = new Map();
    return {demandByOrganisation, poolProgress};
  }
}
