import type {PoolBacklog, RelayCandidate} from '@banyanfold/decisions';
import {emptyRecord} from '../emptyRecord.js';
import {addCounts, countOf, valueOf} from './counts.js';

/** An entry that has not reported for this long no longer counts. */
const ENTRY_EXPIRY_MS = 2_000;
/**
 * Work is rounded to a tenth, which shortens messages and affects no decision.
 */
const ROUNDING_STEPS = 10;

/** Open work of an entry, and of the entries that it relays for. */
export interface EntryLoad {
  /** The entry itself, and the entries that it relays for. */
  members: readonly RelayCandidate[];
  openWork: Readonly<Record<string, number>>;
  adaptersInUse: Readonly<Record<string, readonly string[]>>;
  /** Requests in progress, by runner and model. */
  modelsInUse: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Requests that wait for a copy, by model. */
  waiting: Readonly<Record<string, number>>;
  /** Undefined from entries without fair shares. */
  poolBacklogs?: Readonly<Record<string, PoolBacklog>>;
}

interface ReceivedLoad extends EntryLoad {
  receivedMs: number;
}

/** Loads of the entries that reported recently, and their sums. */
export class EntryLoads {
  private readonly entries = new Map<string, ReceivedLoad>();

  constructor(private readonly expiryMs = ENTRY_EXPIRY_MS) {}

  /**
   * Records the load of an entry. Its members no longer count on their own,
   * because their work would count twice until their previous reports expire.
   */
  record(entry: string, load: EntryLoad, nowMs: number): void {
    for (const {address} of load.members) {
      if (address !== entry) this.entries.delete(address);
    }
    this.entries.set(entry, {...load, receivedMs: nowMs});
  }

  /** Number of requests at all entries that wait for a copy of a model. */
  waitingRequests(model: string, nowMs: number): number {
    let total = 0;
    for (const {waiting} of this.recent(nowMs)) {
      total += countOf(waiting, model);
    }
    return total;
  }

  /** Number of entries that reported recently, at least 1. */
  count(nowMs: number): number {
    let count = 0;
    for (const {members} of this.recent(nowMs)) count += members.length;
    return Math.max(1, count);
  }

  /** Entries that reported recently, the most recent first. */
  members(nowMs: number): RelayCandidate[] {
    return [...this.recent(nowMs)]
      .sort((a, b) => b.receivedMs - a.receivedMs)
      .flatMap(({members}) => members);
  }

  /** Open work of all entries but one, by runner. */
  openWorkExcept(entry: string, nowMs: number): Record<string, number> {
    const total = emptyRecord<number>();
    for (const {openWork} of this.recent(nowMs, entry)) {
      addCounts(total, openWork);
    }
    for (const [runnerId, work] of Object.entries(total)) {
      total[runnerId] = Math.round(work * ROUNDING_STEPS) / ROUNDING_STEPS;
    }
    return total;
  }

  /** Open requests of all entries but one, by runner. */
  openRequestsExcept(entry: string, nowMs: number): Record<string, number> {
    const total = emptyRecord<number>();
    for (const {modelsInUse} of this.recent(nowMs, entry)) {
      for (const [runnerId, counts] of Object.entries(modelsInUse)) {
        for (const count of Object.values(counts)) {
          total[runnerId] = (total[runnerId] ?? 0) + count;
        }
      }
    }
    return total;
  }

  /**
   * Whether a request in progress at any entry uses the adapter on the runner.
   */
  isAdapterInUse(runnerId: string, adapter: string, nowMs: number): boolean {
    for (const {adaptersInUse} of this.recent(nowMs)) {
      if (valueOf(adaptersInUse, runnerId)?.includes(adapter)) return true;
    }
    return false;
  }

  /** Requests of all entries in progress on a runner, by model. */
  modelsInUse(runnerId: string, nowMs: number): Record<string, number> {
    const total = emptyRecord<number>();
    for (const {modelsInUse} of this.recent(nowMs)) {
      addCounts(total, valueOf(modelsInUse, runnerId) ?? {});
    }
    return total;
  }

  /**
   * Sums the loads of all entries into one.
   *
   * @example loads.sum(clock.nowMs()).openWork // {'i-7f3a': 12.5}
   */
  sum(nowMs: number): EntryLoad {
    const openWork = emptyRecord<number>();
    const adapters = emptyRecord<Set<string>>();
    const modelsInUse = emptyRecord<Record<string, number>>();
    const waiting = emptyRecord<number>();
    for (const load of this.recent(nowMs)) {
      addCounts(openWork, load.openWork);
      addCounts(waiting, load.waiting);
      for (const [runnerId, counts] of Object.entries(load.modelsInUse)) {
        addCounts((modelsInUse[runnerId] ??= emptyRecord()), counts);
      }
      for (const [runnerId, names] of Object.entries(load.adaptersInUse)) {
        const all = (adapters[runnerId] ??= new Set());
        for (const name of names) all.add(name);
      }
    }
    const adaptersInUse = Object.fromEntries(
      Object.entries(adapters).map(([id, names]) => [id, [...names]]),
    );
    const members = this.members(nowMs);
    const poolBacklogs = this.poolBacklogs(nowMs);
    const counts = {openWork, adaptersInUse, modelsInUse, waiting};
    return {members, ...counts, poolBacklogs};
  }

  /** Backlogs of all entries by pool; undefined if none reports any. */
  poolBacklogs(nowMs: number): Record<string, PoolBacklog> | undefined {
    const total = emptyRecord<PoolBacklog>();
    let isReported = false;
    for (const {poolBacklogs} of this.recent(nowMs)) {
      isReported ||= poolBacklogs !== undefined;
      for (const [pool, backlog] of Object.entries(poolBacklogs ?? {})) {
        const sum = (total[pool] ??= {requests: 0, work: 0, workMs: 0});
        sum.requests += backlog.requests;
        sum.work += backlog.work;
        sum.workMs += backlog.workMs;
      }
    }
    return isReported ? total : undefined;
  }

  private *recent(
    nowMs: number,
    excludedEntry?: string,
  ): Generator<ReceivedLoad> {
    for (const [entry, load] of this.entries) {
      if (entry === excludedEntry) continue;
      if (nowMs - load.receivedMs < this.expiryMs) yield load;
    }
  }
}
