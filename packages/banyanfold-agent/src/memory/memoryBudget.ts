import type {Clock} from '@banyanfold/core';
import type {LedgerReport} from './allocation.js';
import type {AllocationTable} from './allocationTable.js';
import {KvAccount} from './kvAccount.js';

/** Whether KV cache and weights share the reported memory. */
export type KvPool = 'shared' | 'separate';

/** How a budget is built. */
export interface MemoryBudgetOptions {
  clock: Clock;
  table: AllocationTable;
  kvPool: KvPool;
  kvFloorShare: number;
  inheritedBoundMs: number;
  /** Whether a load that nobody here knows of may still arrive. */
  inQuarantine(): boolean;
  /** Whether the use of requests from before the start is known. */
  isFresh(): boolean;
}

/** What of an engine's memory may still be promised, and to what. */
export class MemoryBudget {
  private readonly kv: KvAccount;
  private latest: LedgerReport | undefined;

  constructor(private readonly options: MemoryBudgetOptions) {
    this.kv = new KvAccount({...options, startMs: options.clock.nowMs()});
  }

  observe(report: LedgerReport): void {
    this.latest = report;
    this.kv.observe(report, {isCertain: !this.options.inQuarantine()});
  }

  capacityBytes(): number {
    return this.latest?.memoryCapacityBytes ?? 0;
  }

  kvCapacityBytes(): number {
    return this.latest?.kvCapacityBytes ?? 0;
  }

  kvUsedBytes(): number {
    return Math.max(this.kv.ownBytes(), this.latest?.kvUsedBytes ?? 0);
  }

  /** What a load may take now. */
  freeBytes(): number {
    const weightBytes = this.options.table.weightBytes();
    const free = this.capacityBytes() - weightBytes - this.kvShareBytes();
    return Math.max(0, free);
  }

  /**
   * What a request's KV cache may take now: nothing until the use of earlier
   * requests is known, and until the inventory is certain the floor with them:
   * a predecessor's late load may still come, and loads never take the floor.
   */
  kvFreeBytes(): number {
    if (!this.options.isFresh()) return 0;
    const ceilingBytes = Math.min(this.kvCapacityBytes(), this.kvRoomBytes());
    return Math.max(0, ceilingBytes - this.kvCommittedBytes());
  }

  reserveKv(requestKey: string, bytes: number): void {
    this.kv.reserve(requestKey, bytes);
  }

  releaseKv(requestKey: string): void {
    this.kv.release(requestKey);
  }

  private kvFloorBytes(): number {
    return this.capacityBytes() * this.options.kvFloorShare;
  }

  /** What of the model memory counts as taken by KV cache. */
  private kvShareBytes(): number {
    if (this.options.kvPool === 'separate') return 0;
    return Math.max(this.kvCommittedBytes(), this.kvFloorBytes());
  }

  /** How far KV cache may grow before it meets the weights. */
  private kvRoomBytes(): number {
    const {kvPool, table, inQuarantine} = this.options;
    if (kvPool === 'separate') return this.kvCapacityBytes();
    const memoryBytes = this.capacityBytes() - table.weightBytes();
    if (!inQuarantine()) return memoryBytes;
    return Math.min(memoryBytes, this.kvFloorBytes());
  }

  private kvCommittedBytes(): number {
    return this.kv.committedBytes(this.options.clock.nowMs());
  }
}
