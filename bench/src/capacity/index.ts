import {dataCosts} from './model/dataCosts.js';
import {failureCosts} from './model/failures.js';
import {mechanisms} from './model/mechanisms.js';
import {needsToday, totalsOf} from './model/multiply.js';
import {platformLoads} from './model/platformLoad.js';
import type {Slope, Slopes} from './model/slope.js';
import {
  printData,
  printFailures,
  printLoads,
  printMechanisms,
  printNeeds,
  printReportExchanges,
  printRun,
  printSlopes,
} from './print.js';
import {compareRun} from './processes/predict.js';
import {runProcesses, type ProcessRun} from './processes/runProcesses.js';
import {reportExchanges} from './reportExchanges.js';
import {
  readPathFigures,
  readRuns,
  readSlopes,
  writeSection,
} from './results.js';
import {agentSlopes} from './slopes/agentSlopes.js';
import {claimSlopes} from './slopes/claimSlopes.js';
import {configSlopes} from './slopes/configSlopes.js';
import {decisionSlopes} from './slopes/decisionSlopes.js';
import {entrySlopes} from './slopes/entrySlopes.js';
import {wireSlopes} from './slopes/wireSlopes.js';

const COMMAND = 'npm run bench -- capacity';

const SLOPE_GROUPS: Array<() => Slope[] | Promise<Slope[]>> = [
  decisionSlopes,
  configSlopes,
  claimSlopes,
  wireSlopes,
  agentSlopes,
  entrySlopes,
];

/** Sizes of the runs with real processes; the largest stays under 100. */
const RUN_SIZES = [
  {entries: 2, agents: 8},
  {entries: 4, agents: 16},
  {entries: 6, agents: 32},
  {entries: 12, agents: 60},
];

const MODES: Record<string, () => Promise<void>> = {
  '': measureAndMultiply,
  '--processes': measureProcesses,
  '--compare': async () => compareRuns(readRuns()),
  '--reports': measureReports,
  '--multiply': async () => multiply(readSlopes()),
};

/**
 * Measures slopes and multiplies them by the letter's size.
 *
 * @param args `--processes` for runs of real processes against the slopes of
 *   the last run; `--multiply` for the tables of the last run's slopes;
 *   `--compare` for the last run's processes against its slopes; `--reports`
 *   for the bytes of whole reports and of those that carry what changed.
 */
export async function run(args: string[]): Promise<void> {
  const mode = MODES[args[0] ?? ''];
  if (!mode) throw new Error(`modes: ${Object.keys(MODES).join(' ')}`);
  await mode();
}

async function measureAndMultiply(): Promise<void> {
  const slopes: Slopes = {};
  for (const measure of SLOPE_GROUPS) {
    for (const slope of await measure()) slopes[slope.name] = slope;
  }
  writeSection('slopes', COMMAND, {slopes});
  printSlopes(slopes);
  multiply(slopes);
}

function multiply(slopes: Slopes): void {
  const needs = needsToday(slopes);
  const totals = totalsOf(needs);
  const loads = platformLoads(slopes);
  const ways = mechanisms(slopes);
  const failures = failureCosts(slopes);
  const data = dataCosts(slopes, readPathFigures());
  printNeeds(needs, totals);
  printLoads(loads);
  printData(data);
  printMechanisms(ways);
  printFailures(failures);
  writeSection('multiplied', `${COMMAND} --multiply`, {
    needs,
    totals,
    loads,
    data,
    ways,
    failures,
  });
}

async function measureReports(): Promise<void> {
  const exchanges = await reportExchanges();
  printReportExchanges(exchanges);
  writeSection('reports', `${COMMAND} --reports`, {exchanges});
}

async function measureProcesses(): Promise<void> {
  const runs: ProcessRun[] = [];
  for (const size of RUN_SIZES) {
    console.log(`${size.entries} entries and ${size.agents} agents`);
    runs.push(await runProcesses(size));
  }
  writeSection('processes', `${COMMAND} --processes`, {runs});
  compareRuns(runs);
}

function compareRuns(runs: readonly ProcessRun[]): void {
  const slopes = readSlopes();
  const compared = runs.map(measured => {
    const rows = compareRun(measured, slopes);
    printRun(measured, rows);
    return rows;
  });
  writeSection('compared', `${COMMAND} --compare`, {compared});
}
