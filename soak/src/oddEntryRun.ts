import {
  exampleRoute,
  ODD_ADDRESSES,
  ODD_CONFIGS,
  ODD_REGISTRATIONS,
  ODD_SYSTEM_RECORDS,
  OddWriter,
  PlatformStandin,
  parseEvents,
  sendRequest,
  type OddForm,
  type RunnerStandin,
} from '@banyanfold/platform/standins';
import {CALL_KINDS} from './callers.js';
import type {EntryProcess} from './entryProcess.js';
import {HIGH_LOAD_SETTINGS} from './highLoadSettings.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import type {Violation} from './soakRecord.js';
import {startEntries} from './startEntries.js';
import {takeTurns} from './takeTurns.js';

export interface OddEntryRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
  /** The span in which forms are written. */
  lengthMs: number;
}

/** What callers, runners and the supervisor saw of one run. */
export interface OddEntryVerdict {
  violations: Violation[];
  /** Forms of odd records that were played. */
  forms: number;
  calls: number;
  /** Calls that were answered whole. */
  whole: number;
}

interface OddCall {
  sentMs: number;
  entry: string;
  kind: string;
  status: number;
  isWhole: boolean;
}

/** A form while its records were in the store. */
interface PlayedForm {
  name: string;
  fromMs: number;
}

interface Stage {
  platform: PlatformStandin;
  entries: readonly EntryProcess[];
  /** For what is written. */
  draw: Draw;
  /** For the calls, whose number depends on time. */
  callDraw: Draw;
  /** Routes that the operator has added. */
  routes: string[];
  played: PlayedForm[];
  violations: Violation[];
}

const ENTRIES = 3;
const RUNNERS_EACH = 2;
const SERVICES = ['drafting', 'desk'] as const;
const KINDS = ['lodge', 'status', 'letter', 'lodge-letter'];
const EVENTS = 5;
const EVENT_PAUSE_MS = 10;
const CALL_INTERVAL_MS = 25;
const DEADLINE_MS = 3_000;
const MIN_WRITTEN_MS = 300;
const MAX_WRITTEN_MS = 1_200;
/** A change reaches all entries in this time, also on a busy machine. */
const FOLLOWED_MS = 10_000;
const START_MS = 30_000;
const CALL_SEEDS = 1_000_000;
const POLL_MS = 50;
const SERVED = 200;

/** Tables whose forms are played by turns. */
const TABLES: ReadonlyArray<readonly OddForm[]> = [
  ODD_ADDRESSES,
  ODD_REGISTRATIONS,
  ODD_SYSTEM_RECORDS,
  ODD_REGISTRATIONS,
  ODD_CONFIGS,
];

/**
 * Plays odd records of another writer one after the other, with requests all the
 * while. No process may end, no request may be lost, and what runners and the
 * operator write afterwards has to be followed.
 *
 * @example
 * await runOddEntries({seed: 1, folder: '.run/odd', lengthMs: 12_000});
 */
export async function runOddEntries({
  seed,
  folder,
  lengthMs,
}: OddEntryRunOptions): Promise<OddEntryVerdict> {
  const platform = new PlatformStandin();
  await platform.start();
  for (const service of SERVICES) {
    for (let i = 1; i <= RUNNERS_EACH; i++) {
      await addRunner(platform, service, `${service}-${i}`);
    }
  }
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder,
    extraSettings: takeTurns([{}, HIGH_LOAD_SETTINGS], seed),
  });
  const stage: Stage = {
    platform,
    entries,
    draw: createDraw(seed),
    callDraw: createDraw(seed + CALL_SEEDS),
    routes: [],
    played: [],
    violations: [],
  };
  try {
    await untilAllServe(entries);
    return await play(stage, lengthMs);
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

function addRunner(
  platform: PlatformStandin,
  service: string,
  runnerId: string,
): Promise<RunnerStandin> {
  const models =
    service === 'drafting' ? [{name: 'm1', adapters: []}] : undefined;
  return platform.addRunner({
    runnerId,
    service,
    models,
    events: EVENTS,
    eventPauseMs: EVENT_PAUSE_MS,
  });
}

async function play(stage: Stage, lengthMs: number): Promise<OddEntryVerdict> {
  const {entries, draw, callDraw, played, violations} = stage;
  const pending: Array<Promise<OddCall>> = [];
  const timer = setInterval(() => {
    const kind = takeTurns(KINDS, pending.length);
    pending.push(call(callDraw.pick(entries), kind, `call-${pending.length}`));
  }, CALL_INTERVAL_MS);
  const endMs = performance.now() + lengthMs;
  while (performance.now() < endMs) {
    await playForm(stage, draw.pick(takeTurns(TABLES, played.length)));
  }
  clearInterval(timer);
  const calls = await Promise.all(pending);
  return {
    violations: [
      ...violations,
      ...lostCalls(calls, played),
      ...ownEndViolations(entries).map(({rule, what}) => ({
        rule,
        what: `${what}, forms: ${played.map(({name}) => name).join('; ')}`,
      })),
    ],
    forms: played.length,
    calls: calls.length,
    whole: calls.filter(({isWhole}) => isWhole).length,
  };
}

/** The form is in the store for a while; then something sound has to be read. */
async function playForm(stage: Stage, form: OddForm): Promise<void> {
  const {platform, draw, played, routes, violations} = stage;
  const service = draw.pick(SERVICES);
  const name = `${form.name} (${service})`;
  played.push({name, fromMs: performance.now()});
  const writer = new OddWriter(platform.store, [form], service);
  await pause(draw.int(MIN_WRITTEN_MS, MAX_WRITTEN_MS));
  writer.stop();
  routes.push(`after-${played.length}`);
  platform.publish(routes.map(route => exampleRoute(route)));
  if (!(await isRouteServed(stage, routes.at(-1)!))) {
    violations.push({rule: 'the configuration is followed', what: name});
  }
  const id = `${service}-new-${played.length}`;
  const runner = await addRunner(platform, service, id);
  if (!(await isTrue(() => runner.executedRequests.length > 0))) {
    violations.push({rule: 'a new runner gets work', what: name});
  }
  // It serves on, so that no call is cut off.
  platform.drainRunner(runner);
}

async function isRouteServed(
  {entries}: Stage,
  route: string,
): Promise<boolean> {
  const served = entries.map(({callersPort}) =>
    isTrue(async () => {
      const id = `${route}-${callersPort}-${performance.now()}`;
      const headers = {'deadline-ms': String(DEADLINE_MS)};
      const {status} = await sendRequest({
        port: callersPort,
        route,
        id,
        headers,
      });
      return status === SERVED;
    }),
  );
  return (await Promise.all(served)).every(Boolean);
}

/** Whether something becomes true in the time in which changes are followed. */
async function isTrue(
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const endMs = performance.now() + FOLLOWED_MS;
  while (!(await condition())) {
    if (performance.now() > endMs) return false;
    await pause(POLL_MS);
  }
  return true;
}

/** One violation for each form while which calls were lost. */
function lostCalls(
  calls: readonly OddCall[],
  played: readonly PlayedForm[],
): Violation[] {
  return played.flatMap(({name, fromMs}, i) => {
    const toMs = played[i + 1]?.fromMs ?? Infinity;
    const sent = calls.filter(({sentMs}) => sentMs >= fromMs && sentMs < toMs);
    const lost = sent.filter(({isWhole}) => !isWhole);
    if (lost.length === 0) return [];
    const some = lost
      .slice(0, 5)
      .map(({entry, kind, status}) => `${kind} at ${entry}: ${status}`);
    return [
      {
        rule: 'calls are answered whole',
        what: `${lost.length} of ${sent.length} not, ${name}: ${some.join(', ')}`,
      },
    ];
  });
}

async function call(
  entry: EntryProcess,
  kind: string,
  id: string,
): Promise<OddCall> {
  const {route, headers, isStream} = CALL_KINDS[kind]!;
  const sentMs = performance.now();
  const response = await sendRequest({
    port: entry.callersPort,
    route,
    id,
    headers: {
      ...headers,
      'deadline-ms': String(DEADLINE_MS),
      // Another prompt each time: prefix affinity would keep calls from a new
      // runner.
      ...(isStream && {'prompt-prefix': `${id}:20`}),
    },
    body: 'x',
  });
  const {status, isTruncated, text} = response;
  const isOwn = response.headers['request-id'] === id;
  const hasAll = !isStream || parseEvents(text).length === EVENTS;
  return {
    sentMs,
    entry: entry.name,
    kind,
    status,
    isWhole: status === SERVED && !isTruncated && isOwn && hasAll,
  };
}

async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const endMs = performance.now() + START_MS;
  for (const entry of entries) {
    for (const kind of KINDS) {
      while (!(await call(entry, kind, `start-${entry.name}`)).isWhole) {
        if (performance.now() > endMs) throw new Error('never served');
        await pause(POLL_MS);
      }
    }
  }
}
