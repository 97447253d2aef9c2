import type {Clock} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {
  resetEngineTimes,
  type Allocation,
  type LedgerEvent,
  type LedgerReport,
  type ReportTiming,
  type ReserveRefusal,
} from './allocation.js';
import {AllocationTable} from './allocationTable.js';
import {reconcileAbsent, reconcileListed} from './reconcileReport.js';
import {MemoryBudget, type KvPool} from './memoryBudget.js';
import {Quarantine} from './quarantine.js';

/** If the engine's clock falls by more than this, the engine has restarted. */
const ENGINE_RESTART_STEP_MS = 1_000;

/** Options of {@link MemoryLedger}. */
export interface MemoryLedgerOptions {
  clock: Clock;
  checksFencing: boolean;
  orderLateBoundMs: number;
  kvPool: KvPool;
  kvFloorShare: number;
  inheritedBoundMs: number;
  /** Creates an id for a reported copy that this process did not load. */
  createCopyId(artifact: string): string;
}

/**
 * The sole authority on the allocation of one engine's accelerator memory.
 *
 * Bytes are reserved before an order is sent. They are freed only by a report
 * that was taken, on the engine's clock, after the order is known to have
 * arrived or to be unable to arrive. Reports are stale and orders are delayed,
 * so an older report that doesn't list a copy proves nothing about a load that
 * is still in flight.
 */
export class MemoryLedger {
  /** Computes how much memory can still be reserved. */
  readonly budget: MemoryBudget;
  private readonly table = new AllocationTable();
  private readonly quarantine: Quarantine;
  private lastReport: LedgerReport | undefined;
  private lastEngineNowMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MemoryLedgerOptions) {
    const startMs = options.clock.nowMs();
    this.quarantine = new Quarantine({...options, startMs});
    this.budget = new MemoryBudget({
      ...options,
      table: this.table,
      isInQuarantine: () => this.isInQuarantine(),
      isKvUseKnown: () => this.isKvUseKnown(),
    });
  }

  /** Returns the allocation of an artifact in any state. */
  get(artifact: string): Allocation | undefined {
    return this.table.get(artifact);
  }

  all(): Allocation[] {
    return this.table.all();
  }

  hasReport(): boolean {
    return this.lastReport !== undefined;
  }

  /** Whether the artifact, and an adapter's base model, accept requests. */
  canServe(artifact: string): boolean {
    return this.table.canServe(artifact);
  }

  /** Counts an admitted request, which defers the unload of its artifact. */
  beginUse(artifact: string): void {
    this.table.updateUse(artifact, 1, this.nowMs());
  }

  endUse(artifact: string): void {
    this.table.updateUse(artifact, -1, this.nowMs());
  }

  /** Whether orders of an earlier agent process can still reach the engine. */
  isInQuarantine(): boolean {
    return !this.quarantine.isOver;
  }

  /**
   * Whether the KV cache use of requests from before the start is known. No
   * requests are admitted before.
   */
  isKvUseKnown(): boolean {
    return this.quarantine.isKvUseKnown;
  }

  /**
   * Whether a barrier is needed: an order with a newer fencing token, after
   * which the engine rejects the earlier orders that are still in flight.
   */
  needsBarrier(): boolean {
    if (!this.options.checksFencing) return false;
    return this.quarantine.needsBarrier || this.loadsInDoubt().length > 0;
  }

  /**
   * Records that the engine accepted an order with a higher fencing token. From
   * then on it rejects the load orders that are in doubt.
   *
   * @param visibleAfterMs Engine clock: reports taken later reflect all earlier
   *     orders.
   * @param inDoubtCopyIds The loads that were in doubt when the barrier order
   *     was sent.
   */
  noteBarrierAccepted(
    visibleAfterMs: number,
    inDoubtCopyIds: readonly string[],
  ): void {
    if (!this.options.checksFencing) return;
    this.quarantine.noteBarrierAccepted(visibleAfterMs);
    for (const allocation of this.loadsInDoubt()) {
      if (!inDoubtCopyIds.includes(allocation.copyId)) continue;
      allocation.conclusiveAfterMs = visibleAfterMs;
    }
  }

  /** Returns the allocations whose load order may still reach the engine. */
  loadsInDoubt(): Allocation[] {
    return this.table.loadsInDoubt();
  }

  /**
   * Reserves the bytes of a copy before its load order is sent. If the artifact
   * already has an allocation, that one is returned.
   */
  reserveLoad(order: {
    artifact: string;
    bytes: number;
    orderId: string;
  }): Result<Allocation, ReserveRefusal> {
    const existing = this.table.get(order.artifact);
    if (existing?.state === 'releasing' || existing?.isRetiring) {
      return err('releasing');
    }
    if (existing) return ok(existing);
    if (!this.lastReport) return err('no-report');
    if (this.isInQuarantine()) return err('quarantine');
    if (order.bytes > this.budget.freeBytes()) return err('no-memory');
    const nowMs = this.options.clock.nowMs();
    const allocation: Allocation = {
      artifact: order.artifact,
      bytes: order.bytes,
      state: 'reserved',
      copyId: order.orderId,
      loadSentAtMs: nowMs,
      isReported: false,
      activeRequests: 0,
      lastUsedAtMs: nowMs,
      isRetiring: false,
      isInherited: false,
      firstKnownAtMs: nowMs,
    };
    this.table.set(allocation);
    return ok(allocation);
  }

  /** Records that the load order is being sent or resent. */
  noteLoadSent(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (allocation) allocation.loadSentAtMs = this.options.clock.nowMs();
  }

  /**
   * Records that the engine accepted the load order. Duplicates of the order
   * have no further effect.
   *
   * @param visibleAfterMs Engine clock: reports taken later list the copy.
   */
  noteLoadAccepted(copyId: string, visibleAfterMs: number): void {
    const allocation = this.table.findByCopyId(copyId);
    if (!allocation || allocation.state === 'held') return;
    allocation.state = 'reserved';
    allocation.conclusiveAfterMs ??= visibleAfterMs;
  }

  /**
   * Records that it is unknown whether the engine received the load order, or
   * that the engine refused it and may still accept a duplicate.
   */
  noteLoadInDoubt(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (allocation?.state === 'reserved' && !allocation.isReported) {
      allocation.state = 'in-doubt';
    }
  }

  /** Frees the reservation of a load order that was certainly not executed. */
  noteLoadNeverSent(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (!allocation || allocation.isReported) return;
    this.table.delete(allocation.artifact);
  }

  /** Records that the unload order is being sent. The bytes stay reserved. */
  startRelease(artifact: string, orderId: string): void {
    const allocation = this.table.get(artifact);
    if (!allocation) return;
    allocation.state = 'releasing';
    allocation.unloadOrderId = orderId;
    allocation.unloadVisibleAfterMs = undefined;
    allocation.unloadSentAtMs = this.nowMs();
    allocation.unloadSentBeforeEngineMs = undefined;
  }

  /**
   * Records that the engine accepted the unload order.
   *
   * @param visibleAfterMs Engine clock: reports taken later reflect the unload.
   */
  noteUnloadAccepted(orderId: string, visibleAfterMs: number): void {
    const allocation = this.table.findByUnloadOrderId(orderId);
    if (allocation) allocation.unloadVisibleAfterMs = visibleAfterMs;
  }

  /**
   * Updates the ledger from a report. The report's inventory is ignored unless
   * it is newer than that of all earlier reports; its timing is always used.
   */
  observe(report: LedgerReport, timing: ReportTiming): LedgerEvent[] {
    const events = this.detectEngineRestart(timing);
    this.quarantine.observeTiming(timing);
    this.resolveExpiredDoubts(timing);
    this.noteUnloadsSentBefore(timing);
    if (report.takenAtMs <= (this.lastReport?.takenAtMs ?? -1)) return events;
    this.lastReport = report;
    this.quarantine.observeReport(report.takenAtMs);
    this.budget.observe(report);
    return [...events, ...this.reconcile(report)];
  }

  /** Compares all allocations with the copies that a report lists. */
  private reconcile(report: LedgerReport): LedgerEvent[] {
    const events: LedgerEvent[] = [];
    const {takenAtMs, models} = report;
    const {createCopyId} = this.options;
    const context = {takenAtMs, nowMs: this.nowMs(), createCopyId};
    for (const model of models) {
      const known = this.table.get(model.artifact);
      const reconciliation = reconcileListed(known, model, context);
      if (reconciliation.adopted) this.table.set(reconciliation.adopted);
      if (reconciliation.event) events.push(reconciliation.event);
    }
    const listed = new Set(models.map(({artifact}) => artifact));
    for (const allocation of this.all()) {
      if (listed.has(allocation.artifact)) continue;
      const event = reconcileAbsent(allocation, takenAtMs);
      if (!event) continue;
      this.table.delete(allocation.artifact);
      events.push(event);
    }
    return events;
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }

  /**
   * Without fencing, a lost load order can arrive until the bound on late
   * delivery has passed. Only a report taken after that time on the engine's
   * clock proves that it did not arrive.
   */
  private resolveExpiredDoubts(timing: ReportTiming): void {
    if (this.options.checksFencing) return;
    const {orderLateBoundMs} = this.options;
    for (const load of this.loadsInDoubt()) {
      const endMs = (load.loadSentAtMs ?? 0) + orderLateBoundMs;
      if (timing.sentAtMs >= endMs) load.conclusiveAfterMs = timing.engineNowMs;
    }
  }

  /**
   * If every answer to an unload order is lost, the bytes would stay reserved
   * forever. A report request that was sent after the order yields a time on
   * the engine's clock. A report that was taken after that time and doesn't
   * list the copy confirms the unload like an answer.
   */
  private noteUnloadsSentBefore({sentAtMs, engineNowMs}: ReportTiming): void {
    for (const allocation of this.all()) {
      const {state, unloadSentAtMs = Number.POSITIVE_INFINITY} = allocation;
      if (state !== 'releasing' || sentAtMs <= unloadSentAtMs) continue;
      allocation.unloadSentBeforeEngineMs ??= engineNowMs;
    }
  }

  /**
   * Detects an engine restart by its clock. A new engine process may have lost
   * its fencing tokens and order ids, so a delayed duplicate of an old order
   * would be executed again. The quarantine restarts, and times of the previous
   * process are invalidated.
   */
  private detectEngineRestart(timing: ReportTiming): LedgerEvent[] {
    const previousMs = this.lastEngineNowMs;
    this.lastEngineNowMs = timing.engineNowMs;
    if (timing.engineNowMs >= previousMs - ENGINE_RESTART_STEP_MS) return [];
    this.quarantine.restart(this.nowMs());
    if (this.lastReport) this.lastReport = {...this.lastReport, takenAtMs: -1};
    for (const allocation of this.all()) {
      resetEngineTimes(allocation, timing.engineNowMs, this.nowMs());
    }
    return [{kind: 'engine-restarted', artifact: '', copyId: ''}];
  }
}
