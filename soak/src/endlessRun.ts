import http from 'node:http';
import {
  ENDLESS_KINDS,
  parseEvents,
  PlatformStandin,
  sendRequest,
  type EndlessPace,
  type RunnerStandin,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {HIGH_LOAD_SETTINGS} from './highLoadSettings.js';
import {memoryMbOf} from './memoryMbOf.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import type {Violation} from './soakRecord.js';
import {startEntries} from './startEntries.js';

export interface EndlessRunOptions {
  /** For settings and logs. */
  folder: string;
  /** Names of the scenarios to play; all if undefined. */
  scenarios?: readonly string[];
  /** Whether readiness is judged, which takes a machine that isn't busy. */
  isTimed: boolean;
}

/** What callers, the balancer and the kernel saw while one part had no end. */
export interface EndlessVerdict {
  /** The part of the answers that had no end, and the pace. */
  scenario: string;
  violations: Violation[];
  /** Requests and calls that the runner answered without end. */
  endlessAnswers: number;
  wholeStreams: number;
  served: number;
  /** Of a request, until its end. */
  longestMs: number;
  longestReadinessMs: number;
  /** Beyond what the process took before. */
  memoryMb: number;
}

interface Scenario {
  name: string;
  begin(runners: readonly RunnerStandin[]): void;
}

interface Stage {
  scenario: Scenario;
  entries: readonly EntryProcess[];
  /** The runners that answer without end. */
  bad: readonly RunnerStandin[];
  isTimed: boolean;
}

interface Call {
  isStream: boolean;
  isServed: boolean;
  tookMs: number;
}

const ENTRIES = 3;
const STREAMS = 12;
const EVENTS = 8;
const CALL_INTERVAL_MS = 100;
const DEADLINE_MS = 3_000;
/** Until the runner is used again after the scenario before. */
const EJECTED_MS = 2_700;
const SAMPLE_MS = 50;
const MAX_MEMORY_MB = 160;
const MAX_READINESS_MS = 300;
const OK = 200;
const START_MS = 30_000;
const PACES: readonly EndlessPace[] = ['fast', 'slow'];

const SCENARIOS: readonly Scenario[] = PACES.flatMap(pace => [
  ...ENDLESS_KINDS.map(answer => ({
    name: `${answer}, ${pace}`,
    begin: (runners: readonly RunnerStandin[]) => {
      for (const runner of runners) runner.endless = {answer, pace};
    },
  })),
  {
    name: `reports and orders, ${pace}`,
    begin: (runners: readonly RunnerStandin[]) => {
      for (const runner of runners) runner.endlessControl = pace;
    },
  },
]);

/**
 * Plays one runner of each service that answers without end, beside another,
 * and judges memory, readiness and what callers get.
 *
 * @example await runEndless({folder: '.run/soak/endless', isTimed: true})
 */
export async function runEndless({
  folder,
  scenarios,
  isTimed,
}: EndlessRunOptions): Promise<EndlessVerdict[]> {
  const platform = new PlatformStandin();
  await platform.start();
  const bad = await addRunners(platform, 'bad');
  await addRunners(platform, 'good');
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder,
    extraSettings: HIGH_LOAD_SETTINGS,
  });
  try {
    await untilAllServe(entries);
    const verdicts: EndlessVerdict[] = [];
    for (const scenario of SCENARIOS) {
      if (scenarios && !scenarios.includes(scenario.name)) continue;
      verdicts.push(await play({scenario, entries, bad, isTimed}));
      await pause(EJECTED_MS);
    }
    return verdicts;
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

function addRunners(
  platform: PlatformStandin,
  name: string,
): Promise<RunnerStandin[]> {
  return Promise.all([
    platform.addRunner({runnerId: `plain-${name}`, service: 'desk'}),
    platform.addRunner({
      runnerId: `model-${name}`,
      service: 'drafting',
      models: [{name: 'm1', adapters: []}],
      events: EVENTS,
      eventPauseMs: 20,
    }),
  ]);
}

async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const endMs = performance.now() + START_MS;
  for (const entry of entries) {
    for (const isStream of [false, true]) {
      while (!(await ask(entry, 'start', isStream)).isServed) {
        if (performance.now() > endMs) throw new Error('never served');
        await pause(CALL_INTERVAL_MS);
      }
    }
  }
}

async function play({
  scenario: {name, begin},
  entries,
  bad,
  isTimed,
}: Stage): Promise<EndlessVerdict> {
  const answersBefore = answersOf(bad);
  const watches = entries.map(entry => new Watch(entry));
  begin(bad);
  const calls: Array<Promise<Call>> = [];
  for (let i = 0; i < STREAMS; i++) {
    const entry = entries[i % entries.length]!;
    calls.push(ask(entry, `${name}-s${i}`, true));
    calls.push(ask(entry, `${name}-p${i}`, false));
    await pause(CALL_INTERVAL_MS);
  }
  const ended = await Promise.all(calls);
  for (const runner of bad) {
    runner.endless = undefined;
    runner.endlessControl = undefined;
  }
  for (const watch of watches) watch.stop();
  const streams = ended.filter(({isStream}) => isStream);
  const verdict: EndlessVerdict = {
    scenario: name,
    violations: [],
    endlessAnswers: answersOf(bad) - answersBefore,
    wholeStreams: countServed(streams),
    served: countServed(ended) - countServed(streams),
    longestMs: Math.max(...ended.map(({tookMs}) => tookMs)),
    longestReadinessMs: Math.max(...watches.map(watch => watch.readinessMs)),
    memoryMb: Math.max(...watches.map(watch => watch.memoryMb)),
  };
  verdict.violations = violationsOf(verdict, entries, isTimed);
  return verdict;
}

function violationsOf(
  verdict: EndlessVerdict,
  entries: readonly EntryProcess[],
  isTimed: boolean,
): Violation[] {
  const {wholeStreams, served, memoryMb, longestReadinessMs} = verdict;
  const checks: Array<[isBroken: boolean, rule: string, what: string]> = [
    [wholeStreams < STREAMS, 'streams are whole', `${wholeStreams} are`],
    [served < STREAMS, 'calls are served', `${served} are`],
    [memoryMb > MAX_MEMORY_MB, 'memory', `${memoryMb.toFixed(0)} MB more`],
    [
      isTimed && longestReadinessMs > MAX_READINESS_MS,
      'readiness',
      `answered after ${longestReadinessMs.toFixed(0)} ms`,
    ],
  ];
  return [
    ...checks
      .filter(([isBroken]) => isBroken)
      .map(([, rule, what]) => ({rule, what})),
    ...ownEndViolations(entries),
  ];
}

function countServed(calls: readonly Call[]): number {
  return calls.filter(({isServed}) => isServed).length;
}

function answersOf(runners: readonly RunnerStandin[]): number {
  return runners
    .map(runner => runner.receivedRequests.length + runner.endlessCalls)
    .reduce((sum, count) => sum + count, 0);
}

async function ask(
  entry: EntryProcess,
  id: string,
  isStream: boolean,
): Promise<Call> {
  const sentMs = performance.now();
  const deadline = {'deadline-ms': String(DEADLINE_MS)};
  const {status, text, isTruncated} = await sendRequest({
    port: entry.callersPort,
    route: isStream ? 'letter' : 'status',
    id: id.replaceAll(/\W/g, '-'),
    headers: isStream
      ? {...deadline, model: 'm1', 'token-count': '10,8'}
      : deadline,
  });
  const isWhole = !isStream || parseEvents(text).length === EVENTS;
  return {
    isStream,
    isServed: status === OK && !isTruncated && isWhole,
    tookMs: performance.now() - sentMs,
  };
}

/** Watches the memory and the readiness of a process. */
class Watch {
  readinessMs = 0;
  memoryMb = 0;
  private readonly memoryBeforeMb: number;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly entry: EntryProcess) {
    this.memoryBeforeMb = memoryMbOf(entry.pid);
    this.timer = setInterval(() => this.sample(), SAMPLE_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    const moreMb = memoryMbOf(this.entry.pid) - this.memoryBeforeMb;
    this.memoryMb = Math.max(this.memoryMb, moreMb);
    const sentMs = performance.now();
    http
      .get({port: this.entry.readinessPort, host: '127.0.0.1'}, response => {
        response.resume();
        const tookMs = performance.now() - sentMs;
        this.readinessMs = Math.max(this.readinessMs, tookMs);
      })
      .on('error', () => {
        this.readinessMs = Number.POSITIVE_INFINITY;
      });
  }
}
