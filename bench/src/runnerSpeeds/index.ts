import {StreamSimulation, type StreamSetup} from './streamSimulation.js';

const SLOW_SPEED = 0.55;
const FAST_SPEED = 1.2;
const SEEDS = [1, 2, 3];
const ENTRY_COUNTS = [1, 5, 12, 28, 67];
/** A service of the deployments, and a small one. */
const RUNNER_COUNTS = [34, 6];

/**
 * Compares times to first token, 95th percentile: runners of unequal speed
 * without and with their speeds known, as ratios to equal runners of the same
 * combined capacity.
 */
export function run(): Promise<void> {
  console.log(
    'runners entries alike-ms without/alike with/alike busy (alike without with)',
  );
  for (const runners of RUNNER_COUNTS) {
    for (const entries of ENTRY_COUNTS) {
      console.log(compare(runners, entries));
    }
  }
  return Promise.resolve();
}

function compare(runners: number, entries: number): string {
  const mixed = Array.from({length: runners}, (_, i) =>
    i % 3 === 0 ? SLOW_SPEED : FAST_SPEED,
  );
  const mean = mixed.reduce((sum, speed) => sum + speed, 0) / runners;
  const alike = mixed.map(() => mean);
  const equal = measure({entries, speeds: alike, knowsSpeeds: false});
  const without = measure({entries, speeds: mixed, knowsSpeeds: false});
  const knowing = measure({entries, speeds: mixed, knowsSpeeds: true});
  const ratios = [without, knowing].map(({p95Ms}) => p95Ms / equal.p95Ms);
  return [
    runners,
    entries,
    Math.round(equal.p95Ms),
    ...ratios.map(ratio => ratio.toFixed(2)),
    ...[equal, without, knowing].map(({busy}) => busy.toFixed(2)),
  ].join(' ');
}

/** Means over the seeds. */
function measure(setup: Omit<StreamSetup, 'seed'>) {
  const results = SEEDS.map(seed =>
    new StreamSimulation({...setup, seed}).run(),
  );
  const meanOf = (values: number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    p95Ms: meanOf(results.map(({p95Ms}) => p95Ms)),
    busy: meanOf(results.map(({busy}) => busy)),
  };
}
