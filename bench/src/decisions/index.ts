import {DEPLOYMENTS} from './deployments.js';
import {compare} from './compare.js';
import {writeResults} from './output/writeResults.js';
import {POLICIES} from './policies/index.js';
import {SCENARIOS} from './scenarios.js';

const SEEDS = [1, 2, 3, 4, 5];
const QUICK_SEEDS = [1, 2];

/**
 * Compares our decisions with the baselines.
 *
 * @param args `--quick` for two seeds; `--only=TEXT` for the deployments,
 *   scenarios or policies whose name has the text, which writes no files.
 */
export async function run(args: string[]): Promise<void> {
  const seeds = args.includes('--quick') ? QUICK_SEEDS : SEEDS;
  const filters = args
    .filter(arg => arg.startsWith('--only='))
    .map(arg => arg.slice('--only='.length).split(','));
  const rows = compare({
    deployments: pick(DEPLOYMENTS, filters),
    scenarios: pick(SCENARIOS, filters),
    policies: pick(POLICIES, filters),
    seeds,
    onProgress: line => console.error(line),
  });
  await writeResults(rows, {filesToo: filters.length === 0});
}

/** Keeps those that a filter names; a filter that names none is not for us. */
function pick<T extends {name: string}>(all: T[], filters: string[][]): T[] {
  let kept = all;
  for (const names of filters) {
    const matching = kept.filter(({name}) => names.includes(name));
    if (matching.length > 0) kept = matching;
  }
  return kept;
}
