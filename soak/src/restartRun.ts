import {PlatformStandin, sendRequest} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import type {Violation} from './soakRecord.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import {
  fullestWindow,
  leftIn,
  type RetryAllowance,
  type SentRequest,
} from './retryRule.js';
import {startEntries} from './startEntries.js';

export interface RestartRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

/** What callers and runners saw of one run. */
export interface RestartVerdict {
  violations: Violation[];
  /** How often and how many entries ended, for the report. */
  ends: string;
  requests: number;
  served: number;
  /** Arrivals at runners beyond the first of each request. */
  retries: number;
  /** Retries that the fullest window still allowed; negative if it was over. */
  left: number;
}

/** Entries end together at this time of the run. */
interface EntryEnd {
  atMs: number;
  signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP';
  /** Share of the entries that end; a stopped entry runs again later. */
  share: number;
}

/** What is played, drawn from the seed. */
interface RestartPlan {
  requestsPerSecond: number;
  /** Requests in a hundred that runners reject. */
  rejectedPercent: number;
  /** Runners reject requests from then on. */
  rejectingFromMs: number;
  ends: EntryEnd[];
}

type PlanEnds = (draw: Draw) => EntryEnd[];

const ENTRIES = 12;
const RUNNERS = 6;
const SERVICE = 'desk';
const ALLOWANCE: RetryAllowance = {ratio: 0.2, slack: 96, windowMs: 10_000};
const SETTINGS = {
  bounds: {
    grace_s: 4,
    lease_ms: 100,
    fencing_enabled: true,
    retry_budget_ratio: ALLOWANCE.ratio,
    retry_budget_slack: ALLOWANCE.slack,
    budget_window_s: ALLOWANCE.windowMs / 1000,
  },
};
const FIRST_END_MS = 4_000;
/** A second end within the window of the first. */
const NEXT_END_MS = 4_000;
const LENGTH_MS = 18_000;
const DEADLINE_MS = 2_500;
const STOPPED_MS = 2_500;
const START_POLL_MS = 200;
const START_MS = 30_000;
const SERVED = 200;
const MS_PER_SECOND = 1000;
const HUNDRED = 100;

const killAll = (atMs: number): EntryEnd => ({
  atMs,
  signal: 'SIGKILL',
  share: 1,
});

/** How entries end, by the remainder of the seed. */
const PLANS: readonly PlanEnds[] = [
  () => [killAll(FIRST_END_MS), killAll(FIRST_END_MS + NEXT_END_MS)],
  () => [killAll(FIRST_END_MS)],
  draw =>
    Array.from({length: draw.int(2, 5)}, () => ({
      atMs: draw.int(1_000, LENGTH_MS - 4_000),
      signal: draw.pick(['SIGKILL', 'SIGKILL', 'SIGTERM', 'SIGSTOP'] as const),
      share: draw.pick([0.25, 0.5, 1]),
    })),
];

function planOf(seed: number, draw: Draw): RestartPlan {
  return {
    requestsPerSecond: draw.pick([60, 120, 200]),
    rejectedPercent: draw.pick([50, 90, 100]),
    rejectingFromMs: draw.pick([0, FIRST_END_MS - 500]),
    ends: PLANS[seed % PLANS.length]!(draw),
  };
}

/**
 * Plays entries that end together and start again while runners reject most
 * requests, and judges the retries of all entries by what the deployment allows.
 *
 * @example (await runRestarts({seed: 3, folder: '.run/restarts'})).violations
 */
export async function runRestarts({
  seed,
  folder,
}: RestartRunOptions): Promise<RestartVerdict> {
  const draw = createDraw(seed);
  const plan = planOf(seed, draw);
  const platform = new PlatformStandin();
  await platform.start();
  platform.publish([]);
  for (let i = 0; i < RUNNERS; i++) {
    await platform.addRunner({runnerId: `plain-${i}`, service: SERVICE});
  }
  const entries = await startEntries({
    platform,
    count: ENTRIES,
    folder,
    extraSettings: SETTINGS,
    keepsFirstStart: seed % (PLANS.length * 2) >= PLANS.length,
  });
  try {
    await untilAllServe(entries);
    const calls = await play({platform, entries, plan, draw});
    const verdict = judge(plan, calls, arrivalsByRequest(platform));
    verdict.violations.push(...ownEndViolations(entries));
    return verdict;
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

interface Call {
  requestId: string;
  sentMs: number;
  isServed: boolean;
}

interface Stage {
  platform: PlatformStandin;
  entries: readonly EntryProcess[];
  plan: RestartPlan;
  draw: Draw;
}

async function untilAllServe(entries: readonly EntryProcess[]): Promise<void> {
  const endMs = performance.now() + START_MS;
  for (const [i, entry] of entries.entries()) {
    while (!(await ask(entry, `start-${i}`)).isServed) {
      if (performance.now() > endMs) throw new Error('never served');
      await pause(START_POLL_MS);
    }
  }
}

async function play({platform, entries, plan, draw}: Stage): Promise<Call[]> {
  const pending: Array<Promise<Call>> = [];
  const calls = setInterval(() => {
    pending.push(ask(draw.pick(entries), `call-${pending.length}`));
  }, MS_PER_SECOND / plan.requestsPerSecond);
  const timers = plan.ends.map(end =>
    setTimeout(() => endEntries(entries, end, draw), end.atMs),
  );
  timers.push(
    setTimeout(() => {
      for (const runner of platform.runners.values()) {
        runner.isFull = () => draw.int(1, HUNDRED) <= plan.rejectedPercent;
      }
    }, plan.rejectingFromMs),
  );
  await pause(LENGTH_MS);
  clearInterval(calls);
  for (const timer of timers) clearTimeout(timer);
  return Promise.all(pending);
}

function endEntries(
  entries: readonly EntryProcess[],
  {signal, share}: EntryEnd,
  draw: Draw,
): void {
  for (const entry of entries) {
    if (draw.int(1, HUNDRED) > share * HUNDRED) continue;
    if (signal !== 'SIGSTOP') {
      entry.end(signal);
      continue;
    }
    entry.signal('SIGSTOP');
    setTimeout(() => entry.signal('SIGCONT'), STOPPED_MS);
  }
}

async function ask(entry: EntryProcess, requestId: string): Promise<Call> {
  const sentMs = performance.now();
  const {status} = await sendRequest({
    port: entry.callersPort,
    route: 'status',
    id: requestId,
    headers: {'deadline-ms': String(DEADLINE_MS)},
  });
  return {requestId, sentMs, isServed: status === SERVED};
}

function arrivalsByRequest(platform: PlatformStandin): Map<string, number[]> {
  const arrivals = new Map<string, number[]>();
  for (const {receivedRequests} of platform.runners.values()) {
    for (const {requestId, atMs} of receivedRequests) {
      arrivals.set(requestId, [...(arrivals.get(requestId) ?? []), atMs]);
    }
  }
  return arrivals;
}

function judge(
  plan: RestartPlan,
  calls: readonly Call[],
  arrivals: ReadonlyMap<string, number[]>,
): RestartVerdict {
  const requests: SentRequest[] = calls.map(({requestId, sentMs}) => ({
    sentMs,
    arrivedMs: arrivals.get(requestId) ?? [],
  }));
  const window = fullestWindow(requests, ALLOWANCE);
  const left = leftIn(window);
  const what = `${window.retries} in a window, allowed ${window.allowed.toFixed(0)}`;
  return {
    violations: left < 0 ? [{rule: 'retries over the budget', what}] : [],
    ends: plan.ends
      .map(({signal, share, atMs}) => `${signal} ${share} at ${atMs} ms`)
      .join(', '),
    requests: calls.length,
    served: calls.filter(({isServed}) => isServed).length,
    retries: requests
      .map(({arrivedMs}) => Math.max(0, arrivedMs.length - 1))
      .reduce((sum, count) => sum + count, 0),
    left,
  };
}
