import {type Clock, type Logger, runInBackground} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import {
  UNREADABLE_REPORT,
  type RunnerControl,
  type RunnerReport,
} from '../types.js';
import {dueReports} from './dueReports.js';
import type {RunnerController} from './runnerController.js';

/** Interval at which a few reports at a time are requested. */
export const REPORT_TICK_MS = 50;
/** Maximum number of unknown runners that are queried at once. */
const MAX_UNKNOWN_BURST = 32;
/**
 * Pause after a report that was too long, which costs the link of a small VM
 * half a second.
 */
const TOO_LARGE_PAUSE_MS = 5_000;
const TOO_LARGE = 'too-large';
const MS_PER_SECOND = 1000;

export interface ReportPollerOptions {
  clock: Clock;
  logger: Logger;
  control: RunnerControl;
  options: GatewayOptions;
  /** Number of cores that the process may use. */
  processorShare: number;
  onReport(
    controller: RunnerController,
    report: RunnerReport,
    requestedMs: number,
  ): void;
}

/**
 * Requests the reports of runners at a rate that the holder's processor share
 * allows.
 */
export class ReportPoller {
  /** Runners whose report was requested and has not arrived yet. */
  private readonly inFlight = new Set<string>();
  private readonly lastRequestedMs = new WeakMap<RunnerController, number>();
  private readonly pausedUntilMs = new WeakMap<RunnerController, number>();
  private unknownQuota = MAX_UNKNOWN_BURST;
  private quotaUpdatedMs: number;

  constructor(private readonly deps: ReportPollerOptions) {
    this.quotaUpdatedMs = deps.clock.nowMs();
  }

  /**
   * Requests the reports that are due, those that have waited longest first.
   */
  pollDue(controllers: readonly RunnerController[]): void {
    const {clock, options, processorShare} = this.deps;
    const nowMs = clock.nowMs();
    this.refillQuota(nowMs);
    const states = controllers
      .filter(({registration}) => !this.inFlight.has(registration.runnerId))
      .filter(runner => nowMs >= (this.pausedUntilMs.get(runner) ?? 0))
      .map(controller => ({
        key: controller,
        lastRequestedMs: this.lastRequestedMs.get(controller),
        isAwaited: controller.isReportDue,
        isUnknown: isUnknown(controller),
      }));
    const due = dueReports(states, nowMs, {
      tickMs: REPORT_TICK_MS,
      intervalMs: options.reportIntervalMs,
      awaitedIntervalMs: options.busyReportIntervalMs,
      perSecond: options.reportsPerCoreSecond * processorShare,
      unknownQuota: Math.floor(this.unknownQuota),
    });
    for (const controller of due) {
      if (isUnknown(controller)) this.unknownQuota -= 1;
      this.requestInBackground(controller);
    }
  }

  private refillQuota(nowMs: number): void {
    const {options, processorShare} = this.deps;
    const perMs =
      (options.firstReportsPerCoreSecond * processorShare) / MS_PER_SECOND;
    const replenished = (nowMs - this.quotaUpdatedMs) * perMs;
    this.unknownQuota = Math.min(
      MAX_UNKNOWN_BURST,
      this.unknownQuota + replenished,
    );
    this.quotaUpdatedMs = nowMs;
  }

  private requestInBackground(controller: RunnerController): void {
    const {logger, clock} = this.deps;
    const {runnerId} = controller.registration;
    if (this.inFlight.has(runnerId)) return;
    this.inFlight.add(runnerId);
    this.lastRequestedMs.set(controller, clock.nowMs());
    runInBackground({logger, step: 'report', peer: runnerId}, async () => {
      try {
        await this.requestReport(controller);
      } catch (thrown) {
        controller.recordReportFailure();
        throw thrown;
      } finally {
        this.inFlight.delete(runnerId);
      }
    });
  }

  private async requestReport(controller: RunnerController): Promise<void> {
    const {control, logger, clock, onReport} = this.deps;
    const {runnerId, address} = controller.registration;
    const requestedMs = clock.nowMs();
    const result = await control.report(runnerId, address);
    if (result.isOk()) return onReport(controller, result.value, requestedMs);
    const {code, message} = result.error;
    // The runner is there and serves what its last readable report lists.
    if (code !== UNREADABLE_REPORT) controller.recordReportFailure();
    if (code === TOO_LARGE) {
      this.pausedUntilMs.set(controller, clock.nowMs() + TOO_LARGE_PAUSE_MS);
    }
    logger.warn('report-failed', {runner: runnerId, code, error: message});
  }
}

/**
 * Whether no report of the runner has arrived. A runner that doesn't answer is
 * queried no more often than known ones, and one whose order should be complete
 * is awaited in any case.
 */
function isUnknown(controller: RunnerController): boolean {
  const {isReady, isReachable, isReportDue} = controller;
  return !isReady && isReachable && !isReportDue;
}
