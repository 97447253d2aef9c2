import {REPORTS_PER_SECOND, reportBytes} from '../model/multiply.js';
import {slopeNamed, valueAt, type Slopes} from '../model/slope.js';
import {ASSUMED, INTERVALS} from '../model/target.js';
import type {ProcessCost, ProcessRun} from './runProcesses.js';

const MS_PER_SECOND = 1_000;
const STREAMS_PER_NODE = 2;

/** What the slopes say that one process spends in a run of some size. */
export interface Prediction {
  cpuUsPerSecond: number;
  bytesPerSecond: number;
  rssBytes: number;
}

/** Measured over predicted, for a role in one run. */
export interface Comparison {
  entries: number;
  agents: number;
  role: 'entry' | 'agent' | 'planner';
  measured: Prediction;
  predicted: Prediction;
}

/** Compares the means of each role with the prediction. */
export function compareRun(run: ProcessRun, slopes: Slopes): Comparison[] {
  const groups: Array<[Comparison['role'], ProcessCost[]]> = [
    ['entry', run.costs.filter(c => c.role === 'entry' && !c.isPlanner)],
    ['planner', run.costs.filter(c => c.isPlanner)],
    ['agent', run.costs.filter(c => c.role === 'agent')],
  ];
  return groups
    .filter(([, costs]) => costs.length > 0)
    .map(([role, costs]) => ({
      ...run.size,
      role,
      measured: meansOf(costs),
      predicted: predict(role, run, slopes),
    }));
}

function predict(
  role: Comparison['role'],
  run: ProcessRun,
  slopes: Slopes,
): Prediction {
  if (role === 'agent') return predictAgent(run, slopes);
  const entry = predictEntry(run, slopes);
  return role === 'entry' ? entry : addPlanner(entry, run, slopes);
}

function predictEntry(run: ProcessRun, slopes: Slopes): Prediction {
  const {entries, agents} = run.size;
  const line = (name: string) => slopeNamed(slopes, name);
  const reports = agents * REPORTS_PER_SECOND;
  const listReads = MS_PER_SECOND / INTERVALS.vmListMs;
  const vms = entries + agents;
  return {
    cpuUsPerSecond:
      valueAt(line('entry cpu, lean reports'), reports) +
      listReads * valueAt(line('VM list read cpu'), vms),
    bytesPerSecond:
      reports * leanReportBytes(run, slopes) +
      listReads * Math.max(0, valueAt(line('VM list bytes'), vms)) +
      logPollBytes(slopes),
    rssBytes: valueAt(line('entry rss, lean reports'), agents),
  };
}

function predictAgent(run: ProcessRun, slopes: Slopes): Prediction {
  const {entries} = run.size;
  const asked = entries * REPORTS_PER_SECOND;
  return {
    cpuUsPerSecond: valueAt(slopeNamed(slopes, 'agent cpu'), asked),
    bytesPerSecond: asked * leanReportBytes(run, slopes) + logPollBytes(slopes),
    rssBytes: valueAt(slopeNamed(slopes, 'agent rss'), entries),
  };
}

function addPlanner(
  entry: Prediction,
  run: ProcessRun,
  slopes: Slopes,
): Prediction {
  const {entries, agents} = run.size;
  const plans = MS_PER_SECOND / INTERVALS.plannerMs;
  const asked = plans * (entries - 1);
  const status = (name: string) => valueAt(slopeNamed(slopes, name), agents);
  const decision = slopeNamed(slopes, 'decidePlacement').points[0]?.y ?? 0;
  return {
    ...entry,
    cpuUsPerSecond: entry.cpuUsPerSecond + plans * decision,
    bytesPerSecond:
      entry.bytesPerSecond + asked * status('entry status bytes, lean'),
  };
}

/**
 * Nothing was served or cached yet in such a run. Where the engines don't hold
 * all models at the start, the planner has had the others loaded.
 */
function leanReportBytes(run: ProcessRun, slopes: Slopes): number {
  const placed = run.models / run.size.agents;
  const copies = Math.max(ASSUMED.copiesPerRunner, placed);
  return reportBytes(slopes, {copies, prefixes: 0, served: 0});
}

function logPollBytes(slopes: Slopes): number {
  const empty = slopeNamed(slopes, 'log poll bytes').points[0]?.y ?? 0;
  return (STREAMS_PER_NODE * empty * MS_PER_SECOND) / INTERVALS.logPollMs;
}

function meansOf(costs: readonly ProcessCost[]): Prediction {
  const mean = (read: (cost: ProcessCost) => number) =>
    costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
  return {
    cpuUsPerSecond: mean(cost => cost.cpuUsPerSecond),
    bytesPerSecond: mean(cost => cost.bytesPerSecond ?? NaN),
    rssBytes: mean(cost => cost.rssBytes),
  };
}
