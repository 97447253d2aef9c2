import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {EngineClient} from '../engine/engineClient.js';
import type {EngineReport} from '../engine/engineSchemas.js';
import type {FencingTokenManager} from '../engine/fencingTokenManager.js';
import type {OrderSender} from '../engine/orderSender.js';
import type {LedgerEvent} from '../memory/allocation.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';

/**
 * The longest backoff between barriers. During a log outage it limits the
 * requests for new fencing tokens.
 */
const BARRIER_RETRY_CAP_MS = 5_000;

/** Options of {@link EngineMonitor}. */
export interface EngineMonitorOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
  engine: Pick<EngineClient, 'report'>;
  ledger: MemoryLedger;
  orders: OrderSender;
  fence: FencingTokenManager;
  intervalMs: number;
  /** The current role. A barrier sets it again and so has no other effect. */
  runnerRole(): string;
  nextOrderId(artifact: string): string;
  onReport(report: EngineReport): void;
}

/**
 * Polls the engine's reports, one request at a time, and updates the ledger.
 * Sends a barrier order when the ledger needs one.
 */
export class EngineMonitor {
  private timer: Timer | undefined;
  private stopped = false;
  private isBarrierInFlight = false;
  private lastBarrierFencing = 0;
  private nextBarrierAtMs = 0;
  private readFailed = false;
  private readonly backoff: Backoff;

  constructor(private readonly options: EngineMonitorOptions) {
    const {random} = options;
    this.backoff = new Backoff({capMs: BARRIER_RETRY_CAP_MS, random});
  }

  /** Reads a report and resolves; later reports are read at each interval. */
  async start(): Promise<void> {
    await this.poll();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private async poll(): Promise<void> {
    const {clock, logger, intervalMs} = this.options;
    try {
      await this.readReport();
      runInBackground({logger, step: 'send-barrier'}, () =>
        this.sendBarrierIfNeeded(),
      );
    } finally {
      if (!this.stopped) {
        this.timer = clock.setTimer(intervalMs, () =>
          runInBackground({logger, step: 'poll-engine'}, () => this.poll()),
        );
      }
    }
  }

  private async readReport(): Promise<void> {
    const {engine, ledger, logger, metrics, onReport} = this.options;
    const answer = await engine.report();
    if (answer.isErr()) {
      const {code, step, peer} = answer.error;
      metrics.count('agent_engine_report_failures_total');
      // Log once per outage rather than four times a second.
      if (!this.readFailed) logger.warn('report-failed', {code, step, peer});
      this.readFailed = true;
      return;
    }
    this.readFailed = false;
    const {report, timing} = answer.value;
    const events = ledger.observe(report, timing);
    for (const event of events) this.recordLedgerEvent(event, report.takenAtMs);
    onReport(report);
  }

  private recordLedgerEvent(event: LedgerEvent, takenAtMs: number): void {
    const {logger, metrics, orders, nextOrderId} = this.options;
    const {kind, artifact, copyId} = event;
    metrics.count('agent_ledger_events_total', {kind});
    logger.info('ledger', {kind, artifact, copy: copyId, takenAtMs});
    if (kind !== 'unload-ignored') return;
    runInBackground({logger, step: 'unload', peer: artifact}, () =>
      orders.unload(artifact, () => nextOrderId(artifact)),
    );
  }

  /**
   * Makes the engine reject orders with earlier fencing tokens: after the start
   * those of the previous agent process, later this agent's own load orders
   * that are in doubt. The latter carry the current token, so the barrier needs
   * a higher one.
   */
  private async sendBarrierIfNeeded(): Promise<void> {
    const {clock, ledger, fence} = this.options;
    if (this.isBarrierInFlight || !ledger.needsBarrier()) return;
    if (fence.current() === undefined) return;
    if (clock.nowMs() < this.nextBarrierAtMs) return;
    this.isBarrierInFlight = true;
    const inDoubtCopyIds = ledger.loadsInDoubt().map(({copyId}) => copyId);
    const visibleAfterMs = await this.sendBarrier(
      inDoubtCopyIds.length > 0,
    ).finally(() => {
      this.isBarrierInFlight = false;
    });
    if (visibleAfterMs !== undefined) {
      ledger.noteBarrierAccepted(visibleAfterMs, inDoubtCopyIds);
      this.backoff.reset();
      return;
    }
    this.nextBarrierAtMs = clock.nowMs() + this.backoff.nextDelayMs();
  }

  /**
   * @returns the time on the engine's clock after which reports reflect the
   *     barrier, or undefined if the engine did not confirm it.
   */
  private async sendBarrier(
    hasLoadsInDoubt: boolean,
  ): Promise<number | undefined> {
    const {fence, orders, runnerRole, nextOrderId} = this.options;
    const needsNewFencing =
      hasLoadsInDoubt && this.lastBarrierFencing === fence.current();
    if (needsNewFencing && !(await fence.tryAcquire())) return undefined;
    this.lastBarrierFencing = fence.current() ?? 0;
    return orders.setRole(runnerRole(), nextOrderId('barrier'));
  }
}
