import type {Clock, Logger} from '@banyanfold/core';
import {fetchReport} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentClients} from './agentClients.js';
import type {AgentState} from './agentState.js';
import type {ClusterView} from './clusterView.js';

/** Dependencies of a report poller. */
export interface ReportPollerOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  view: ClusterView;
}

/** Polls the agents' reports, with at most one request per agent in flight. */
export class ReportPoller {
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly options: ReportPollerOptions,
    private readonly clients: AgentClients,
  ) {}

  /** Resolves when the poll of every agent has succeeded or failed. */
  async pollAll(): Promise<boolean> {
    const agents = this.options.view.agents();
    await Promise.all(agents.map(agent => this.pollOne(agent)));
    return true;
  }

  private async pollOne(agent: AgentState): Promise<void> {
    if (this.inFlight.has(agent.vmId)) return;
    this.inFlight.add(agent.vmId);
    try {
      const report = await fetchReport(
        this.clients.clientFor(agent),
        agent.reportCursor(),
      );
      // A reused address may belong to another VM with other copies.
      if (report.vmId !== agent.vmId) throw new Error('report of another VM');
      agent.applyReport(report, this.options.clock.nowMs());
    } catch (error) {
      this.recordFailure(agent, error);
    } finally {
      this.inFlight.delete(agent.vmId);
    }
  }

  private recordFailure(agent: AgentState, error: unknown): void {
    const wasReachable = agent.runner.reachable;
    agent.reportFailed(this.options.settings.unreachableAfter);
    if (!wasReachable || agent.runner.reachable) return;
    this.options.logger.warn('agent-unreachable', {
      step: 'report',
      peer: agent.vmId,
      error: error instanceof Error ? error.message : String(error),
    });
  }
}
