import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import {rankReplicas, type Replica} from '@banyanfold/decisions';
import type {ServiceOrigin} from './originRecords.js';

/** A record on its way to a replica. */
export interface ReplicatedOrigin extends ServiceOrigin {
  /** Whether the replica also appends it to the store. */
  shouldAppend: boolean;
}

export interface OriginReplicatorOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  self: Replica;
  /** Undefined until a holder has named them. */
  replicas(): readonly Replica[] | undefined;
  /** Shortest time between two batches to a replica, in ms. */
  batchIntervalMs(): number;
  /** Rejects if the replica has not taken the batch. */
  send(address: string, origins: ReplicatedOrigin[]): Promise<void>;
  /** Appends a record to the store; called only where this entry is a replica. */
  append(origin: ServiceOrigin): void;
}

/** Copies of each record, besides the entry's own. */
const REPLICA_COUNT = 2;
/** Pause before a replica that did not answer is used again. */
const REPLICA_RETRY_MS = 2_000;
/** Records that wait for a replica; a bound for one that takes them slowly. */
const MAX_PENDING = 2_000;

/** Records on their way to one replica. */
interface Lane {
  pending: ReplicatedOrigin[];
  isSending: boolean;
  sentMs: number;
  timer: Timer | undefined;
}

/**
 * Sends origin records to the replicas that hold the copies of this entry.
 * Replicas append to the store, as in a large fleet all entries are too many.
 */
export class OriginReplicator {
  private readonly lanes = new Map<string, Lane>();
  /** Records for which no replica is known yet. */
  private readonly unplaced: ReplicatedOrigin[] = [];
  private readonly pausedUntilMs = new Map<string, number>();
  private ranked: {replicas: readonly Replica[]; addresses: string[]} = {
    replicas: [],
    addresses: [],
  };

  constructor(private readonly options: OriginReplicatorOptions) {}

  /** Sends a record with the next batch to each replica. */
  add(origin: ServiceOrigin): void {
    this.place({...origin, shouldAppend: true});
  }

  private place(origin: ReplicatedOrigin): void {
    const {isReplica} = this;
    if (isReplica && origin.shouldAppend) this.options.append(origin);
    const shouldAppend = origin.shouldAppend && !isReplica;
    const replicas = this.activeReplicas();
    if (replicas.length === 0) {
      this.enqueue(this.unplaced, {...origin, shouldAppend});
    }
    for (const [i, address] of replicas.entries()) {
      const lane = this.laneFor(address);
      const isFirst = i === 0;
      this.enqueue(lane.pending, {
        ...origin,
        shouldAppend: shouldAppend && isFirst,
      });
      this.schedule(address, lane);
    }
  }

  /** Sends the records that had no replica, now that there are others. */
  resume(): void {
    for (const origin of this.unplaced.splice(0)) this.place(origin);
  }

  private get isReplica(): boolean {
    const {self, replicas} = this.options;
    const addresses = (replicas() ?? []).map(({address}) => address);
    return addresses.includes(self.address);
  }

  stop(): void {
    for (const {timer} of this.lanes.values()) timer?.cancel();
    this.lanes.clear();
  }

  private enqueue(queue: ReplicatedOrigin[], origin: ReplicatedOrigin): void {
    queue.push(origin);
    if (queue.length <= MAX_PENDING) return;
    queue.shift();
    this.options.metrics.count('origin_records_dropped_total');
  }

  private activeReplicas(): string[] {
    const {clock, replicas, self} = this.options;
    const list = replicas() ?? [];
    if (list !== this.ranked.replicas) {
      this.ranked = {replicas: list, addresses: rankReplicas(self, list)};
    }
    const nowMs = clock.nowMs();
    return this.ranked.addresses
      .filter(address => (this.pausedUntilMs.get(address) ?? 0) <= nowMs)
      .slice(0, REPLICA_COUNT);
  }

  private laneFor(address: string): Lane {
    let lane = this.lanes.get(address);
    if (!lane) {
      const sentMs = Number.NEGATIVE_INFINITY;
      lane = {pending: [], isSending: false, sentMs, timer: undefined};
      this.lanes.set(address, lane);
    }
    return lane;
  }

  private schedule(address: string, lane: Lane): void {
    if (lane.isSending || lane.timer || lane.pending.length === 0) return;
    const {clock, batchIntervalMs} = this.options;
    const dueMs = lane.sentMs + batchIntervalMs();
    lane.timer = clock.setTimer(Math.max(0, dueMs - clock.nowMs()), () => {
      lane.timer = undefined;
      const {logger} = this.options;
      runInBackground({logger, step: 'send-origins', peer: address}, () =>
        this.sendBatch(address, lane),
      );
    });
  }

  private async sendBatch(address: string, lane: Lane): Promise<void> {
    const {clock, metrics, send} = this.options;
    const batch = lane.pending.splice(0);
    lane.isSending = true;
    lane.sentMs = clock.nowMs();
    try {
      await send(address, batch);
      metrics.count('origin_records_sent_total', {}, batch.length);
      lane.isSending = false;
      this.schedule(address, lane);
    } catch (thrown) {
      this.replaceReplica(address, [...batch, ...lane.pending], thrown);
    }
  }

  /** Has other replicas hold the records that a replica did not take. */
  private replaceReplica(
    address: string,
    origins: ReplicatedOrigin[],
    thrown: unknown,
  ): void {
    const {clock, logger} = this.options;
    this.lanes.delete(address);
    this.pausedUntilMs.set(address, clock.nowMs() + REPLICA_RETRY_MS);
    logger.info('replica-lost', {
      replica: address,
      records: origins.length,
      error: thrown instanceof Error ? thrown.message : String(thrown),
    });
    for (const origin of origins) this.place(origin);
  }
}
