import type {Clock, Logger} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import type {RunnerControl, RunnerReport} from '../types.js';
import {dueReports} from './dueReports.js';
import type {RunnerController} from './runnerController.js';

/** Reports are asked for so often, a few at a time. */
export const REPORT_TICK_MS = 50;
/** Runners that nothing is known of which are asked at once. */
const MAX_UNKNOWN_BURST = 32;
const MS_PER_SECOND = 1000;

export interface ReportPollerOptions {
  clock: Clock;
  logger: Logger;
  control: RunnerControl;
  options: GatewayOptions;
  /** Cores' worth of processor that the process may use. */
  processorShare: number;
  onReport(
    asked: RunnerController,
    report: RunnerReport,
    askedMs: number,
  ): void;
}

/** Asks runners for their reports, within the holder's processor. */
export class ReportPoller {
  /** Runners that were asked and have not answered yet. */
  private readonly inFlight = new Set<string>();
  private readonly lastRequestedMs = new WeakMap<RunnerController, number>();
  private unknownQuota = MAX_UNKNOWN_BURST;
  private quotaUpdatedMs: number;

  constructor(private readonly deps: ReportPollerOptions) {
    this.quotaUpdatedMs = deps.clock.nowMs();
  }

  /** Asks those whose report is due, the longest unasked first. */
  pollDue(controllers: readonly RunnerController[]): void {
    const {clock, options, processorShare} = this.deps;
    const nowMs = clock.nowMs();
    this.refillQuota(nowMs);
    const states = controllers
      .filter(({registration}) => !this.inFlight.has(registration.runnerId))
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
      void this.requestReport(controller);
    }
  }

  private refillQuota(nowMs: number): void {
    const {options, processorShare} = this.deps;
    const perMs =
      (options.firstReportsPerCoreSecond * processorShare) / MS_PER_SECOND;
    const gained = (nowMs - this.quotaUpdatedMs) * perMs;
    this.unknownQuota = Math.min(MAX_UNKNOWN_BURST, this.unknownQuota + gained);
    this.quotaUpdatedMs = nowMs;
  }

  private async requestReport(controller: RunnerController): Promise<void> {
    const {control, logger, clock, onReport} = this.deps;
    const {runnerId, address} = controller.registration;
    if (this.inFlight.has(runnerId)) return;
    this.inFlight.add(runnerId);
    const askedMs = clock.nowMs();
    this.lastRequestedMs.set(controller, askedMs);
    const answer = await control.report(runnerId, address);
    this.inFlight.delete(runnerId);
    if (answer.isOk()) return onReport(controller, answer.value, askedMs);
    controller.recordReportFailure();
    logger.warn('report-failed', {
      runner: runnerId,
      error: answer.error.message,
    });
  }
}

/**
 * One that doesn't answer is asked no more often than those that are known, and
 * one whose order is to be over is awaited in any case.
 */
function isUnknown(controller: RunnerController): boolean {
  const {isReady: isKnown, isReachable, isReportDue: awaitsReport} = controller;
  return !isKnown && isReachable && !awaitsReport;
}
