import type {Clock, Logger} from '@banyanfold/core';
import {askReport} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentClients} from './agentClients.js';
import type {AgentState} from './agentState.js';
import type {ClusterView} from './clusterView.js';

/** The longest pause between polls of an agent that stays away. */
const MAX_PAUSE_INTERVALS = 8;

/** What polling agents needs. */
export interface ReportPollerOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  view: ClusterView;
  random: () => number;
}

/**
 * Asks every agent for its report; one question is open at an agent.
 *
 * A rack that is lost would be asked by each entry at the full rate, and by all
 * at once when it is back. So an agent that became unreachable is asked after
 * pauses with full jitter. The polls before that keep their pace, so routing
 * leaves it out as soon as ever; and the pause has a bound, so it is noticed
 * again in seconds. An answer that shows it alive, or a new address, ends the
 * pause at once.
 */
export class ReportPoller {
  private readonly open = new Set<string>();
  private readonly pausedUntilMs = new WeakMap<AgentState, number>();

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
    if (this.open.has(agent.vmId) || this.isPaused(agent)) return;
    this.open.add(agent.vmId);
    try {
      const report = await askReport(
        this.clients.of(agent),
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

  private isPaused(agent: AgentState): boolean {
    const untilMs = this.pausedUntilMs.get(agent) ?? -Infinity;
    return !agent.runner.reachable && this.options.clock.nowMs() < untilMs;
  }

  private pause(agent: AgentState): void {
    const {settings, clock, random} = this.options;
    const pauses = agent.failedReports - settings.unreachableAfter + 1;
    if (pauses <= 0) return;
    const intervals = Math.min(MAX_PAUSE_INTERVALS, 2 ** pauses);
    const pauseMs = random() * intervals * settings.reportIntervalMs;
    this.pausedUntilMs.set(agent, clock.nowMs() + pauseMs);
  }

  private noteFailure(agent: AgentState, error: unknown): void {
    const wasReachable = agent.runner.reachable;
    agent.reportFailed(this.options.settings.unreachableAfter);
    this.pause(agent);
    if (!wasReachable || agent.runner.reachable) return;
    this.options.logger.warn('agent-unreachable', {
      step: 'report',
      peer: agent.vmId,
      error: error instanceof Error ? error.message : String(error),
    });
  }
}
