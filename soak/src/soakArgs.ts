import {parseArgs} from 'node:util';
import {err, fromThrowable, ok, type Result} from 'neverthrow';
import {REGRESSIONS} from './regressions.js';

export const USAGE = `usage: npm run soak -- [options]
  --seeds N       how many seeds to play (default 10)
  --from S        the first seed; without it a fresh one
  --usage-caps    six entries and two organisations, in place of random faults
  --versions      five entries and runners of two software versions
  --crashing-parts
                  five entries, sixteen runners and a prompt part that crashes them
  --herds         five entries, one of which gets most new connections
  --leavings      six entries and runners that leave under one or two faults
  --restarts      twelve entries that end together while runners reject requests
  --planned-stops three entries that are stopped and started by turns
  --late-answers  three entries and runners that send responses a second time
  --endless       three entries and runners whose answers have no end
  --odd-entries   three entries and odd records of another writer
  --half-core     with --leavings: each entry is stopped half of the time
  --regressions   the seeds that failed once, in place of others
  --seconds T     the span in which faults begin (default 12)
  --parallel P    how many runs at once (default 2; each has 3 processes)
  --folder F      for logs of runs that failed (default .run/soak)
  --help          this text`;

/** Well under the few hundred processes that a machine is to bear. */
const MAX_PARALLEL = 16;
const MS_PER_SECOND = 1000;
const FRESH_SEEDS = 1_000_000_000;

/** What the command line asks for. */
export interface SoakArgs {
  seeds: number[];
  lengthMs: number;
  parallel: number;
  folder: string;
  usageCaps: boolean;
  versions: boolean;
  crashingParts: boolean;
  herds: boolean;
  leavings: boolean;
  restarts: boolean;
  plannedStops: boolean;
  lateAnswers: boolean;
  endless: boolean;
  oddEntries: boolean;
  halfCore: boolean;
}

const OPTIONS = {
  seeds: {type: 'string', default: '10'},
  from: {type: 'string'},
  regressions: {type: 'boolean', default: false},
  'usage-caps': {type: 'boolean', default: false},
  versions: {type: 'boolean', default: false},
  'crashing-parts': {type: 'boolean', default: false},
  herds: {type: 'boolean', default: false},
  leavings: {type: 'boolean', default: false},
  restarts: {type: 'boolean', default: false},
  'planned-stops': {type: 'boolean', default: false},
  'late-answers': {type: 'boolean', default: false},
  endless: {type: 'boolean', default: false},
  'odd-entries': {type: 'boolean', default: false},
  'half-core': {type: 'boolean', default: false},
  seconds: {type: 'string', default: '12'},
  parallel: {type: 'string', default: '2'},
  folder: {type: 'string', default: '.run/soak'},
  help: {type: 'boolean', short: 'h', default: false},
} as const;

/**
 * Reads the command line; an error says what is wrong with it.
 *
 * @example readSoakArgs(['--herds', '--seeds', '2'])
 */
export function readSoakArgs(
  words: readonly string[],
): Result<SoakArgs | 'help', string> {
  const parsed = parse(words);
  if (parsed.isErr()) return err(parsed.error);
  const {value: values} = parsed;
  if (values.help) return ok('help');
  const count = Number(values.seeds);
  const first = Number(values.from ?? Math.floor(Math.random() * FRESH_SEEDS));
  const parallel = Number(values.parallel);
  const seconds = Number(values.seconds);
  const numbers = {seeds: count, from: first, parallel, seconds};
  for (const [name, value] of Object.entries(numbers)) {
    if (!Number.isFinite(value)) return err(`--${name} is no number`);
  }
  if (parallel < 1 || parallel > MAX_PARALLEL) {
    return err(`--parallel is not between 1 and ${MAX_PARALLEL}`);
  }
  return ok({
    seeds: values.regressions
      ? REGRESSIONS.map(({seed}) => seed)
      : Array.from({length: count}, (_, i) => first + i),
    lengthMs: seconds * MS_PER_SECOND,
    parallel,
    folder: values.folder,
    usageCaps: values['usage-caps'],
    versions: values.versions,
    crashingParts: values['crashing-parts'],
    herds: values.herds,
    leavings: values.leavings,
    restarts: values.restarts,
    plannedStops: values['planned-stops'],
    lateAnswers: values['late-answers'],
    endless: values.endless,
    oddEntries: values['odd-entries'],
    halfCore: values['half-core'],
  });
}

function parse(words: readonly string[]) {
  const read = () => parseArgs({args: [...words], options: OPTIONS}).values;
  return fromThrowable(read, thrown =>
    thrown instanceof Error ? thrown.message : String(thrown),
  )();
}
