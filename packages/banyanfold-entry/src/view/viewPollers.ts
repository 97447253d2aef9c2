import {runInBackground} from '@banyanfold/core';
import type {VmListService} from '@banyanfold/log';
import type {EntryContext} from '../context.js';
import {AgentClients} from './agentClients.js';
import {Poller} from './poller.js';
import {ReportPoller} from './reportPoller.js';

const MAX_VM_LIST_BACKOFF_MS = 10_000;

/** Updates the cluster view from the VM list and the agents' reports. */
export class ViewPollers {
  private readonly vmListPoller: Poller;
  private readonly reportPoller: Poller;
  private readonly reports: ReportPoller;
  private vmListFailed = false;

  constructor(
    private readonly context: EntryContext,
    private readonly vmList: VmListService,
  ) {
    const {clock, logger, random, settings} = context;
    this.reports = new ReportPoller(
      context,
      new AgentClients(settings, settings.reportTimeoutMs),
    );
    this.vmListPoller = new Poller({
      clock,
      logger,
      random,
      intervalMs: settings.vmListIntervalMs,
      maxBackoffMs: MAX_VM_LIST_BACKOFF_MS,
      poll: () => this.pollVmList(),
    });
    this.reportPoller = new Poller({
      clock,
      logger,
      random,
      intervalMs: settings.reportIntervalMs,
      maxBackoffMs: settings.reportIntervalMs,
      // Not awaited, so that an unresponsive agent doesn't delay the others.
      poll: async () => {
        runInBackground({logger, step: 'poll-reports'}, () =>
          this.reports.pollAll(),
        );
        return true;
      },
    });
  }

  /** Resolves after the first attempt to read the VM list. */
  async start(): Promise<void> {
    await this.vmListPoller.start();
    this.reportPoller.startInBackground();
  }

  stop(): void {
    this.vmListPoller.stop();
    this.reportPoller.stop();
  }

  /** If the list can't be read, the last one stays in use. */
  private async pollVmList(): Promise<boolean> {
    const {logger, view} = this.context;
    const list = await this.vmList.read();
    const failed = list.isErr();
    if (list.isOk()) view.applyVmList(list.value);
    if (failed && !this.vmListFailed) {
      const {code, step, peer} = list.error;
      logger.warn('vm-list-failed', {code, step, peer});
    }
    this.vmListFailed = failed;
    return !failed;
  }
}
