import type {Clock, Logger} from '@banyanfold/core';
import {askReport} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentClients} from './agentClients.js';
import type {AgentState} from './agentState.js';
import type {ClusterView} from './clusterView.js';

/** What polling agents needs. */
export interface ReportPollerOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  view: ClusterView;
}

/** Asks every agent for its report; one question is open at an agent. */
export class ReportPoller {
  private readonly open = new Set<string>();

  constructor(
    private readonly options: ReportPollerOptions,
    private readonly clients: AgentClients,
  ) {}

  /** Resolves when every agent has answered or failed. */
  async pollAll(): Promise<boolean> {
    const agents = this.options.view.agents();
    await Promise.all(agents.map(agent => this.pollOne(agent)));
    return true;
  }

  private async pollOne(agent: AgentState): Promise<void> {
    if (this.open.has(agent.vmId)) return;
    this.open.add(agent.vmId);
    try {
      const report = await askReport(
        this.clients.clientFor(agent),
        agent.reportCursor(),
      );
      // A reused address may answer for another VM; its copies aren't ours.
      if (report.vmId !== agent.vmId) throw new Error('report of another VM');
      agent.applyReport(report, this.options.clock.nowMs());
    } catch (error) {
      this.noteFailure(agent, error);
    } finally {
      this.open.delete(agent.vmId);
    }
  }

  private noteFailure(agent: AgentState, error: unknown): void {
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
