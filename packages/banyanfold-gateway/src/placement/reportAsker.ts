import type {Clock, Logger} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import type {RunnerControl, RunnerReport} from '../types.js';
import {dueReports} from './dueReports.js';
import type {RunnerController} from './runnerController.js';

/** Reports are asked for so often, a few at a time. */
export const REPORT_TICK_MS = 50;

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

  constructor(private readonly deps: ReportAskerOptions) {}

  /** Asks those whose report is due, the longest unasked first. */
  askDue(controllers: readonly RunnerController[]): void {
    const {clock, options, processorShare} = this.deps;
    const states = controllers.map(controller => ({
      key: controller,
      askedMs: this.askedMs.get(controller),
      isAwaited:
        controller.awaitsReport ||
        (!controller.isKnown && controller.isReachable),
    }));
    const due = dueReports(states, clock.nowMs(), {
      tickMs: REPORT_TICK_MS,
      intervalMs: options.reportIntervalMs,
      awaitedIntervalMs: options.busyReportIntervalMs,
      perSecond: options.reportsPerCoreSecond * processorShare,
    });
    for (const controller of due) void this.ask(controller);
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
