import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {
  PlatformStandin,
  PromptTraffic,
  type PromptTrafficOptions,
  type RunnerStandin,
  type RunnerStandinOptions,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import type {Violation} from './soakRecord.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw} from './random.js';
import {startEntries} from './startEntries.js';

export interface CrashingPartRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers and runners saw in one scenario. */
export interface CrashingPartVerdict {
  scenario: string;
  violations: Violation[];
  crashes: number;
  /** Runs of requests with the part after all entries must know of it. */
  lateRuns: number;
  /** Shares of sound requests that were answered completely. */
  soundBefore: number;
  soundDuring: number;
  soundAfter: number;
}

interface CrashingPartSystem {
  platform: PlatformStandin;
  entries: EntryProcess[];
  traffic: PromptTraffic;
  crashesMs: number[];
}

interface Scenario {
  runner?: Partial<RunnerStandinOptions>;
  callers?: Partial<PromptTrafficOptions>;
  /** Whether no request crashes a runner. */
  isWithoutCrashingPart?: boolean;
  /** Strikes the system once callers send requests with the part. */
  disturb?(system: CrashingPartSystem): Promise<void>;
}

const ENTRIES = 5;
const RUNNERS = 16;
const MODELS = ['m1', 'm2'];
const CRASHING_PART = 'bad';
const SHARED_PARTS = [1, 2, 3, 4].flatMap(first =>
  [1, 2, 3, 4, 5, 6].map(second => [`f${first}`, `s${second}`]),
);
const RESTART_MS = 2_000;
const SOUND_INTERVAL_MS = 25;
const CRASHING_INTERVAL_MS = 125;
const BEFORE_MS = 3_000;
const PLAY_MS = 16_000;
const FREEZE_MS = 2_500;
const STORE_DOWN_MS = 4_000;
const RACK_INTERVAL_MS = 4_000;
const RACKS = 3;
const RACK_RUNNERS = 4;
const START_MS = 20_000;
const START_POLL_MS = 200;
/** Crashes after which all entries come to know of the part. */
const KNOWN_CRASHES = 5;
const CONTACT_MS = 3_000;
const ALLOWED_RUNS = 3;
const MIN_SOUND_SHARE = 0.9;

const SCENARIOS: Record<string, Scenario> = {
  'part second, runners reset': {runner: {resetsOnCrash: true}},
  'part first, runners close': {callers: {isCrashingPartFirst: true}},
  'answers end with their connection': {runner: {isUnframed: true}},
  'same body in all requests': {callers: {body: 'same'}},
  'an entry is killed, another frozen': {
    disturb: async ({entries}) => {
      entries[0]!.end('SIGKILL');
      entries[1]!.signal('SIGSTOP');
      await pause(FREEZE_MS);
      entries[1]!.signal('SIGCONT');
    },
  },
  'the holder is killed': {
    disturb: async system => {
      await untilCrash(system);
      findHolder(system)?.end('SIGKILL');
    },
  },
  'the holder is frozen': {
    disturb: async system => {
      await untilCrash(system);
      const holder = findHolder(system);
      holder?.signal('SIGSTOP');
      await pause(FREEZE_MS);
      holder?.signal('SIGCONT');
    },
  },
  'the store is down': {
    disturb: async ({platform: {store}}) => {
      store.fault = 'silent';
      await pause(STORE_DOWN_MS);
      store.fault = 'none';
    },
  },
  'racks fail, no request at fault': {
    isWithoutCrashingPart: true,
    disturb: async ({platform}) => {
      for (let i = 0; i < RACKS; i++) {
        const running = [...platform.runners.values()].filter(
          ({hasCrashed}) => !hasCrashed,
        );
        for (const runner of running.slice(0, RACK_RUNNERS)) runner.crash();
        await pause(RACK_INTERVAL_MS);
      }
    },
  },
};

/**
 * Plays each scenario on five entries and sixteen runners, and judges how often
 * requests with a part that crashes runners reach one.
 *
 * @example (await runCrashingParts({seed: 1, folder: '.run/parts'}))[0].crashes
 */
export async function runCrashingParts(
  options: CrashingPartRunOptions,
): Promise<CrashingPartVerdict[]> {
  const verdicts: CrashingPartVerdict[] = [];
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    verdicts.push(await playScenario(name, scenario, options));
  }
  return verdicts;
}

async function playScenario(
  name: string,
  scenario: Scenario,
  {seed, folder}: CrashingPartRunOptions,
): Promise<CrashingPartVerdict> {
  const platform = new PlatformStandin();
  await platform.start();
  const crashesMs: number[] = [];
  await startRunners(platform, crashesMs, scenario);
  const logs = join(folder, name.replaceAll(/[ ,]+/g, '-'));
  mkdirSync(logs, {recursive: true});
  const entries = await startEntries({platform, count: ENTRIES, folder: logs});
  const draw = createDraw(seed);
  const traffic = new PromptTraffic({
    ports: entries.map(({callersPort}) => callersPort),
    models: MODELS,
    crashingPart: CRASHING_PART,
    sharedParts: SHARED_PARTS,
    soundIntervalMs: SOUND_INTERVAL_MS,
    crashingIntervalMs: CRASHING_INTERVAL_MS,
    random: () => draw.int(0, 999_999) / 1_000_000,
    ...scenario.callers,
  });
  try {
    await untilServed(traffic);
    const system = {platform, entries, traffic, crashesMs};
    return await playTraffic(name, scenario, system);
  } finally {
    await traffic.stop();
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

async function startRunners(
  platform: PlatformStandin,
  crashesMs: number[],
  {runner, isWithoutCrashingPart}: Scenario,
): Promise<void> {
  for (let i = 1; i <= RUNNERS; i++) {
    await platform.addRestartingRunner({
      runnerId: `drafting-${i}`,
      service: 'drafting',
      models: MODELS.map(model => ({name: model, adapters: []})),
      events: 10,
      eventPauseMs: 40,
      restartDelayMs: RESTART_MS,
      crashAfterMs: 30,
      crashesOn: isWithoutCrashingPart
        ? undefined
        : (_body, parts) => parts.includes(CRASHING_PART),
      onCrash: () => crashesMs.push(performance.now()),
      ...runner,
    });
  }
}

async function playTraffic(
  name: string,
  {isWithoutCrashingPart, disturb}: Scenario,
  system: CrashingPartSystem,
): Promise<CrashingPartVerdict> {
  const {traffic, crashesMs, platform, entries} = system;
  const startMs = performance.now();
  traffic.startSound();
  await pause(BEFORE_MS);
  const crashingMs = performance.now();
  if (!isWithoutCrashingPart) traffic.startCrashing();
  await Promise.all([disturb?.(system), pause(PLAY_MS)]);
  await traffic.stop();
  const lastMs = crashesMs[KNOWN_CRASHES - 1] ?? crashesMs.at(-1) ?? crashingMs;
  const knownMs = lastMs + CONTACT_MS;
  const lateRuns = [...platform.runners.values()]
    .flatMap((runner: RunnerStandin) => runner.executedRequests)
    .filter(
      ({requestId, atMs}) => requestId.startsWith('crashing') && atMs > knownMs,
    ).length;
  const soundAfter = traffic.soundShare(lastMs + 2 * CONTACT_MS);
  const violations: Violation[] = ownEndViolations(entries);
  if (!isWithoutCrashingPart && lateRuns > ALLOWED_RUNS) {
    const what = `${lateRuns} runs, ${ALLOWED_RUNS} are allowed`;
    violations.push({rule: 'requests with the part are held back', what});
  }
  if (soundAfter < MIN_SOUND_SHARE) {
    const what = `${soundAfter.toFixed(2)}, under ${MIN_SOUND_SHARE}`;
    violations.push({rule: 'sound requests are served', what});
  }
  return {
    scenario: name,
    violations,
    crashes: crashesMs.length,
    lateRuns,
    soundBefore: traffic.soundShare(startMs, crashingMs),
    soundDuring: traffic.soundShare(crashingMs, lastMs + 2 * CONTACT_MS),
    soundAfter,
  };
}

/** Waits until requests are answered at all entries. */
async function untilServed(traffic: PromptTraffic): Promise<void> {
  const endMs = performance.now() + START_MS;
  while (!(await traffic.probeAll())) {
    if (performance.now() > endMs) throw new Error('never began to serve');
    await pause(START_POLL_MS);
  }
}

async function untilCrash({crashesMs}: CrashingPartSystem): Promise<void> {
  while (crashesMs.length === 0) await pause(10);
}

function findHolder({
  platform,
  entries,
}: CrashingPartSystem): EntryProcess | undefined {
  const owner = platform.store.groupOwner ?? '';
  return entries.find(({peersAddress}) => owner.startsWith(peersAddress));
}
