import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import type {RunnerStandin} from '@banyanfold/platform/standins';
import type {Violation} from './soakRecord.js';
import {
  LeavingSystem,
  type LeavingEntry,
  type LeavingWay,
} from './leavingSystem.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';

export interface LeavingRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
  /** Whether each entry is stopped half of the time, as on half a core. */
  isHalfCore: boolean;
}

/** What was seen as one runner of each service left. */
export interface LeavingVerdict {
  scenario: string;
  way: LeavingWay;
  violations: Violation[];
  /** Last arrival at a runner after the store knew that it leaves. */
  latestMs: number;
  /** The entry that sent it; undefined if nothing arrived. */
  latestEntry?: string;
  /** Longest time that a caller waited for an answer. */
  longestWaitMs: number;
  /** Share of the calls that were answered. */
  servedShare: number;
}

interface Struck {
  /** Entries that are out of touch, whose requests don't count. */
  excused: LeavingEntry[];
  /** Called right after the store has recorded the leaving. */
  afterLeaving?(): void;
  end?(): void;
}

type Strike = (system: LeavingSystem) => Struck;

/** A request must not reach a runner later than this after its leaving. */
const LEAVING_BOUND_MS = 2_000;
const WAYS: readonly LeavingWay[] = ['draining', 'gone'];
const WATCH_MS = 4_000;
/** An entry that was struck is back in touch after this. */
const SETTLE_MS = 4_000;
/** How long polls miss records, and runners leave connections unanswered. */
const FAULT_MS = 1_000;
const STRIKE_LEAD_MS = 300;
/** Spreads the strikes over the pauses of the entries' reads. */
const MAX_OFFSET_MS = 1_000;

const silenceStore = ({entries}: LeavingSystem) => {
  for (const {storeLink} of entries) {
    storeLink.set('silent');
    storeLink.set('pass');
  }
};

type HolderStrike = (holder: LeavingEntry, system: LeavingSystem) => void;

/** Strikes the holder of the lease, whose requests don't count. */
const strikeHolder =
  (begin: HolderStrike, end: HolderStrike = () => {}): Strike =>
  system => {
    const holder = system.holder();
    if (!holder) return {excused: []};
    begin(holder, system);
    return {excused: [holder], end: () => end(holder, system)};
  };

const killHolder = strikeHolder(({process}) => process.end('SIGKILL'));
const stopHolder = strikeHolder(({process}) => process.end('SIGTERM'));
const freezeHolder = strikeHolder(
  (holder, system) => system.freeze(holder),
  (holder, system) => system.thaw(holder),
);
const cutHolder = strikeHolder(
  ({storeLink}) => storeLink.set('silent'),
  ({storeLink}) => storeLink.set('pass'),
);

/** Strikes with both; requests of entries that either strikes don't count. */
const both =
  (one: Strike, other: Strike): Strike =>
  struck => {
    const results = [one(struck), other(struck)];
    return {
      excused: results.flatMap(({excused}) => excused),
      afterLeaving: () => results.forEach(r => r.afterLeaving?.()),
      end: () => results.forEach(({end}) => end?.()),
    };
  };

const silence: Strike = struck => {
  silenceStore(struck);
  return {excused: []};
};
const forget: Strike = ({platform}) => ({
  excused: [],
  afterLeaving: () => platform.store.deleteHistory('keyed.servers'),
});
const miss: Strike = ({platform}) => {
  platform.store.missRecords(FAULT_MS);
  return {excused: []};
};
const slow: Strike = ({entries}) => {
  for (const {storeLink} of entries) storeLink.set('delay');
  return {
    excused: [],
    end: () => entries.forEach(({storeLink}) => storeLink.set('pass')),
  };
};
const stall: Strike = ({proxies}) => {
  for (const proxy of proxies.values()) void proxy.stall();
  const resume = () => proxies.forEach(proxy => proxy.resume());
  setTimeout(resume, FAULT_MS + STRIKE_LEAD_MS);
  return {excused: [], end: resume};
};

const SCENARIOS: Record<string, Strike> = {
  nothing: () => ({excused: []}),
  'open connections to the store fall silent': silence,
  'polls miss records': miss,
  'history dropped': forget,
  'holder killed': killHolder,
  'holder stopped': stopHolder,
  'connections to runners unanswered': stall,
  'silent and holder killed': both(silence, killHolder),
  'silent and holder frozen': both(silence, freezeHolder),
  'silent and holder cut off': both(silence, cutHolder),
  'silent and history dropped': both(silence, forget),
  'slow and holder cut off': both(slow, cutHolder),
  'unanswered and holder frozen': both(stall, freezeHolder),
};

/**
 * Lets runners leave in both ways while each scenario strikes six entries, and
 * judges when the last request reaches one.
 *
 * @example
 * const verdicts = await runLeavings({seed: 1, folder, isHalfCore: true});
 */
export async function runLeavings({
  seed,
  folder,
  isHalfCore,
}: LeavingRunOptions): Promise<LeavingVerdict[]> {
  const logs = join(folder, 'leavings');
  mkdirSync(logs, {recursive: true});
  const draw = createDraw(seed);
  const running = new LeavingSystem({folder: logs, draw, isHalfCore});
  const verdicts: LeavingVerdict[] = [];
  try {
    await running.start();
    for (const [scenario, strike] of Object.entries(SCENARIOS)) {
      for (const way of WAYS) {
        verdicts.push(await playRound(running, {scenario, strike, way, draw}));
      }
    }
    return verdicts;
  } finally {
    await running.stop();
  }
}

interface Round {
  scenario: string;
  strike: Strike;
  way: LeavingWay;
  draw: Draw;
}

async function playRound(
  running: LeavingSystem,
  {scenario, strike, way, draw}: Round,
): Promise<LeavingVerdict> {
  await running.untilServed();
  await pause(SETTLE_MS + draw.int(0, MAX_OFFSET_MS));
  const leaving = running.pickOfEachService();
  const startMs = performance.now();
  const {excused, afterLeaving, end} = strike(running);
  await pause(draw.int(0, STRIKE_LEAD_MS));
  for (const runner of leaving) running.leave(runner, way);
  afterLeaving?.();
  const leftMs = performance.now();
  await pause(WATCH_MS);
  end?.();
  const names = new Set(excused.map(({process}) => process.name));
  const arrivals = arrivalsAfter(leftMs, leaving).filter(
    ({entry}) => !names.has(entry),
  );
  const latest = arrivals.sort((a, b) => b.afterMs - a.afterMs)[0];
  for (const runner of leaving) await running.replace(runner);
  const calls = running.callsSince(startMs).filter(c => !names.has(c.entry));
  const waits = calls.map(({waitedMs}) => waitedMs);
  const late = arrivals.filter(({afterMs}) => afterMs > LEAVING_BOUND_MS);
  return {
    scenario,
    way,
    violations: [
      ...late.map(({id, entry, afterMs}) => ({
        rule: 'a leaving runner gets no more requests',
        what: `${id} by ${entry}, ${Math.round(afterMs)} ms after its leaving`,
      })),
      ...ownEndViolations(
        running.entries.map(({process}) => process),
        startMs,
      ),
    ],
    latestMs: latest?.afterMs ?? 0,
    latestEntry: latest?.entry,
    longestWaitMs: Math.max(0, ...waits),
    servedShare: calls.filter(({isServed}) => isServed).length / calls.length,
  };
}

interface Arrival {
  id: string;
  entry: string;
  afterMs: number;
}

function arrivalsAfter(
  leftMs: number,
  runners: readonly RunnerStandin[],
): Arrival[] {
  return runners
    .flatMap(({receivedRequests}) => receivedRequests)
    .filter(({atMs}) => atMs > leftMs)
    .map(({requestId, atMs}) => ({
      id: requestId,
      entry: requestId.slice(0, requestId.lastIndexOf('.')),
      afterMs: atMs - leftMs,
    }));
}
