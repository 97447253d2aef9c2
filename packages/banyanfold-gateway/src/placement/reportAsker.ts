import type {Clock, Logger} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import type {RunnerControl, RunnerReport} from '../types.js';
import {dueReports} from './dueReports.js';
import type {RunnerController} from './runnerController.js';

/** Reports are asked for so often, a few at a time. */
export const REPORT_TICK_MS = 50;
/** Runners that nothing is known of which are asked at once. */
const UNKNOWN_AT_ONCE = 32;
const MS_PER_SECOND = 1000;

export interface ReportAskerOptions {
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
export class ReportAsker {
  /** Runners that were asked and have not answered yet. */
  private readonly open = new Set<string>();
  private readonly askedMs = new WeakMap<RunnerController, number>();
  private unknownLeft = UNKNOWN_AT_ONCE;
  private unknownLeftMs: number;

  constructor(private readonly deps: ReportAskerOptions) {
    this.unknownLeftMs = deps.clock.nowMs();
  }

  /** Asks those whose report is due, the longest unasked first. */
  askDue(controllers: readonly RunnerController[]): void {
    const {clock, options, processorShare} = this.deps;
    const nowMs = clock.nowMs();
    this.refill(nowMs);
    const states = controllers
      .filter(({registration}) => !this.open.has(registration.runnerId))
      .map(controller => ({
        key: controller,
        askedMs: this.askedMs.get(controller),
        isAwaited: controller.awaitsReport,
        isUnknown: isUnknown(controller),
      }));
    const due = dueReports(states, nowMs, {
      tickMs: REPORT_TICK_MS,
      intervalMs: options.reportIntervalMs,
      awaitedIntervalMs: options.busyReportIntervalMs,
      perSecond: options.reportsPerCoreSecond * processorShare,
      unknownLeft: Math.floor(this.unknownLeft),
    });
    for (const controller of due) {
      if (isUnknown(controller)) this.unknownLeft -= 1;
      void this.ask(controller);
    }
  }

  private refill(nowMs: number): void {
    const {options, processorShare} = this.deps;
    const perMs =
      (options.firstReportsPerCoreSecond * processorShare) / MS_PER_SECOND;
    const earned = (nowMs - this.unknownLeftMs) * perMs;
    this.unknownLeft = Math.min(UNKNOWN_AT_ONCE, this.unknownLeft + earned);
    this.unknownLeftMs = nowMs;
  }

  private async ask(controller: RunnerController): Promise<void> {
    const {control, logger, clock, onReport} = this.deps;
    const {runnerId, address} = controller.registration;
    if (this.open.has(runnerId)) return;
    this.open.add(runnerId);
    const askedMs = clock.nowMs();
    this.askedMs.set(controller, askedMs);
    const answer = await control.report(runnerId, address);
    this.open.delete(runnerId);
    if (answer.isOk()) return onReport(controller, answer.value, askedMs);
    controller.noteReportFailed();
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
  const {isKnown, isReachable, awaitsReport} = controller;
  return !isKnown && isReachable && !awaitsReport;
}
