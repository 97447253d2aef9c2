import type {Clock, Logger, Metrics, Timer} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {EngineClient} from '../engine/engineClient.js';
import type {EngineReport} from '../engine/engineSchemas.js';
import type {FencingTokenManager} from '../engine/fencingTokenManager.js';
import type {OrderSender} from '../engine/orderSender.js';
import type {LedgerEvent} from '../memory/allocation.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';

/** While the log is out, new numbers are asked for no more often. */
const BARRIER_RETRY_CAP_MS = 5_000;

/** What an engine watch works with. */
export interface EngineWatchOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
  engine: Pick<EngineClient, 'report'>;
  ledger: MemoryLedger;
  orders: OrderSender;
  fence: FencingTokenManager;
  intervalMs: number;
  /** The role to repeat in a barrier, which must change nothing. */
  runnerRole(): string;
  nextOrderId(artifact: string): string;
  onReport(report: EngineReport): void;
}

/** Reads the engine's reports, one at a time, and feeds the ledger. */
export class EngineWatch {
  private timer: Timer | undefined;
  private stopped = false;
  private barrierOpen = false;
  private barrierFencing = 0;
  private barrierNotBeforeMs = 0;
  private isOut = false;
  private readonly backoff: Backoff;

  constructor(private readonly options: EngineWatchOptions) {
    const {random} = options;
    this.backoff = new Backoff({capMs: BARRIER_RETRY_CAP_MS, random});
  }

  /** Reads once, then at each interval. */
  async start(): Promise<void> {
    await this.poll();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private async poll(): Promise<void> {
    await this.readReport();
    void this.passBarrier();
    if (this.stopped) return;
    const {clock, intervalMs} = this.options;
    this.timer = clock.setTimer(intervalMs, () => void this.poll());
  }

  private async readReport(): Promise<void> {
    const {engine, ledger, logger, metrics, onReport} = this.options;
    const answer = await engine.report();
    if (answer.isErr()) {
      const {code, step, peer} = answer.error;
      metrics.count('agent_engine_report_failures_total');
      // Once an outage, not four times a second.
      if (!this.isOut) logger.warn('report-failed', {code, step, peer});
      this.isOut = true;
      return;
    }
    this.isOut = false;
    const {report, timing} = answer.value;
    const events = ledger.observe(report, timing);
    for (const event of events) this.note(event, report.takenAtMs);
    onReport(report);
  }

  private note(event: LedgerEvent, takenAtMs: number): void {
    const {logger, metrics, orders, nextOrderId} = this.options;
    const {kind, artifact, copyId} = event;
    metrics.count('agent_ledger_events_total', {kind});
    logger.info('ledger', {kind, artifact, copy: copyId, takenAtMs});
    if (kind !== 'unload-ignored') return;
    void orders.unload(artifact, () => nextOrderId(artifact));
  }

  /**
   * Ends what earlier fencing numbers may still bring: at the start what a
   * predecessor sent, later the load orders of our own that are in doubt. The
   * latter bear our number, so a higher one is taken for it.
   */
  private async passBarrier(): Promise<void> {
    const {clock, ledger, fence} = this.options;
    if (this.barrierOpen || !ledger.needsBarrier()) return;
    if (fence.current() === undefined) return;
    if (clock.nowMs() < this.barrierNotBeforeMs) return;
    this.barrierOpen = true;
    const doubtful = ledger.doubts().map(({copyId}) => copyId);
    const visibleAfterMs = await this.sendBarrier(doubtful.length > 0);
    this.barrierOpen = false;
    if (visibleAfterMs !== undefined) {
      ledger.barrierPassed(visibleAfterMs, doubtful);
      this.backoff.reset();
      return;
    }
    this.barrierNotBeforeMs = clock.nowMs() + this.backoff.nextDelayMs();
  }

  /** @returns when reports show it, on the engine's clock, or undefined. */
  private async sendBarrier(hasDoubts: boolean): Promise<number | undefined> {
    const {fence, orders, runnerRole, nextOrderId} = this.options;
    const needsNumber = hasDoubts && this.barrierFencing === fence.current();
    if (needsNumber && !(await fence.tryAcquire())) return undefined;
    this.barrierFencing = fence.current() ?? 0;
    return orders.setRole(runnerRole(), nextOrderId('barrier'));
  }
}
