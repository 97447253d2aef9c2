import type {DataCost} from './model/dataCosts.js';
import type {FailureCost} from './model/failures.js';
import type {Mechanism} from './model/mechanisms.js';
import {
  BUDGET_OF,
  type Need,
  type Resource,
  type Total,
} from './model/multiply.js';
import type {PlatformLoad} from './model/platformLoad.js';
import type {Slopes} from './model/slope.js';
import type {Comparison} from './processes/predict.js';
import type {ProcessRun} from './processes/runProcesses.js';
import type {ReportExchange} from './reportExchanges.js';

const US_PER_SECOND = 1e6;
const UNITS: Record<Resource, string> = {
  cpu: 'us/s',
  bytes: 'B/s',
  memory: 'B',
};

/** Prints rows as a Markdown table, to be pasted into the page. */
export function printTable(
  title: string,
  heads: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): void {
  console.log(`\n${title}\n`);
  for (const cells of [heads, heads.map(() => '---'), ...rows]) {
    console.log(`| ${cells.join(' | ')} |`);
  }
}

export function printSlopes(slopes: Slopes): void {
  const rows = Object.values(slopes).map(slope => [
    slope.name,
    slope.unit,
    slope.per,
    amount(slope.intercept),
    amount(slope.slope),
    percent(slope.maxResidualShare),
    slope.bend.toFixed(1),
    slope.isLinear ? 'yes' : 'no',
    slope.points.map(({x, y}) => `${amount(x)}: ${amount(y)}`).join(', '),
  ]);
  const heads = [
    'slope',
    'unit',
    'per',
    'at 0',
    'each',
    'residual',
    'bend',
    'linear',
  ];
  printTable('Slopes', [...heads, 'measured'], rows);
}

export function printReportExchanges(
  exchanges: readonly ReportExchange[],
): void {
  const heads = ['between two polls', 'whole, bytes', 'changes, bytes'];
  printTable(
    'Report exchanges',
    heads,
    exchanges.map(({change, wholeBytes, sinceBytes}) => [
      change,
      wholeBytes.toFixed(0),
      sinceBytes.toFixed(0),
    ]),
  );
}

export function printNeeds(needs: readonly Need[], totals: Total[]): void {
  const heads = ['role', 'resource', 'item', 'need', 'budget', 'working'];
  printTable(
    'Needs of control today',
    heads,
    needs.map(({role, resource, item, need, working}) => [
      role,
      resource,
      item,
      withUnit(need, resource),
      withUnit(BUDGET_OF[resource], resource),
      working,
    ]),
  );
  printTable(
    'Against the budgets',
    ['role', 'resource', 'need', 'budget', 'margin', 'verdict'],
    totals.map(({role, resource, need, budget, margin, met}) => [
      role,
      resource,
      withUnit(need, resource),
      withUnit(budget, resource),
      margin.toPrecision(2),
      met ? 'met' : 'missed',
    ]),
  );
}

export function printLoads(loads: readonly PlatformLoad[]): void {
  printTable(
    'The platform, as loaded by us',
    ['service', 'item', 'value'],
    loads.map(({service, item, value, unit}) => [
      service,
      item,
      `${amount(value)} ${unit}`,
    ]),
  );
}

export function printMechanisms(ways: readonly Mechanism[]): void {
  printTable(
    'Ways to carry it, at the busiest node',
    ['concern', 'way', 'B/s', 'of the budget', 'note', 'chosen'],
    ways.map(({concern, way, bytesPerSecond, note, isChosen}) => [
      concern,
      way,
      amount(bytesPerSecond),
      percent(bytesPerSecond / BUDGET_OF.bytes),
      note,
      isChosen ? 'yes' : 'no',
    ]),
  );
  const chosen = ways.filter(({isChosen}) => isChosen);
  const sum = chosen.reduce((all, way) => all + way.bytesPerSecond, 0);
  const share = percent(sum / BUDGET_OF.bytes);
  console.log(
    `\nan entry with all that is chosen: ${amount(sum)} B/s, ${share}`,
  );
}

export function printFailures(costs: readonly FailureCost[]): void {
  printTable(
    'Failures',
    ['event', 'figure', 'value'],
    costs.map(({event, figure, value, unit}) => [
      event,
      figure,
      `${amount(value)} ${unit}`,
    ]),
  );
}

export function printData(costs: readonly DataCost[]): void {
  printTable(
    'Data traffic (no budget)',
    ['role', 'item', 'value'],
    costs.map(({role, item, value, unit}) => [
      role,
      item,
      `${amount(value)} ${unit}${unit === 'us/s' ? ` (${percent(value / US_PER_SECOND)} of a core)` : ''}`,
    ]),
  );
}

export function printRun(run: ProcessRun, compared: Comparison[]): void {
  const cell = (measured: number, predicted: number) =>
    `${amount(measured)} / ${amount(predicted)} (${percent(measured / predicted - 1)})`;
  printTable(
    `Processes: measured / predicted (error), ${run.size.entries} entries, ${run.size.agents} agents`,
    ['role', 'cpu us/s', 'B/s', 'resident B'],
    compared.map(({role, measured, predicted}) => [
      role,
      cell(measured.cpuUsPerSecond, predicted.cpuUsPerSecond),
      cell(measured.bytesPerSecond, predicted.bytesPerSecond),
      cell(measured.rssBytes, predicted.rssBytes),
    ]),
  );
  const {p50Ms, p95Ms, maxMs, acceptedP50Ms, changes, nodes} = run.delays;
  console.log(
    `change to in force: p50 ${p50Ms} ms, p95 ${p95Ms} ms, max ${maxMs} ms ` +
      `(${changes} changes, ${nodes} processes; accepted p50 ${acceptedP50Ms} ms)`,
  );
}

/** Three digits, with thousands apart. */
export function amount(value: number): string {
  if (!Number.isFinite(value)) return 'not measured';
  const digits = Math.abs(value) >= 100 ? 0 : 2;
  return value.toLocaleString('en-US', {maximumFractionDigits: digits});
}

function percent(share: number): string {
  return `${(share * 100).toFixed(Math.abs(share) < 0.1 ? 1 : 0)}%`;
}

function withUnit(value: number, resource: Resource): string {
  return `${amount(value)} ${UNITS[resource]}`;
}
