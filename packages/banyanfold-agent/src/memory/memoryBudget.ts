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
  isInQuarantine(): boolean;
  /** Whether the use of requests from before the start is known. */
  isKvUseKnown(): boolean;
}

/** What of an engine's memory may still be promised, and to what. */
export class MemoryBudget {
  private readonly kvAccount: KvAccount;
  private lastReport: LedgerReport | undefined;

  constructor(private readonly options: MemoryBudgetOptions) {
    this.kvAccount = new KvAccount({
      ...options,
      startMs: options.clock.nowMs(),
    });
  }

  observe(report: LedgerReport): void {
    this.lastReport = report;
    this.kvAccount.observe(report, {
      isComplete: !this.options.isInQuarantine(),
    });
  }

  capacityBytes(): number {
    return this.lastReport?.memoryCapacityBytes ?? 0;
  }

  kvCapacityBytes(): number {
    return this.lastReport?.kvCapacityBytes ?? 0;
  }

  kvUsedBytes(): number {
    return Math.max(
      this.kvAccount.reservedBytes(),
      this.lastReport?.kvUsedBytes ?? 0,
    );
  }

  /** What a load may take now. */
  freeBytes(): number {
    const weightBytes = this.options.table.weightBytes();
    const freeBytes =
      this.capacityBytes() - weightBytes - this.kvClaimedBytes();
    return Math.max(0, freeBytes);
  }

  /**
   * What a request's KV cache may take now: nothing until the use of earlier
   * requests is known, and until the inventory is certain the floor with them:
   * a predecessor's late load may still come, and loads never take the floor.
   */
  kvFreeBytes(): number {
    if (!this.options.isKvUseKnown()) return 0;
    const limitBytes = Math.min(this.kvCapacityBytes(), this.kvLimitBytes());
    return Math.max(0, limitBytes - this.kvCommittedBytes());
  }

  reserveKv(requestKey: string, bytes: number): void {
    this.kvAccount.reserve(requestKey, bytes);
  }

  releaseKv(requestKey: string): void {
    this.kvAccount.release(requestKey);
  }

  private kvFloorBytes(): number {
    return this.capacityBytes() * this.options.kvFloorShare;
  }

  /** What of the model memory counts as taken by KV cache. */
  private kvClaimedBytes(): number {
    if (this.options.kvPool === 'separate') return 0;
    return Math.max(this.kvCommittedBytes(), this.kvFloorBytes());
  }

  /** How far KV cache may grow before it meets the weights. */
  private kvLimitBytes(): number {
    const {kvPool, table, isInQuarantine} = this.options;
    if (kvPool === 'separate') return this.kvCapacityBytes();
    const memoryBytes = this.capacityBytes() - table.weightBytes();
    if (!isInQuarantine()) return memoryBytes;
    return Math.min(memoryBytes, this.kvFloorBytes());
  }

  private kvCommittedBytes(): number {
    return this.kvAccount.committedBytes(this.options.clock.nowMs());
  }
}
