import type {Clock} from '@banyanfold/core';
import type {LedgerReport} from './allocation.js';
import type {AllocationTable} from './allocationTable.js';
import {KvAccount} from './kvAccount.js';

/** Whether KV cache and weights share the reported memory capacity. */
export type KvPool = 'shared' | 'separate';

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  clock: Clock;
  table: AllocationTable;
  kvPool: KvPool;
  kvFloorShare: number;
  inheritedBoundMs: number;
  /** Whether a load order of an earlier agent process may still arrive. */
  isInQuarantine(): boolean;
  /** Whether the KV cache use of requests from before the start is known. */
  isKvUseKnown(): boolean;
}

/** Computes how much of an engine's memory loads and requests may reserve. */
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

  /** The number of bytes that a load may reserve now. */
  freeBytes(): number {
    const weightBytes = this.options.table.weightBytes();
    const freeBytes =
      this.capacityBytes() - weightBytes - this.kvClaimedBytes();
    return Math.max(0, freeBytes);
  }

  /**
   * The number of bytes of KV cache that a request may reserve now.
   *
   * It is 0 until the use by inherited requests is known. In quarantine, new
   * and inherited requests together are limited to the KV floor, which loads
   * never use: a load order of an earlier process may still arrive.
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

  /** The part of the model memory that is set aside for KV cache. */
  private kvClaimedBytes(): number {
    if (this.options.kvPool === 'separate') return 0;
    return Math.max(this.kvCommittedBytes(), this.kvFloorBytes());
  }

  /** The most bytes that KV cache may use beside the allocated weights. */
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
