import {PlatformStandin, sendRequest} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {HIGH_LOAD_SETTINGS} from './highLoadSettings.js';
import type {Violation} from './soakRecord.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw} from './random.js';
import {startEntries} from './startEntries.js';

export interface UsageCapRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers and runners saw of one run. */
export interface UsageCapVerdict {
  violations: Violation[];
  /** The most requests of the large organisation that ran in a window. */
  mostInWindow: number;
  refused: number;
}

interface Answer {
  organisation: string;
  status: number;
  retryAfterS: number;
}

interface Run {
  organisation: string;
  atMs: number;
}

const ENTRIES = 6;
const RUNNERS = 4;
const SERVICE = 'desk';
/** The cap of each organisation. */
const CAP = {rate_per_s: 20, burst: 40};
/** Requests per second: four times the cap, and a tenth of it. */
const ASKED_PER_SECOND = {large: 80, small: 2};
type Organisation = keyof typeof ASKED_PER_SECOND;
const ORGANISATIONS = Object.keys(ASKED_PER_SECOND) as Organisation[];
const WINDOW_MS = 8_000;
const MS_PER_SECOND = 1000;
const LIMIT = (CAP.rate_per_s * WINDOW_MS) / MS_PER_SECOND + CAP.burst;
/** What the deployment tolerates beyond the limit. */
const TOLERANCE = 0.1;
/** The shortest time to return that a refusal names. */
const MIN_RETRY_AFTER_S = 0.3;
const FROZEN_MS = 4_000;
const CALM_MS = 8_000;
const LEFT_MS = 2_500;
const START_POLL_MS = 200;
const SERVED = 200;
const TOO_MANY_REQUESTS = 429;

/**
 * Plays two organisations at six entries, two of which freeze and two of which
 * are killed, and judges their usage caps.
 *
 * @example (await runUsageCaps({seed: 1, folder: '.run/caps'})).violations
 */
export async function runUsageCaps(
  options: UsageCapRunOptions,
): Promise<UsageCapVerdict> {
  const platform = new PlatformStandin();
  await platform.start();
  platform.publish(
    [],
    ORGANISATIONS.map(name => ({name, api_keys: [keyOf(name)], ...CAP})),
  );
  for (let i = 0; i < RUNNERS; i++) {
    await platform.addRunner({runnerId: `plain-${i}`, service: SERVICE});
  }
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder: options.folder,
    extraSettings: HIGH_LOAD_SETTINGS,
  });
  try {
    await untilAllServe(entries);
    const startedMs = performance.now();
    const answers = await play(entries, options.seed);
    const runs = runsSince(platform, startedMs);
    const verdict = judgeCaps(answers, runs);
    verdict.violations.push(...ownEndViolations(entries));
    return verdict;
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

/** Waits until all serve, and until the windows are empty again. */
async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  for (;;) {
    const answers = await Promise.all(
      entries.map((entry, i) => ask(entry, 'small', `start-${i}`)),
    );
    if (answers.every(({status}) => status === SERVED)) break;
    await pause(START_POLL_MS);
  }
  await pause(WINDOW_MS);
}

/** Asks at a steady rate, while entries freeze and are killed. */
async function play(
  entries: readonly EntryProcess[],
  seed: number,
): Promise<Answer[]> {
  const draw = createDraw(seed);
  const pending: Array<Promise<Answer>> = [];
  const timers = ORGANISATIONS.map(organisation =>
    setInterval(() => {
      const id = `${organisation}-${pending.length}`;
      pending.push(ask(draw.pick(entries), organisation, id));
    }, MS_PER_SECOND / ASKED_PER_SECOND[organisation]),
  );
  const frozen = [entries[1]!, entries[3]!];
  await pause(CALM_MS);
  for (const entry of frozen) entry.signal('SIGSTOP');
  await pause(FROZEN_MS);
  for (const entry of frozen) entry.signal('SIGCONT');
  await pause(CALM_MS);
  for (const entry of [entries[0]!, entries[4]!]) entry.end('SIGKILL');
  await pause(CALM_MS);
  for (const timer of timers) clearInterval(timer);
  await pause(LEFT_MS);
  return Promise.all(pending);
}

async function ask(
  entry: EntryProcess,
  organisation: Organisation,
  id: string,
): Promise<Answer> {
  const {status, headers} = await sendRequest({
    port: entry.callersPort,
    route: 'status',
    id,
    headers: {
      'api-key': keyOf(organisation),
      'deadline-ms': String(LEFT_MS),
    },
  });
  const retryAfterS = Number(headers['retry-after']);
  return {organisation, status, retryAfterS};
}

function keyOf(organisation: Organisation): string {
  return `key-of-${organisation}`;
}

function runsSince(platform: PlatformStandin, startedMs: number): Run[] {
  return [...platform.runners.values()]
    .flatMap(({executedRequests}) => executedRequests)
    .filter(({atMs}) => atMs >= startedMs)
    .map(({requestId, atMs}) => ({
      organisation: requestId.split('-')[0]!,
      atMs,
    }));
}

/** @returns the most runs of an organisation within a window. */
function mostInWindow(runs: readonly Run[], organisation: string): number {
  const times = runs
    .filter(run => run.organisation === organisation)
    .map(({atMs}) => atMs);
  const counts = times.map(
    endMs => times.filter(t => t > endMs - WINDOW_MS && t <= endMs).length,
  );
  return Math.max(0, ...counts);
}

function judgeCaps(
  answers: readonly Answer[],
  runs: readonly Run[],
): UsageCapVerdict {
  const refused = answers.filter(({status}) => status === TOO_MANY_REQUESTS);
  const most = mostInWindow(runs, 'large');
  const found: Array<[string, number]> = [
    [
      'refusals that name too short a time',
      refused.filter(({retryAfterS}) => !(retryAfterS >= MIN_RETRY_AFTER_S))
        .length,
    ],
    [
      'refusals of the organisation under its cap',
      refused.filter(({organisation}) => organisation === 'small').length,
    ],
    ['requests over the cap', Math.max(0, most - LIMIT * (1 + TOLERANCE))],
  ];
  return {
    violations: found
      .filter(([, count]) => count > 0)
      .map(([rule, count]) => ({rule, what: String(Math.ceil(count))})),
    mostInWindow: most,
    refused: refused.length,
  };
}
