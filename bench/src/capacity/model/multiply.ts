import {atSize} from './fit.js';
import {slopeNamed, type Slopes} from './slope.js';
import {
  ASSUMED,
  BUDGETS,
  BUDGET_CPU_US_PER_SECOND,
  CONFIG_CHANGES_PER_SECOND,
  INTERVALS,
  TARGET,
} from './target.js';

const MS_PER_SECOND = 1_000;

export type Resource = 'cpu' | 'bytes' | 'memory';
export type Role = 'entry' | 'agent' | 'planner' | 'publisher';

/** One thing that a node needs at the letter's size. */
export interface Need {
  role: Role;
  resource: Resource;
  item: string;
  /** Microseconds a second, bytes a second, or bytes. */
  need: number;
  /** How the figure comes from the slopes. */
  working: string;
}

/** What a role needs of one resource in all, against its budget. */
export interface Total {
  role: Role;
  resource: Resource;
  need: number;
  budget: number;
  /** Budget over need; under 1 the budget is missed. */
  margin: number;
  met: boolean;
}

export const BUDGET_OF: Record<Resource, number> = {
  cpu: BUDGET_CPU_US_PER_SECOND,
  bytes: BUDGETS.bytesPerSecond,
  memory: BUDGETS.memoryBytes,
};

export const REPORTS_PER_SECOND = MS_PER_SECOND / INTERVALS.reportMs;
export const VMS = TARGET.entries + TARGET.agents;
export const KEYS_PER_SECOND = TARGET.requestsPerSecond * ASSUMED.claimShare;
const VM_READS_PER_SECOND = MS_PER_SECOND / INTERVALS.vmListMs;
const PLANS_PER_SECOND = MS_PER_SECOND / INTERVALS.plannerMs;
const KEYS_KEPT = (KEYS_PER_SECOND * INTERVALS.keyHorizonMs) / MS_PER_SECOND;

/** How long the lists in a report are. */
export interface ReportLists {
  copies: number;
  prefixes: number;
  served: number;
}

const FULL_LISTS: ReportLists = {
  copies: ASSUMED.copiesPerRunner,
  prefixes: ASSUMED.prefixesPerRunner,
  served: ASSUMED.servedPerRunner,
};

/** Bytes on the wire of one report; its lists are full unless given. */
export function reportBytes(
  slopes: Slopes,
  lists: Partial<ReportLists> = {},
): number {
  const {copies, prefixes, served} = {...FULL_LISTS, ...lists};
  const byCopies = slopeNamed(slopes, 'report bytes by copies');
  const perPrefix = slopeNamed(slopes, 'report bytes by prefixes').slope;
  const perServed = slopeNamed(slopes, 'report bytes by served').slope;
  return atSize(byCopies, copies) + perPrefix * prefixes + perServed * served;
}

/** Multiplies what runs today by the letter's size; control only. */
export function needsToday(slopes: Slopes): Need[] {
  return [
    ...entryNeeds(slopes),
    ...agentNeeds(slopes),
    ...plannerNeeds(slopes),
    ...publisherNeeds(slopes),
  ];
}

/** Sums the needs of each role and holds them against the budgets. */
export function totalsOf(needs: readonly Need[]): Total[] {
  const totals = new Map<string, Total>();
  for (const {role, resource, need} of needs) {
    const key = `${role}/${resource}`;
    const sum = (totals.get(key)?.need ?? 0) + need;
    const budget = BUDGET_OF[resource];
    const margin = budget / sum;
    const met = sum <= budget;
    totals.set(key, {role, resource, need: sum, budget, margin, met});
  }
  return [...totals.values()];
}

function entryNeeds(slopes: Slopes): Need[] {
  const line = (name: string) => slopeNamed(slopes, name);
  const reports = TARGET.agents * REPORTS_PER_SECOND;
  const perEntry = TARGET.requestsPerSecond / TARGET.entries;
  const need = needFor('entry');
  const vmListBytes = atSize(line('VM list bytes'), VMS);
  const configBytes = atSize(line('log poll bytes'), TARGET.models);
  const keyBytes = line('claim records').slope;
  const compile = atSize(line('config fold and compile'), TARGET.models);
  return [
    need('bytes', 'reports', reports * reportBytes(slopes), `${reports}/s`),
    need('bytes', 'VM list', VM_READS_PER_SECOND * vmListBytes, '1/s, whole'),
    need(
      'bytes',
      'configuration',
      CONFIG_CHANGES_PER_SECOND * configBytes,
      'whole records',
    ),
    need('bytes', 'claims', KEYS_PER_SECOND * keyBytes, 'all keys of all'),
    need(
      'cpu',
      'reports',
      reports * line('entry cpu, full reports').slope,
      `${reports}/s`,
    ),
    need(
      'cpu',
      'VM list',
      VM_READS_PER_SECOND * atSize(line('VM list read cpu'), VMS),
      '1/s',
    ),
    need('cpu', 'configuration', CONFIG_CHANGES_PER_SECOND * compile, 'whole'),
    need('cpu', 'claims', KEYS_PER_SECOND * line('claim fold').slope, 'all'),
    need(
      'cpu',
      'routing decisions',
      perEntry * largestPoint(slopes, 'decideRoute'),
      `${perEntry.toFixed(1)}/s over all runners`,
    ),
    need(
      'memory',
      'process and runners',
      atSize(line('entry rss, full reports'), TARGET.agents),
      'resident',
    ),
    need(
      'memory',
      'claims',
      KEYS_KEPT * line('claims in memory').slope,
      'heap',
    ),
  ];
}

function agentNeeds(slopes: Slopes): Need[] {
  const line = (name: string) => slopeNamed(slopes, name);
  const asked = TARGET.entries * REPORTS_PER_SECOND;
  const need = needFor('agent');
  const configBytes = atSize(line('log poll bytes'), TARGET.models);
  const foldUs = atSize(line('config fold'), TARGET.models);
  return [
    need('bytes', 'reports', asked * reportBytes(slopes), `${asked}/s`),
    need(
      'bytes',
      'configuration',
      CONFIG_CHANGES_PER_SECOND * configBytes,
      'whole records',
    ),
    need('cpu', 'reports', atSize(line('agent cpu'), asked), `${asked}/s`),
    need('cpu', 'configuration', CONFIG_CHANGES_PER_SECOND * foldUs, 'whole'),
    need(
      'memory',
      'process',
      atSize(line('agent rss'), TARGET.entries),
      'resident, 730 connections',
    ),
  ];
}

/** What planning adds to the entry that plans. */
function plannerNeeds(slopes: Slopes): Need[] {
  const line = (name: string) => slopeNamed(slopes, name);
  const peers = TARGET.entries - 1;
  const need = needFor('planner');
  const asked = PLANS_PER_SECOND * peers;
  const statusBytes = atSize(line('entry status bytes, full'), TARGET.agents);
  return [
    need('bytes', 'status of peers', asked * statusBytes, `${asked}/s`),
    need(
      'cpu',
      'placement decision',
      PLANS_PER_SECOND * largestPoint(slopes, 'decidePlacement'),
      'all runners and models',
    ),
  ];
}

/** One publish that waits until it is in force. */
function publisherNeeds(slopes: Slopes): Need[] {
  const line = (name: string) => slopeNamed(slopes, name);
  const need = needFor('publisher');
  const statusBytes = atSize(line('entry status bytes, full'), TARGET.agents);
  return [
    need(
      'bytes',
      'one round of status',
      TARGET.entries * statusBytes,
      'each entry, whole view; one round, not a second',
    ),
  ];
}

function needFor(role: Role) {
  return (
    resource: Resource,
    item: string,
    need: number,
    working: string,
  ): Need => ({role, resource, item, need, working});
}

/** Where the cost isn't a line, the size itself was measured. */
function largestPoint(slopes: Slopes, name: string): number {
  const {points} = slopeNamed(slopes, name);
  return points.reduce((a, b) => (b.x > a.x ? b : a)).y;
}
