import type {Clock} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import type {
  Allocation,
  LedgerEvent,
  LedgerReport,
  ReportTiming,
  ReserveRefusal,
} from './allocation.js';
import {KvAccount} from './kvAccount.js';
import {judgeAbsent, judgeListed} from './judgeReport.js';

/** An engine clock that fell by more than this belongs to a new engine. */
const ENGINE_RESTART_STEP_MS = 1_000;

export type KvPool = 'shared' | 'separate';

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
  private readonly allocations = new Map<string, Allocation>();
  private readonly kv: KvAccount;
  private latest: LedgerReport | undefined;
  private lastEngineNowMs = Number.NEGATIVE_INFINITY;
  private quarantineStartMs: number;
  /** Engine clock: a report taken later shows all that there is. */
  private certainAfterMs: number | undefined;
  private certain = false;

  constructor(private readonly options: MemoryLedgerOptions) {
    this.quarantineStartMs = options.clock.nowMs();
    this.kv = new KvAccount({
      startMs: this.quarantineStartMs,
      inheritedBoundMs: options.inheritedBoundMs,
    });
  }

  /** The copy of an artifact, in whatever state it is. */
  get(artifact: string): Allocation | undefined {
    return this.allocations.get(artifact);
  }

  all(): Allocation[] {
    return [...this.allocations.values()];
  }

  hasReport(): boolean {
    return this.latest !== undefined;
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

  weightBytes(): number {
    let total = 0;
    for (const {bytes} of this.allocations.values()) total += bytes;
    return total;
  }

  /** What a load may take now. */
  freeBytes(): number {
    const free =
      this.capacityBytes() - this.weightBytes() - this.kvShareBytes();
    return Math.max(0, free);
  }

  /**
   * What a request's KV cache may take now. Until the inventory is certain it
   * is kept to the floor: a predecessor's late load may still come, and loads
   * never take the floor.
   */
  kvFreeBytes(): number {
    const ceilingBytes = Math.min(this.kvCapacityBytes(), this.kvRoomBytes());
    return Math.max(0, ceilingBytes - this.kvCommittedBytes());
  }

  /** Whether requests for an artifact can be served: it and its model. */
  canServe(artifact: string): boolean {
    return neededArtifacts(artifact).every(needed => {
      const allocation = this.allocations.get(needed);
      return allocation?.state === 'held' && !allocation.retiring;
    });
  }

  /** A request for the artifact is admitted: it isn't unloaded meanwhile. */
  beginUse(artifact: string): void {
    this.countUse(artifact, 1);
  }

  endUse(artifact: string): void {
    this.countUse(artifact, -1);
  }

  reserveKv(requestKey: string, bytes: number): void {
    this.kv.reserve(requestKey, bytes);
  }

  releaseKv(requestKey: string): void {
    this.kv.release(requestKey);
  }

  /** Whether orders of an earlier incarnation can still change the engine. */
  inQuarantine(): boolean {
    return !this.certain;
  }

  /** Whether an order under our fencing number is needed as a barrier. */
  needsBarrier(): boolean {
    if (!this.options.checksFencing) return false;
    return this.certainAfterMs === undefined || this.doubts().length > 0;
  }

  /**
   * The engine took an order under a fencing number that is higher than that
   * of all orders in doubt: it refuses those from now on.
   */
  barrierPassed(receivedAtMs: number, doubtful: readonly string[]): void {
    if (!this.options.checksFencing) return;
    this.certainAfterMs ??= receivedAtMs;
    for (const allocation of this.doubts()) {
      if (!doubtful.includes(allocation.copyId)) continue;
      allocation.provenAfterMs = receivedAtMs;
    }
  }

  /** Copies whose load order may or may not still arrive. */
  doubts(): Allocation[] {
    return this.all().filter(
      ({state, provenAfterMs}) =>
        state === 'in-doubt' && provenAfterMs === undefined,
    );
  }

  /** Sets a copy's bytes aside, before its load order leaves. */
  reserveLoad(order: {
    artifact: string;
    bytes: number;
    orderId: string;
  }): Result<Allocation, ReserveRefusal> {
    const present = this.allocations.get(order.artifact);
    if (present?.state === 'releasing' || present?.retiring) {
      return err('releasing');
    }
    if (present) return ok(present);
    if (!this.latest) return err('no-report');
    if (!this.certain) return err('quarantine');
    if (order.bytes > this.freeBytes()) return err('no-memory');
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
    this.allocations.set(order.artifact, allocation);
    return ok(allocation);
  }

  /** The load order leaves, for the first time or again. */
  loadSent(copyId: string): void {
    const allocation = this.byCopy(copyId);
    if (allocation) allocation.loadSentMs = this.options.clock.nowMs();
  }

  /** The engine said when it took the order; copies of it do no more. */
  loadReceived(copyId: string, receivedAtMs: number): void {
    const allocation = this.byCopy(copyId);
    if (!allocation || allocation.state === 'held') return;
    allocation.state = 'reserved';
    allocation.provenAfterMs ??= receivedAtMs;
  }

  /** The order's answer was lost, or it was refused and may be repeated. */
  loadInDoubt(copyId: string): void {
    const allocation = this.byCopy(copyId);
    if (allocation?.state === 'reserved' && !allocation.seen) {
      allocation.state = 'in-doubt';
    }
  }

  /** The order provably never left, or can never be taken. */
  loadNeverSent(copyId: string): void {
    const allocation = this.byCopy(copyId);
    if (!allocation || allocation.seen) return;
    this.allocations.delete(allocation.artifact);
  }

  /** The unload order is about to leave; its bytes stay counted. */
  startRelease(artifact: string, orderId: string): void {
    const allocation = this.allocations.get(artifact);
    if (!allocation) return;
    allocation.state = 'releasing';
    allocation.unloadOrderId = orderId;
    allocation.unloadReceivedMs = undefined;
  }

  unloadReceived(orderId: string, receivedAtMs: number): void {
    const allocation = this.all().find(a => a.unloadOrderId === orderId);
    if (allocation) allocation.unloadReceivedMs = receivedAtMs;
  }

  /** Takes a report as evidence, if it is newer than all before it. */
  observe(report: LedgerReport, timing: ReportTiming): LedgerEvent[] {
    const events = this.noticeEngineRestart(timing);
    this.endLateBounds(timing);
    if (report.takenAtMs <= (this.latest?.takenAtMs ?? -1)) return events;
    this.latest = report;
    this.kv.observe(report);
    const listed = new Set(report.models.map(({artifact}) => artifact));
    for (const model of report.models) {
      const known = this.allocations.get(model.artifact);
      const context = {
        takenAtMs: report.takenAtMs,
        nowMs: this.nowMs(),
        nameCopy: this.options.nameCopy,
      };
      const judged = judgeListed(known, model, context);
      if (judged.adopt) this.allocations.set(model.artifact, judged.adopt);
      if (judged.event) events.push(judged.event);
    }
    for (const allocation of this.all()) {
      if (listed.has(allocation.artifact)) continue;
      const event = judgeAbsent(allocation, report.takenAtMs);
      if (!event) continue;
      this.allocations.delete(allocation.artifact);
      events.push(event);
    }
    if (report.takenAtMs > (this.certainAfterMs ?? Number.POSITIVE_INFINITY)) {
      this.certain = true;
    }
    return events;
  }

  private countUse(artifact: string, change: 1 | -1): void {
    for (const needed of neededArtifacts(artifact)) {
      const allocation = this.allocations.get(needed);
      if (!allocation) continue;
      allocation.users = Math.max(0, allocation.users + change);
      allocation.lastUsedMs = this.nowMs();
    }
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
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
    if (this.options.kvPool === 'separate') return this.kvCapacityBytes();
    const memoryBytes = this.capacityBytes() - this.weightBytes();
    if (this.certain) return memoryBytes;
    return Math.min(memoryBytes, this.kvFloorBytes());
  }

  private kvCommittedBytes(): number {
    return this.kv.committedBytes(this.nowMs());
  }

  private byCopy(copyId: string): Allocation | undefined {
    return this.all().find(allocation => allocation.copyId === copyId);
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
    const endMs = this.quarantineStartMs + orderLateBoundMs;
    if (timing.askedAtMs >= endMs) this.certainAfterMs ??= timing.engineNowMs;
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
    this.certain = false;
    this.certainAfterMs = undefined;
    this.quarantineStartMs = this.nowMs();
    if (this.latest) this.latest = {...this.latest, takenAtMs: -1};
    for (const allocation of this.all()) {
      forgetEngineTimes(allocation, timing.engineNowMs, this.nowMs());
    }
    return [{kind: 'engine-restarted', artifact: '', copyId: ''}];
  }
}

/**
 * The model of an artifact; a model is its own.
 *
 * @example modelOf('claims@3+suva@1') // 'claims@3'
 */
export function modelOf(artifact: string): string {
  return artifact.split('+')[0] ?? artifact;
}

function neededArtifacts(artifact: string): string[] {
  const model = modelOf(artifact);
  return model === artifact ? [artifact] : [artifact, model];
}

function forgetEngineTimes(
  allocation: Allocation,
  engineNowMs: number,
  nowMs: number,
): void {
  const isDoubt = allocation.state === 'in-doubt';
  allocation.provenAfterMs = isDoubt ? undefined : engineNowMs;
  if (isDoubt) allocation.loadSentMs = nowMs;
  if (allocation.unloadReceivedMs !== undefined) {
    allocation.unloadReceivedMs = engineNowMs;
  }
}
