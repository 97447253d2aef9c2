import type {
  Move,
  PlacementCopy,
  PlacementRunner,
  PlacementView,
} from '@banyanfold/decisions';
import type {AgentReport} from '@banyanfold/protocol';
import type {EntryContext} from '../context.js';
import type {AgentState} from '../view/agentState.js';
import type {DemandMeter} from './demandMeter.js';
import type {ServiceTimes} from './serviceTimes.js';

/** Measurements of the planner, by artifact. */
export interface ArtifactMeasurements {
  demand: DemandMeter;
  serviceTimes: ServiceTimes;
}

/** A move that an agent accepted but hasn't reported yet. */
export interface PendingMove {
  move: Move;
  copyId: string;
  /** Position of the agent's digest when the move was proposed. */
  incarnation: number;
  sequence: number;
}

/** Whether the agent's report is newer than the move. */
export function isReported(pending: PendingMove, agent: AgentState): boolean {
  const {report} = agent;
  if (!report) return false;
  if (report.incarnation !== pending.incarnation) return true;
  return report.sequence > pending.sequence;
}

/**
 * Whether each live agent has reported or is considered unreachable. A planner
 * that starts earlier would treat the copies of the other agents as missing and
 * load all of them again.
 */
export function isViewComplete(context: EntryContext): boolean {
  const {view, settings} = context;
  const live = view.agents().filter(agent => agent.vm.state === 'live');
  return (
    live.length > 0 &&
    live.every(
      agent =>
        agent.report !== undefined ||
        agent.failedReports >= settings.unreachableAfter,
    )
  );
}

/**
 * Builds the input of the placement decision from reports, demand and pending
 * moves. Consumes the misses of the demand meter.
 */
export function buildPlacementView(
  context: EntryContext,
  {demand, serviceTimes}: ArtifactMeasurements,
  pending: readonly PendingMove[],
  lastLoadMs: number,
): PlacementView {
  const misses = demand.takeMisses();
  const labelled = context.configWatch.current?.artifacts() ?? [];
  const runners = context.view.agents().flatMap(agent => {
    const moves = pending.filter(({move}) => move.vmId === agent.vmId);
    return agent.report ? [toRunner(agent, agent.report, moves)] : [];
  });
  const isLoading = (copy: PlacementCopy) => copy.state === 'reserved';
  return {
    runners,
    artifacts: labelled.map(artifact => ({
      ...artifact,
      demandPerSecond: demand.demandPerSecond(artifact.artifact),
      serviceTimeMs: serviceTimes.currentMs(artifact.artifact),
      waiting: misses.get(artifact.artifact) ?? 0,
    })),
    loadsInFlight: runners.flatMap(({copies}) => copies.filter(isLoading))
      .length,
    lastLoadMs,
  };
}

function toRunner(
  agent: AgentState,
  report: AgentReport,
  pending: readonly PendingMove[],
): PlacementRunner {
  const {reachable, leaving, running, queued} = agent.runner;
  let copies: PlacementCopy[] = [...report.copies];
  let {memoryFreeBytes, runnerRole} = report;
  for (const {move, copyId} of pending) {
    if (move.kind === 'load') {
      const {artifact, bytes} = move;
      copies.push({artifact, bytes, copyId, state: 'reserved', idleMs: 0});
      memoryFreeBytes -= bytes;
    } else if (move.kind === 'retire') {
      copies = copies.map(copy =>
        copy.artifact === move.artifact
          ? {...copy, state: 'releasing' as const}
          : copy,
      );
    } else {
      runnerRole = move.runnerRole;
    }
  }
  return {
    vmId: agent.vmId,
    failureDomain: report.failureDomain,
    runnerRole,
    reachable,
    leaving,
    memoryCapacityBytes: report.memoryCapacityBytes,
    memoryFreeBytes,
    running,
    queued,
    maxRunning: report.maxRunning,
    copies,
  };
}
