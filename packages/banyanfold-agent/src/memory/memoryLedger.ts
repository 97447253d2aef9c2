import type {Clock} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {
  forgetEngineTimes,
  type Allocation,
  type LedgerEvent,
  type LedgerReport,
  type ReportTiming,
  type ReserveRefusal,
} from './allocation.js';
import {AllocationTable} from './allocationTable.js';
import {judgeAbsent, judgeListed} from './judgeReport.js';
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
  nameCopy(artifact: string): string;
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
  private latest: LedgerReport | undefined;
  private lastEngineNowMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MemoryLedgerOptions) {
    const startMs = options.clock.nowMs();
    this.quarantine = new Quarantine({...options, startMs});
    this.budget = new MemoryBudget({
      ...options,
      table: this.table,
      inQuarantine: () => this.inQuarantine(),
      isFresh: () => this.isFresh(),
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
    return this.latest !== undefined;
  }

  /** Whether requests for an artifact can be served: it and its model. */
  canServe(artifact: string): boolean {
    return this.table.canServe(artifact);
  }

  /** A request for the artifact is admitted: it isn't unloaded meanwhile. */
  beginUse(artifact: string): void {
    this.table.countUse(artifact, 1, this.nowMs());
  }

  endUse(artifact: string): void {
    this.table.countUse(artifact, -1, this.nowMs());
  }

  /** Whether orders of an earlier incarnation can still change the engine. */
  inQuarantine(): boolean {
    return !this.quarantine.isOver;
  }

  /** Whether requests may be admitted: their predecessors' use is known. */
  isFresh(): boolean {
    return this.quarantine.isFresh;
  }

  /** Whether an order under our fencing number is needed as a barrier. */
  needsBarrier(): boolean {
    if (!this.options.checksFencing) return false;
    return this.quarantine.needsBarrier || this.doubts().length > 0;
  }

  /**
   * The engine took an order under a fencing number that is higher than that
   * of all orders in doubt: it refuses those from now on.
   *
   * @param visibleAfterMs engine clock: later reports show all earlier orders.
   */
  barrierPassed(visibleAfterMs: number, doubtful: readonly string[]): void {
    if (!this.options.checksFencing) return;
    this.quarantine.barrierPassed(visibleAfterMs);
    for (const allocation of this.doubts()) {
      if (!doubtful.includes(allocation.copyId)) continue;
      allocation.provenAfterMs = visibleAfterMs;
    }
  }

  /** Copies whose load order may or may not still arrive. */
  doubts(): Allocation[] {
    return this.table.doubts();
  }

  /** Sets a copy's bytes aside, before its load order leaves. */
  reserveLoad(order: {
    artifact: string;
    bytes: number;
    orderId: string;
  }): Result<Allocation, ReserveRefusal> {
    const present = this.table.get(order.artifact);
    if (present?.state === 'releasing' || present?.retiring) {
      return err('releasing');
    }
    if (present) return ok(present);
    if (!this.latest) return err('no-report');
    if (this.inQuarantine()) return err('quarantine');
    if (order.bytes > this.budget.freeBytes()) return err('no-memory');
    const nowMs = this.options.clock.nowMs();
    const allocation: Allocation = {
      artifact: order.artifact,
      bytes: order.bytes,
      state: 'reserved',
      copyId: order.orderId,
      loadSentMs: nowMs,
      seen: false,
      users: 0,
      lastUsedMs: nowMs,
      retiring: false,
      isInherited: false,
      knownSinceMs: nowMs,
    };
    this.table.set(allocation);
    return ok(allocation);
  }

  /** The load order leaves, for the first time or again. */
  loadSent(copyId: string): void {
    const allocation = this.table.byCopy(copyId);
    if (allocation) allocation.loadSentMs = this.options.clock.nowMs();
  }

  /**
   * The engine took the order; copies of it do no more.
   *
   * @param visibleAfterMs engine clock: a later report shows the copy.
   */
  loadReceived(copyId: string, visibleAfterMs: number): void {
    const allocation = this.table.byCopy(copyId);
    if (!allocation || allocation.state === 'held') return;
    allocation.state = 'reserved';
    allocation.provenAfterMs ??= visibleAfterMs;
  }

  /** The order's answer was lost, or it was refused and may be repeated. */
  loadInDoubt(copyId: string): void {
    const allocation = this.table.byCopy(copyId);
    if (allocation?.state === 'reserved' && !allocation.seen) {
      allocation.state = 'in-doubt';
    }
  }

  /** The order provably never left, or can never be taken. */
  loadNeverSent(copyId: string): void {
    const allocation = this.table.byCopy(copyId);
    if (!allocation || allocation.seen) return;
    this.table.delete(allocation.artifact);
  }

  /** The unload order is about to leave; its bytes stay counted. */
  startRelease(artifact: string, orderId: string): void {
    const allocation = this.table.get(artifact);
    if (!allocation) return;
    allocation.state = 'releasing';
    allocation.unloadOrderId = orderId;
    allocation.unloadReceivedMs = undefined;
    allocation.unloadSentMs = this.nowMs();
    allocation.unloadSentByMs = undefined;
  }

  /** @param visibleAfterMs engine clock: a later report shows the unload. */
  unloadReceived(orderId: string, visibleAfterMs: number): void {
    const allocation = this.table.byUnloadOrder(orderId);
    if (allocation) allocation.unloadReceivedMs = visibleAfterMs;
  }

  /** Takes a report as evidence, if it is newer than all before it. */
  observe(report: LedgerReport, timing: ReportTiming): LedgerEvent[] {
    const events = this.noticeEngineRestart(timing);
    this.quarantine.noteTiming(timing);
    this.endLateBounds(timing);
    this.noteSentUnloads(timing);
    if (report.takenAtMs <= (this.latest?.takenAtMs ?? -1)) return events;
    this.latest = report;
    this.quarantine.noteReport(report.takenAtMs);
    this.budget.observe(report);
    return [...events, ...this.judge(report)];
  }

  private judge(report: LedgerReport): LedgerEvent[] {
    const events: LedgerEvent[] = [];
    const {takenAtMs, models} = report;
    const {nameCopy} = this.options;
    const context = {takenAtMs, nowMs: this.nowMs(), nameCopy};
    for (const model of models) {
      const known = this.table.get(model.artifact);
      const judged = judgeListed(known, model, context);
      if (judged.adopt) this.table.set(judged.adopt);
      if (judged.event) events.push(judged.event);
    }
    const listed = new Set(models.map(({artifact}) => artifact));
    for (const allocation of this.all()) {
      if (listed.has(allocation.artifact)) continue;
      const event = judgeAbsent(allocation, takenAtMs);
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
  private endLateBounds(timing: ReportTiming): void {
    if (this.options.checksFencing) return;
    const {orderLateBoundMs} = this.options;
    for (const doubt of this.doubts()) {
      const endMs = (doubt.loadSentMs ?? 0) + orderLateBoundMs;
      if (timing.askedAtMs >= endMs) doubt.provenAfterMs = timing.engineNowMs;
    }
  }

  /**
   * Every answer to an unload order can be lost, and its bytes would stay
   * counted for ever. An exchange that began after the order was sent gives a
   * moment of the engine's clock; a report taken after it, without the copy,
   * confirms the unload like an answer.
   */
  private noteSentUnloads({askedAtMs, engineNowMs}: ReportTiming): void {
    for (const allocation of this.all()) {
      const {state, unloadSentMs = Number.POSITIVE_INFINITY} = allocation;
      if (state !== 'releasing' || askedAtMs <= unloadSentMs) continue;
      allocation.unloadSentByMs ??= engineNowMs;
    }
  }

  /**
   * A new engine process has a new clock and may have forgotten fencing numbers
   * and order ids, so a late copy of an old order would load again. The start's
   * quarantine is repeated, and old times prove nothing any more.
   */
  private noticeEngineRestart(timing: ReportTiming): LedgerEvent[] {
    const previousMs = this.lastEngineNowMs;
    this.lastEngineNowMs = timing.engineNowMs;
    if (timing.engineNowMs >= previousMs - ENGINE_RESTART_STEP_MS) return [];
    this.quarantine.restart(this.nowMs());
    if (this.latest) this.latest = {...this.latest, takenAtMs: -1};
    for (const allocation of this.all()) {
      forgetEngineTimes(allocation, timing.engineNowMs, this.nowMs());
    }
    return [{kind: 'engine-restarted', artifact: '', copyId: ''}];
  }
}
