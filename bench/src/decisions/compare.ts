import {annotateRows} from './annotateRows.js';
import type {DeploymentSpec} from './deployments.js';
import type {RunResult} from './metrics.js';
import {pooledBound} from './pooledBound.js';
import type {ResultRow, Spread} from './resultRow.js';
import type {Scenario} from './scenarios.js';
import {simulateRun} from './simulateRun.js';
import {drawTrace} from './trace.js';
import type {Policy} from './types.js';

/** The row of the upper bound. */
const BOUND_NAME = 'pooled-bound';

export interface CompareOptions {
  deployments: DeploymentSpec[];
  scenarios: Scenario[];
  policies: Policy[];
  seeds: number[];
  onProgress: (line: string) => void;
}

/** Runs every policy over the same traces. */
export function compare(options: CompareOptions): ResultRow[] {
  const rows: ResultRow[] = [];
  for (const deployment of options.deployments) {
    for (const scenario of options.scenarios) {
      options.onProgress(`${deployment.name} ${scenario.name}`);
      const scenarioRows = compareScenario(deployment, scenario, options);
      annotateRows(scenarioRows);
      rows.push(...scenarioRows);
    }
  }
  return rows;
}

function compareScenario(
  deployment: DeploymentSpec,
  scenario: Scenario,
  {policies, seeds}: CompareOptions,
): ResultRow[] {
  const results = new Map<string, RunResult[]>();
  const add = (name: string, result: RunResult): void => {
    results.set(name, [...(results.get(name) ?? []), result]);
  };
  for (const seed of seeds) {
    const trace = drawTrace(deployment, scenario, seed);
    for (const policy of policies) {
      add(policy.name, simulateRun(deployment, scenario, policy, trace, seed));
    }
    add(BOUND_NAME, pooledBound(deployment, scenario, trace));
  }
  return [...results].map(([policy, runs]) => {
    const spread = (key: keyof RunResult): Spread =>
      spreadOf(runs.map(run => run[key]));
    return {
      deployment: deployment.name,
      scenario: scenario.name,
      policy,
      seeds,
      attainmentPerAccelerator: spread('attainmentPerAccelerator'),
      attainment: spread('attainment'),
      deskAttainment: spread('deskAttainment'),
      moves: spread('moves'),
      ttftP95Ms: spread('ttftP95Ms'),
      refusedShare: spread('refusedShare'),
      withoutCopy: spread('withoutCopy'),
      note: scenario.note,
    };
  });
}

function spreadOf(values: number[]): Spread {
  const sum = values.reduce((total, value) => total + value, 0);
  return {
    mean: sum / values.length,
    min: Math.min(...values),
    max: Math.max(...values),
  };
}
