import type {ReceivedRequest} from '@banyanfold/platform/standins';
import {Caller} from './callers.js';
import {CrashingCaller} from './crashingCaller.js';
import {ConfigProber} from './configProber.js';
import {FAULT_HANDLERS, type FaultContext} from './faults.js';
import {judge} from './judge.js';
import {ODD_AMOUNTS, OddCaller} from './oddCaller.js';
import {describeOwnEnds} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw} from './random.js';
import {planFaults, type PlannedFault} from './soakPlan.js';
import type {
  OddCallerSpan,
  PlayedFault,
  SoakRecord,
  Violation,
} from './soakRecord.js';
import {ResumingCaller} from './resumingCaller.js';
import {HIGH_LOAD_SETTINGS} from './highLoadSettings.js';
import {SoakSystem} from './soakSystem.js';
import {countTakeUps} from './streamRules.js';
import {takeTurns} from './takeTurns.js';
import {untilServed} from './untilServed.js';

export interface RunSeedOptions {
  seed: number;
  /** The span in which faults begin. */
  lengthMs: number;
  /** For settings and logs. */
  folder: string;
  /** Whether the rules with a bound in time count. */
  isTimed: boolean;
}

export interface SeedVerdict {
  seed: number;
  violations: Violation[];
  faults: number;
  calls: number;
  /** Answered by a runner, whole. */
  served: number;
  /** Streams that callers took up again, and those that went on. */
  takenUp: number;
  goneOn: number;
}

const CALLERS = 8;
/** Seeds of callers are kept apart from those of the plan. */
const CALLER_SEEDS = 1_000_000;
const CRASHING_SEEDS = 2_000_000;
/** One in so many seeds has a request that crashes the runners that run it. */
const CRASHING_ONE_IN = 2;
/** Of the others, one in so many has a prompt part that does. */
const CRASHING_PART_ONE_IN = 4;
/** One in so many seeds has entries with the settings for high load. */
const HIGH_LOAD_ONE_IN = 3;
/** All is served again so soon after the last fault. */
const RECOVERY_MS = 20_000;
const START_MS = 20_000;
/** One in so many seeds has runners of several software versions. */
const VERSIONS_ONE_IN = 4;
const VERSIONS = 2;
const RESUMING_CALLERS = 3;
const LEAVES_ONE_IN = 2;
const RESUMING_SEEDS = 3_000_000;
/** One in so many seeds has a caller with odd headers, after the faults. */
const ODD_CALLER_ONE_IN = 4;
const ODD_CALLER_SEEDS = 4_000_000;
const ODD_CALLER_MS = 4_000;
/** What the odd caller has caused is over after this long. */
const ODD_CALLER_OVER_MS = 4_000;
/** Calls of this span before and after it are compared. */
const COMPARED_MS = 2_500;

/**
 * Plays the faults of one seed against the programs, and judges what was seen.
 *
 * @example
 * const {violations} = await runSeed({seed: 7, lengthMs: 10_000, folder,
 *   isTimed: true});
 */
export async function runSeed(options: RunSeedOptions): Promise<SeedVerdict> {
  const isHighLoad = options.seed % HIGH_LOAD_ONE_IN === 0;
  const extraSettings = isHighLoad ? HIGH_LOAD_SETTINGS : {};
  const system = new SoakSystem(
    options.folder,
    extraSettings,
    hasVersions(options.seed) ? VERSIONS : 1,
  );
  try {
    await system.start();
    const isUp = await untilServed(system, START_MS);
    if (isUp.length > 0) throw new Error(`never began: ${isUp.join('; ')}`);
    const record = await playSeed(system, options);
    return verdictOf(record, options);
  } finally {
    await system.stop();
  }
}

/** Callers ask all the while, from before the first fault to the recovery. */
async function playSeed(
  system: SoakSystem,
  {seed, lengthMs}: RunSeedOptions,
): Promise<SoakRecord> {
  const callers = makeCallers(system, seed);
  const running = callers.map(caller => caller.run());
  const crashing = makeCrashingCaller(system, seed);
  const crashingRun = crashing?.run();
  const resuming = makeResumingCallers(system, seed);
  const resumingRuns = resuming.map(caller => caller.run());
  const context: FaultContext = {system, addedRoutes: []};
  const prober = new ConfigProber(context);
  prober.start();
  const faults = await playFaults(context, planFaults({seed, lengthMs}));
  const notRecovered = await untilServed(system, RECOVERY_MS);
  await prober.stop();
  crashing?.stop();
  for (const caller of resuming) caller.stop();
  const oddCaller = await playOddCaller(system, seed);
  for (const caller of callers) caller.stop();
  await Promise.all([...running, crashingRun, ...resumingRuns]);
  return {
    crashing: crashing?.calls ?? [],
    oddCaller,
    calls: callers.flatMap(({calls}) => calls),
    streams: resuming.flatMap(({streams}) => streams),
    seen: seenById(system),
    orders: system.runners.flatMap(({orders}) => orders),
    overfilled: system.runners.flatMap(
      ({overcommittedOrders: overfilled}) => overfilled,
    ),
    faults: [...faults, ...system.crashesMs.map(crashAt)],
    probes: prober.probes,
    leavings: system.leavings,
    ownEnds: describeOwnEnds(system.entries.map(({process}) => process)),
    notRecovered,
  };
}

/** Besides the sound callers, when no fault is played any more. */
async function playOddCaller(
  {entries}: SoakSystem,
  seed: number,
): Promise<OddCallerSpan | undefined> {
  if (seed % ODD_CALLER_ONE_IN !== 2) return undefined;
  await pause(COMPARED_MS);
  const caller = new OddCaller({
    entries: entries.map(({process}) => process),
    draw: createDraw(seed + ODD_CALLER_SEEDS),
    amount: takeTurns(ODD_AMOUNTS, Math.floor(seed / ODD_CALLER_ONE_IN)),
  });
  const running = caller.run();
  const fromMs = performance.now();
  await pause(ODD_CALLER_MS);
  caller.stop();
  await running;
  const toMs = performance.now();
  await pause(ODD_CALLER_OVER_MS + COMPARED_MS);
  return {
    beforeMs: fromMs - COMPARED_MS,
    fromMs,
    toMs,
    overMs: toMs + ODD_CALLER_OVER_MS,
  };
}

function makeCallers({entries, herd}: SoakSystem, seed: number): Caller[] {
  const processes = entries.map(({process}) => process);
  return Array.from({length: CALLERS}, (_, i) => {
    const draw = createDraw(seed * CALLERS + i + CALLER_SEEDS);
    return new Caller({name: `c${i}`, entries: processes, herd, draw});
  });
}

/** Also where one version serves, where each stream may go on. */
function makeResumingCallers(
  {entries}: SoakSystem,
  seed: number,
): ResumingCaller[] {
  if (!hasVersions(seed) && !hasVersions(seed + 1)) return [];
  const processes = entries.map(({process}) => process);
  return Array.from({length: RESUMING_CALLERS}, (_, i) => {
    const draw = createDraw(seed * RESUMING_CALLERS + i + RESUMING_SEEDS);
    return new ResumingCaller({
      name: `r${i}`,
      entries: processes,
      draw,
      leavesOneIn: LEAVES_ONE_IN,
    });
  });
}

function hasVersions(seed: number): boolean {
  return seed % VERSIONS_ONE_IN === VERSIONS_ONE_IN - 1;
}

function makeCrashingCaller(
  {entries}: SoakSystem,
  seed: number,
): CrashingCaller | undefined {
  const isByPart = seed % CRASHING_PART_ONE_IN === 1;
  if (seed % CRASHING_ONE_IN !== 0 && !isByPart) return undefined;
  const draw = createDraw(seed + CRASHING_SEEDS);
  return new CrashingCaller({
    entries: entries.map(({process}) => process),
    draw,
    isByPart,
  });
}

function crashAt(atMs: number): PlayedFault {
  return {kind: 'runner-crash', fromMs: atMs, toMs: atMs};
}

function verdictOf(
  record: SoakRecord,
  {seed, isTimed}: RunSeedOptions,
): SeedVerdict {
  const {calls, faults} = record;
  const served = calls.filter(
    ({seen}) => seen.status === 200 && !seen.isTruncated,
  );
  return {
    seed,
    violations: judge(record, isTimed),
    faults: faults.length,
    calls: calls.length,
    served: served.length,
    ...countTakeUps(record.streams),
  };
}

/** Begins each fault at its time, and waits until the last one is over. */
async function playFaults(
  context: FaultContext,
  planned: readonly PlannedFault[],
): Promise<PlayedFault[]> {
  const startMs = performance.now();
  const playing = planned.map(async (fault): Promise<PlayedFault> => {
    await pause(fault.atMs - (performance.now() - startMs));
    const fromMs = performance.now();
    const {entries} = context.system;
    const struck = entries[fault.target % entries.length]!.process.name;
    const isOneEntry = fault.kind.startsWith('entry-');
    const isOneLink = fault.kind === 'store-link';
    await FAULT_HANDLERS[fault.kind](context, fault);
    return {
      kind: fault.kind,
      fromMs,
      toMs: performance.now(),
      entry: isOneEntry || isOneLink ? struck : undefined,
    };
  });
  return Promise.all(playing);
}

function seenById({runners}: SoakSystem): SoakRecord['seen'] {
  const byId = new Map<string, ReceivedRequest[]>();
  for (const seen of runners.flatMap(runner => runner.receivedRequests)) {
    const known = byId.get(seen.requestId) ?? [];
    known.push(seen);
    byId.set(seen.requestId, known);
  }
  return byId;
}
