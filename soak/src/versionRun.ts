import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {
  PlatformStandin,
  type RunnerFault,
  type RunnerStandin,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import type {Violation} from './soakRecord.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import {ResumingCaller, type ResumedStream} from './resumingCaller.js';
import {startEntries} from './startEntries.js';
import {brokenStreams, countTakeUps, mixedStreams} from './streamRules.js';

export interface VersionRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers saw under one disturbance. */
export interface VersionVerdict {
  disturbance: string;
  violations: Violation[];
  streams: number;
  takenUp: number;
  goneOn: number;
}

interface VersionSystem {
  platform: PlatformStandin;
  entries: EntryProcess[];
  runners: RunnerStandin[];
  /** Faults of the next streams at any runner. */
  faults: RunnerFault[];
  draw: Draw;
}

interface Disturbance {
  /** One in so many streams is left midway by its caller. */
  leavesOneIn?: number;
  /** Least share of the streams that are taken up and go on. */
  goneOnShare: number;
  play(system: VersionSystem): Promise<void>;
}

const ENTRIES = 5;
const RUNNERS_PER_VERSION = 4;
const VERSIONS = ['v1', 'v2'];
const CALLERS = 28;
const EVENTS = 14;
const EVENT_PAUSE_MS = 60;
const PLAY_MS = 8_000;
const START_POLL_MS = 200;
const REPEATS = 3;
const FREEZE_MS = 2_000;
const FAULT_INTERVAL_MS = 120;
/** Time in which the streams that are open end, after the last disturbance. */
const LEFT_MS = 3_000;
const UNDISTURBED_SHARE = 0.9;
const ENTRY_LOST_SHARE = 0.5;

const DISTURBANCES: Record<string, Disturbance> = {
  'runners reset streams': {
    goneOnShare: UNDISTURBED_SHARE,
    play: async ({faults}) => {
      for (let ms = 0; ms < PLAY_MS; ms += FAULT_INTERVAL_MS) {
        if (faults.length === 0) faults.push('cut-in-event');
        await pause(FAULT_INTERVAL_MS);
      }
    },
  },
  'callers leave and come back': {
    leavesOneIn: 3,
    goneOnShare: UNDISTURBED_SHARE,
    play: () => pause(PLAY_MS),
  },
  'entries are killed': {
    goneOnShare: ENTRY_LOST_SHARE,
    play: async ({entries}) => {
      for (let i = 0; i < REPEATS; i++) {
        await pause(PLAY_MS / REPEATS);
        entries[i]!.end('SIGKILL');
      }
    },
  },
  'entries are frozen': {
    goneOnShare: ENTRY_LOST_SHARE,
    play: async ({entries}) => {
      for (let i = 0; i < REPEATS; i++) {
        await pause(PLAY_MS / REPEATS);
        entries[i]!.signal('SIGSTOP');
        await pause(FREEZE_MS);
        entries[i]!.signal('SIGCONT');
      }
    },
  },
  'versions are rolled': {
    leavesOneIn: 3,
    goneOnShare: ENTRY_LOST_SHARE,
    play: rollVersions,
  },
};

/** Runners of v1 leave one by one, and runners of v3 come in their place. */
async function rollVersions(system: VersionSystem): Promise<void> {
  const leaving = system.runners.slice(0, RUNNERS_PER_VERSION);
  for (const runner of leaving) {
    await addRunner(system, 'v3');
    system.platform.drainRunner(runner);
    await pause(PLAY_MS / leaving.length);
  }
}

/**
 * Plays each disturbance on five entries and runners of two versions, and judges
 * where streams went on.
 *
 * @example (await runVersions({seed: 1, folder: '.run/versions'}))[0].violations
 */
export async function runVersions(
  options: VersionRunOptions,
): Promise<VersionVerdict[]> {
  const verdicts: VersionVerdict[] = [];
  for (const name of Object.keys(DISTURBANCES)) {
    verdicts.push(await playDisturbance(name, options));
  }
  return verdicts;
}

async function playDisturbance(
  name: string,
  {seed, folder}: VersionRunOptions,
): Promise<VersionVerdict> {
  const disturbance = DISTURBANCES[name]!;
  const platform = new PlatformStandin();
  await platform.start();
  const system: VersionSystem = {
    platform,
    entries: [],
    runners: [],
    faults: [],
    draw: createDraw(seed),
  };
  for (const version of VERSIONS) {
    for (let i = 0; i < RUNNERS_PER_VERSION; i++) {
      await addRunner(system, version);
    }
  }
  // A folder of its own, so that the logs of each disturbance are kept.
  const logs = join(folder, name.replaceAll(' ', '-'));
  mkdirSync(logs, {recursive: true});
  system.entries = await startEntries({
    platform,
    count: ENTRIES,
    folder: logs,
  });
  try {
    const streams = await playStreams(system, disturbance, seed);
    const verdict = judgeStreams(name, streams);
    verdict.violations.push(...ownEndViolations(system.entries));
    return verdict;
  } finally {
    await Promise.all(system.entries.map(entry => entry.stop()));
    platform.stop();
  }
}

async function addRunner(
  {platform, runners, faults}: VersionSystem,
  softwareVersion: string,
): Promise<void> {
  const runner = await platform.addRunner({
    runnerId: `drafting-${runners.length + 1}`,
    service: 'drafting',
    softwareVersion,
    models: [{name: 'm1', adapters: []}],
    events: EVENTS,
    eventPauseMs: EVENT_PAUSE_MS,
    faults,
  });
  runners.push(runner);
}

async function playStreams(
  system: VersionSystem,
  {leavesOneIn, play}: Disturbance,
  seed: number,
): Promise<ResumedStream[]> {
  const {entries} = system;
  await untilAllServe(entries);
  const callers = Array.from({length: CALLERS}, (_, i) => {
    const draw = createDraw(seed * CALLERS + i);
    return new ResumingCaller({name: `c${i}`, entries, draw, leavesOneIn});
  });
  const running = callers.map(caller => caller.run());
  await play(system);
  for (const caller of callers) caller.stop();
  await Promise.race([Promise.all(running), pause(LEFT_MS)]);
  return callers.flatMap(({streams}) => streams);
}

/** Waits until each entry serves streams and knows its peers. */
async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const probes = entries.map(async (entry, i) => {
    for (;;) {
      const caller = new ResumingCaller({
        name: `start-${i}`,
        entries: [entry],
        draw: createDraw(i + 1),
      });
      await caller.readOne();
      if (caller.streams[0]?.parts[0]?.isComplete) return;
      await pause(START_POLL_MS);
    }
  });
  await Promise.all(probes);
}

function judgeStreams(
  disturbance: string,
  streams: readonly ResumedStream[],
): VersionVerdict {
  const {goneOnShare} = DISTURBANCES[disturbance]!;
  const {takenUp, goneOn} = countTakeUps(streams);
  const violations = [
    ...mixedStreams(streams).map(what => ({rule: 'one version', what})),
    ...brokenStreams(streams, EVENTS).map(what => ({rule: 'no gap', what})),
  ];
  if (goneOn < takenUp * goneOnShare) {
    const what = `${goneOn} of ${takenUp}, under ${goneOnShare}`;
    violations.push({rule: 'streams go on', what});
  }
  return {disturbance, violations, streams: streams.length, takenUp, goneOn};
}
