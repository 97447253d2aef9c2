import {planCopies, type CopyPlanInput} from '@banyanfold/decisions';
import {quantile} from '../common/quantiles.js';
import {fleetOf} from './fleetOf.js';

/** Runners and models, from the smallest deployment of today upwards. */
const SIZES = [
  {runners: 6, models: 13},
  {runners: 27, models: 54},
  {runners: 100, models: 200},
  {runners: 2000, models: 1200},
] as const;
const ROUNDS = 60;
const WARM_UP_ROUNDS = 20;

/**
 * Time of one plan of copies while demand moves, by size. Read the ratios: they
 * are of one run.
 */
export async function run(): Promise<void> {
  const times = SIZES.map(({runners, models}) => {
    const fleet = fleetOf(runners, models);
    return {runners, models, ms: medianPlanMs(fleet)};
  });
  const smallestMs = times[0]!.ms;
  console.log('runners  models  ms a plan  against the smallest');
  for (const {runners, models, ms} of times) {
    const ratio = (ms / smallestMs).toFixed(1);
    const columns = [runners, models, ms.toFixed(2), ratio];
    console.log(columns.map(column => String(column).padStart(7)).join('  '));
  }
}

function medianPlanMs(fleet: CopyPlanInput): number {
  const tookMs: number[] = [];
  for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round++) {
    const startedMs = performance.now();
    planCopies(fleet);
    if (round >= WARM_UP_ROUNDS) tookMs.push(performance.now() - startedMs);
  }
  return quantile(tookMs, 0.5);
}
