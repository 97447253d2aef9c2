import http from 'node:http';
import {
  PlatformStandin,
  sendRequest,
  SlotQueue,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import type {Violation} from './soakRecord.js';
import {startEntries} from './startEntries.js';
import {takeTurns} from './takeTurns.js';

export interface PlannedStopRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers and runners saw of one run. */
export interface PlannedStopVerdict {
  violations: Violation[];
  stops: number;
  calls: number;
  served: number;
  /** Calls that an entry refused as not run. */
  refused: number;
}

interface StopCall {
  id: string;
  entry: string;
  sentMs: number;
  endedMs: number;
  status: number;
  isTruncated: boolean;
}

/** What is played, by the seed. */
interface StopPlan {
  callsPerSecond: number;
  storeDelayMs: number;
  /** Entries that are stopped together, the holder of the lease first. */
  stoppedAtOnce: number;
}

const ENTRIES = 3;
/** A grace period that is long enough to end with the last open request. */
const SETTINGS = {
  bounds: {grace_s: 8, lease_ms: 100, fencing_enabled: true},
};
const RUNNERS = 4;
const SERVICE = 'desk';
const SLOTS = 8;
const MAX_WAITING = 32;
const MEAN_WORK_MS = 20;
const ROUNDS = 2;
const FIRST_STOP_MS = 1_000;
/** Longer than a stop and the start after it take. */
const ROUND_MS = 6_500;
const DEADLINE_MS = 1_500;
/** One in so many calls comes on a connection that is kept. */
const KEPT_ONE_IN = 4;
const START_POLL_MS = 100;
const START_MS = 30_000;
const MS_PER_SECOND = 1000;
const SERVED = 200;
const NOT_RUN = 503;

function planOf(seed: number): StopPlan {
  return {
    callsPerSecond: takeTurns([100, 150, 250, 150, 250], seed),
    storeDelayMs: takeTurns([4, 4, 100], seed),
    stoppedAtOnce: takeTurns([1, 2, 2, 3], seed),
  };
}

/**
 * Stops entries with SIGTERM and starts them again, while callers keep sending
 * new connections to all of them, as a balancer does that has too few ready
 * entries. No call that a runner has may be cut off.
 *
 * @example (await runPlannedStops({seed: 1, folder: '.run/stops'})).violations
 */
export async function runPlannedStops({
  seed,
  folder,
}: PlannedStopRunOptions): Promise<PlannedStopVerdict> {
  const platform = new PlatformStandin();
  const draw = createDraw(seed);
  const plan = planOf(seed);
  await platform.start();
  for (let i = 1; i <= RUNNERS; i++) {
    await platform.addRunner({
      runnerId: `${SERVICE}-${i}`,
      service: SERVICE,
      slotQueue: new SlotQueue({
        slots: SLOTS,
        maxWaiting: MAX_WAITING,
        meanMs: MEAN_WORK_MS,
        random: () => draw.int(0, 999) / 1_000,
      }),
    });
  }
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder,
    extraSettings: SETTINGS,
  });
  try {
    await untilAllServe(entries);
    platform.store.answerDelayMs = plan.storeDelayMs;
    return await play({platform, entries, plan, draw});
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

interface Stage {
  platform: PlatformStandin;
  entries: readonly EntryProcess[];
  plan: StopPlan;
  draw: Draw;
}

async function play(stage: Stage): Promise<PlannedStopVerdict> {
  const {platform, entries, plan, draw} = stage;
  const agents = entries.map(
    () => new http.Agent({keepAlive: true, maxSockets: 1}),
  );
  const pending: Array<Promise<StopCall>> = [];
  const timer = setInterval(() => {
    const at = draw.int(0, entries.length - 1);
    const isKept = draw.int(1, KEPT_ONE_IN) === 1;
    const agent = isKept ? agents[at] : undefined;
    pending.push(call(entries[at]!, `call-${pending.length}`, agent));
  }, MS_PER_SECOND / plan.callsPerSecond);
  await pause(FIRST_STOP_MS);
  let stops = 0;
  for (let round = 0; round < ROUNDS; round++) {
    for (const entry of pickStopped(stage)) {
      entry.end('SIGTERM');
      stops += 1;
    }
    await pause(ROUND_MS);
  }
  clearInterval(timer);
  const calls = await Promise.all(pending);
  for (const agent of agents) agent.destroy();
  return {
    violations: [
      ...calls
        .filter(isCut)
        .filter(({id}) => hasArrived(platform, id))
        .map(each => ({
          rule: 'a planned stop cuts off no call that a runner has',
          what: describe(each),
        })),
      ...ownEndViolations(entries),
    ],
    stops,
    calls: calls.length,
    served: calls.filter(each => each.status === SERVED && !each.isTruncated)
      .length,
    refused: calls.filter(({status}) => status === NOT_RUN).length,
  };
}

/** The holder of the lease, and others that are drawn. */
function pickStopped({platform, entries, plan, draw}: Stage): EntryProcess[] {
  const owner = platform.store.groupOwner ?? '';
  const holder = entries.filter(entry => owner.startsWith(entry.peersAddress));
  const others = entries.filter(entry => !holder.includes(entry));
  const first = draw.int(0, Math.max(0, others.length - 1));
  const inTurn = [...others.slice(first), ...others.slice(0, first)];
  return [...holder, ...inTurn].slice(0, plan.stoppedAtOnce);
}

async function call(
  entry: EntryProcess,
  id: string,
  agent?: http.Agent,
): Promise<StopCall> {
  const sentMs = performance.now();
  const {status, isTruncated} = await sendRequest({
    port: entry.callersPort,
    route: 'lodge',
    id,
    headers: {'deadline-ms': String(DEADLINE_MS)},
    agent,
  });
  const endedMs = performance.now();
  return {id, entry: entry.name, sentMs, endedMs, status, isTruncated};
}

function hasArrived(platform: PlatformStandin, id: string): boolean {
  return [...platform.runners.values()].some(({executedRequests}) =>
    executedRequests.some(({requestId}) => requestId === id),
  );
}

function isCut({status, isTruncated, sentMs, endedMs}: StopCall): boolean {
  const hasEnded = status !== 0 && !isTruncated;
  return !hasEnded && endedMs - sentMs < DEADLINE_MS;
}

function describe({id, entry, sentMs, endedMs}: StopCall): string {
  return `${id} at ${entry}, closed after ${Math.round(endedMs - sentMs)} ms`;
}

async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const endMs = performance.now() + START_MS;
  for (const [i, entry] of entries.entries()) {
    while ((await call(entry, `start-${i}`)).status !== SERVED) {
      if (performance.now() > endMs) throw new Error('never served');
      await pause(START_POLL_MS);
    }
  }
}
