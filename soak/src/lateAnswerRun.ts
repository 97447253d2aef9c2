import {
  PlatformStandin,
  sendRequest,
  SlotQueue,
  type LateCopy,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {NOT_RUN_STATUSES} from './notRunStatuses.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import type {Violation} from './soakRecord.js';
import {startEntries} from './startEntries.js';
import {takeTurns} from './takeTurns.js';

export interface LateAnswerRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers and runners saw of one run. */
export interface LateAnswerVerdict {
  violations: Violation[];
  calls: number;
  served: number;
  /** Calls that got a status which promises that they have not run. */
  refused: number;
  /** Calls that got no certain answer. */
  unknown: number;
  /** Responses that runners sent a second time. */
  lateCopies: number;
}

interface LateCall {
  id: string;
  route: string;
  status: number;
  /** The request id that the response bears. */
  namedId: string | undefined;
}

/** Disturbs entries while runners repeat responses. */
type Disturbance = (entries: readonly EntryProcess[], draw: Draw) => void;

/** What is played, by the seed. */
interface LateAnswerPlan {
  /** Statuses of the responses that come again. */
  statuses: readonly number[];
  copy: LateCopy;
  /** Whether rejections bear the id of their request. */
  namesRejections: boolean;
  copiesPerTen: number;
  /** How many of the runners send copies. */
  spoiltRunners: number;
  disturb: Disturbance;
}

const ENTRIES = 3;
const SETTINGS = {
  bounds: {grace_s: 4, lease_ms: 100, fencing_enabled: true},
};
const RUNNERS = 3;
const MODEL_RUNNERS = 2;
const SLOTS = 4;
const MAX_WAITING = 2;
const MEAN_WORK_MS = 45;
/** A model runner rejects one in so many requests. */
const MODEL_REJECTS_ONE_IN = 3;
/** More than the runners' slots can serve, so that they reject calls. */
const CALLS_PER_SECOND = 300;
/** One in so many requests is a stream that may not be resumed. */
const STREAM_ONE_IN = 8;
/** One in so many of the others may be repeated. */
const IDEMPOTENT_ONE_IN = 4;
const PLAY_MS = 10_000;
const DISTURB_EVERY_MS = 1_500;
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 1_200;
const DEADLINE_MS = 1_500;
const START_POLL_MS = 100;
const START_MS = 30_000;
const MS_PER_SECOND = 1000;
const SERVED = 200;
const REJECTED = 503;
const UNKNOWN = new Set([0, 502, 504]);
const ONCE_ROUTES = new Set(['lodge', 'lodge-letter']);

const DISTURBANCES: readonly Disturbance[] = [
  () => {},
  (entries, draw) => {
    const entry = draw.pick(entries);
    entry.signal('SIGSTOP');
    const forMs = draw.int(MIN_PAUSE_MS, MAX_PAUSE_MS);
    setTimeout(() => entry.signal('SIGCONT'), forMs);
  },
  (entries, draw) => draw.pick(entries).end('SIGTERM'),
  (entries, draw) => draw.pick(entries).end('SIGKILL'),
];

function planOf(seed: number): LateAnswerPlan {
  return {
    statuses: takeTurns([[REJECTED], [REJECTED], [SERVED, REJECTED]], seed),
    copy: {isNamed: takeTurns([false, false, true], Math.floor(seed / 2))},
    namesRejections: takeTurns([true, false], seed),
    copiesPerTen: takeTurns([3, 1, 5], Math.floor(seed / 3)),
    spoiltRunners: takeTurns([RUNNERS, 1], Math.floor(seed / 4)),
    disturb: takeTurns(DISTURBANCES, Math.floor(seed / 2)),
  };
}

/**
 * Has runners send responses a second time, late, while they are full and
 * reject calls, and entries are paused or stopped. No call that may run once
 * may run twice, and none that was refused may run.
 *
 * @example (await runLateAnswers({seed: 1, folder: '.run/late'})).violations
 */
export async function runLateAnswers({
  seed,
  folder,
}: LateAnswerRunOptions): Promise<LateAnswerVerdict> {
  const platform = new PlatformStandin();
  const draw = createDraw(seed);
  const plan = planOf(seed);
  await platform.start();
  await addRunners(platform, plan, draw);
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder,
    extraSettings: SETTINGS,
  });
  try {
    await untilAllServe(entries);
    return await play({platform, entries, plan, draw});
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

async function addRunners(
  platform: PlatformStandin,
  plan: LateAnswerPlan,
  draw: Draw,
): Promise<void> {
  const {statuses, copy, namesRejections, copiesPerTen} = plan;
  const lateCopyOf = (status: number) => {
    const isCopied =
      statuses.includes(status) && draw.int(1, 10) <= copiesPerTen;
    return isCopied ? copy : undefined;
  };
  for (let i = 0; i < RUNNERS; i++) {
    await platform.addRunner({
      runnerId: `desk-${i}`,
      service: 'desk',
      namesRejections,
      lateCopyOf: i < plan.spoiltRunners ? lateCopyOf : undefined,
      slotQueue: new SlotQueue({
        slots: SLOTS,
        maxWaiting: MAX_WAITING,
        meanMs: MEAN_WORK_MS,
        random: () => draw.int(0, 999) / 1_000,
      }),
    });
  }
  for (let i = 0; i < MODEL_RUNNERS; i++) {
    const runner = await platform.addRunner({
      runnerId: `drafting-${i}`,
      service: 'drafting',
      models: [{name: 'm1', adapters: []}],
      namesRejections,
      lateCopyOf,
    });
    runner.isFull = () => draw.int(1, MODEL_REJECTS_ONE_IN) === 1;
  }
}

interface Stage {
  platform: PlatformStandin;
  entries: readonly EntryProcess[];
  plan: LateAnswerPlan;
  draw: Draw;
}

async function play(stage: Stage): Promise<LateAnswerVerdict> {
  const {platform, entries, plan, draw} = stage;
  const pending: Array<Promise<LateCall>> = [];
  const calling = setInterval(() => {
    const route = pickRoute(draw);
    pending.push(call(draw.pick(entries), `call-${pending.length}`, route));
  }, MS_PER_SECOND / CALLS_PER_SECOND);
  const disturbing = setInterval(
    () => plan.disturb(entries, draw),
    DISTURB_EVERY_MS,
  );
  await pause(PLAY_MS);
  clearInterval(disturbing);
  clearInterval(calling);
  // What was sent on may still arrive after the last answer.
  await pause(MAX_PAUSE_MS + DEADLINE_MS);
  const calls = await Promise.all(pending);
  const runners = [...platform.runners.values()];
  return {
    violations: [
      ...judge(calls, runsById(platform)),
      ...ownEndViolations(entries),
    ],
    calls: calls.length,
    served: calls.filter(({status}) => status === SERVED).length,
    refused: calls.filter(({status}) => NOT_RUN_STATUSES.has(status)).length,
    unknown: calls.filter(({status}) => UNKNOWN.has(status)).length,
    lateCopies: runners.reduce((sum, {lateCopies}) => sum + lateCopies, 0),
  };
}

function pickRoute(draw: Draw): string {
  if (draw.int(1, STREAM_ONE_IN) === 1) return 'lodge-letter';
  return draw.int(1, IDEMPOTENT_ONE_IN) === 1 ? 'status' : 'lodge';
}

function runsById({runners}: PlatformStandin): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const {executedRequests} of runners.values()) {
    for (const {requestId} of executedRequests) {
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    }
  }
  return runs;
}

function judge(
  calls: readonly LateCall[],
  runs: ReadonlyMap<string, number>,
): Violation[] {
  return calls.flatMap(({id, route, status, namedId}) => {
    const count = runs.get(id) ?? 0;
    const isOnce = ONCE_ROUTES.has(route);
    const broken: string[] = [];
    if (isOnce && count > 1) broken.push('what may run once runs once');
    if (isOnce && count > 0 && NOT_RUN_STATUSES.has(status)) {
      broken.push('what is refused does not run');
    }
    if (status === SERVED && namedId !== id) {
      broken.push('an answer is the caller’s own');
    }
    return broken.map(rule => ({
      rule,
      what: `${id} on ${route} got ${status} and ran ${count} times`,
    }));
  });
}

async function call(
  entry: EntryProcess,
  id: string,
  route: string,
): Promise<LateCall> {
  const {status, headers} = await sendRequest({
    port: entry.callersPort,
    route,
    id,
    headers: {
      'deadline-ms': String(DEADLINE_MS),
      ...(route === 'lodge-letter' && {model: 'm1', 'token-count': '10,4'}),
    },
  });
  const namedId = headers['request-id'] as string | undefined;
  return {id, route, status, namedId};
}

async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const endMs = performance.now() + START_MS;
  for (const [i, entry] of entries.entries()) {
    for (const route of ['lodge', 'lodge-letter']) {
      while ((await call(entry, `start-${i}`, route)).status !== SERVED) {
        if (performance.now() > endMs) throw new Error('never served');
        await pause(START_POLL_MS);
      }
    }
  }
}
