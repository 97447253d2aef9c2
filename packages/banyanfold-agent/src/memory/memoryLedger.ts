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

/** An engine clock that fell by more than this belongs to a new engine. */
const ENGINE_RESTART_STEP_MS = 1_000;

/** How a ledger is built. */
export interface MemoryLedgerOptions {
  clock: Clock;
  checksFencing: boolean;
  orderLateBoundMs: number;
  kvPool: KvPool;
  kvFloorShare: number;
  inheritedBoundMs: number;
  /** Names a copy that a report lists and no order here made. */
  createCopyId(artifact: string): string;
}

/**
 * The only authority on one engine's accelerator memory.
 *
 * Bytes are reserved before an order leaves and freed only on evidence: a
 * report taken, by the engine's clock, after the order is known to have
 * arrived or to be dead. Reports lag and orders are late, so an older report
 * that lacks a copy says nothing about a load that is still under way.
 */
export class MemoryLedger {
  /** How much may still be promised. */
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

  /** The copy of an artifact, in whatever state it is. */
  get(artifact: string): Allocation | undefined {
    return this.table.get(artifact);
  }

  all(): Allocation[] {
    return this.table.all();
  }

  hasReport(): boolean {
    return this.lastReport !== undefined;
  }

  /** Whether requests for an artifact can be served: it and its model. */
  canServe(artifact: string): boolean {
    return this.table.canServe(artifact);
  }

  /** A request for the artifact is admitted: it isn't unloaded meanwhile. */
  beginUse(artifact: string): void {
    this.table.updateUse(artifact, 1, this.nowMs());
  }

  endUse(artifact: string): void {
    this.table.updateUse(artifact, -1, this.nowMs());
  }

  /** Whether orders of an earlier incarnation can still change the engine. */
  isInQuarantine(): boolean {
    return !this.quarantine.isOver;
  }

  /** Whether requests may be admitted: their predecessors' use is known. */
  isKvUseKnown(): boolean {
    return this.quarantine.isKvUseKnown;
  }

  /** Whether an order under our fencing number is needed as a barrier. */
  needsBarrier(): boolean {
    if (!this.options.checksFencing) return false;
    return this.quarantine.needsBarrier || this.loadsInDoubt().length > 0;
  }

  /**
   * The engine took an order under a fencing number that is higher than that
   * of all orders in doubt: it refuses those from now on.
   *
   * @param visibleAfterMs engine clock: later reports show all earlier orders.
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

  /** Copies whose load order may or may not still arrive. */
  loadsInDoubt(): Allocation[] {
    return this.table.loadsInDoubt();
  }

  /** Sets a copy's bytes aside, before its load order leaves. */
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

  /** The load order leaves, for the first time or again. */
  noteLoadSent(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (allocation) allocation.loadSentAtMs = this.options.clock.nowMs();
  }

  /**
   * The engine took the order; copies of it do no more.
   *
   * @param visibleAfterMs engine clock: a later report shows the copy.
   */
  noteLoadAccepted(copyId: string, visibleAfterMs: number): void {
    const allocation = this.table.findByCopyId(copyId);
    if (!allocation || allocation.state === 'held') return;
    allocation.state = 'reserved';
    allocation.conclusiveAfterMs ??= visibleAfterMs;
  }

  /** The order's answer was lost, or it was refused and may be repeated. */
  noteLoadInDoubt(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (allocation?.state === 'reserved' && !allocation.isReported) {
      allocation.state = 'in-doubt';
    }
  }

  /** The order provably never left, or can never be taken. */
  noteLoadNeverSent(copyId: string): void {
    const allocation = this.table.findByCopyId(copyId);
    if (!allocation || allocation.isReported) return;
    this.table.delete(allocation.artifact);
  }

  /** The unload order is about to leave; its bytes stay counted. */
  startRelease(artifact: string, orderId: string): void {
    const allocation = this.table.get(artifact);
    if (!allocation) return;
    allocation.state = 'releasing';
    allocation.unloadOrderId = orderId;
    allocation.unloadVisibleAfterMs = undefined;
    allocation.unloadSentAtMs = this.nowMs();
    allocation.unloadSentBeforeEngineMs = undefined;
  }

  /** @param visibleAfterMs engine clock: a later report shows the unload. */
  noteUnloadAccepted(orderId: string, visibleAfterMs: number): void {
    const allocation = this.table.findByUnloadOrderId(orderId);
    if (allocation) allocation.unloadVisibleAfterMs = visibleAfterMs;
  }

  /** Takes a report as evidence, if it is newer than all before it. */
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
   * delivery has passed. Only a report taken after that moment, on the engine's
   * clock, proves that it didn't.
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
   * Every answer to an unload order can be lost, and its bytes would stay
   * counted for ever. An exchange that began after the order was sent gives a
   * moment of the engine's clock; a report taken after it, without the copy,
   * confirms the unload like an answer.
   */
  private noteUnloadsSentBefore({sentAtMs, engineNowMs}: ReportTiming): void {
    for (const allocation of this.all()) {
      const {state, unloadSentAtMs = Number.POSITIVE_INFINITY} = allocation;
      if (state !== 'releasing' || sentAtMs <= unloadSentAtMs) continue;
      allocation.unloadSentBeforeEngineMs ??= engineNowMs;
    }
  }

  /**
   * A new engine process has a new clock and may have forgotten fencing numbers
   * and order ids, so a late copy of an old order would load again. The start's
   * quarantine is repeated, and old times prove nothing any more.
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
