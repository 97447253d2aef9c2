import http from 'node:http';
import {
  PlatformStandin,
  SlotQueue,
  sendRequest,
  waitUntil,
} from '@banyanfold/platform/standins';
import {createRandom} from '../decisions/random.js';
import {startEntries, type EntryProcess} from './entryProcesses.js';

const RUNNERS = 6;
const SLOTS = 6;
const MAX_WAITING = 24;
const MEAN_MS = 61;
const LOAD = 0.8;
const WARM_UP_MS = 5_000;
const MEASURED_MS = 15_000;
const MS_PER_SECOND = 1000;

interface Setup {
  entries: number;
  /** Share of the calls that arrive at the first entry; else in turn. */
  firstEntryShare: number;
}

const SETUPS: Setup[] = [
  {entries: 1, firstEntryShare: 0},
  {entries: 5, firstEntryShare: 0},
  {entries: 12, firstEntryShare: 0},
  {entries: 5, firstEntryShare: 0.5},
  {entries: 12, firstEntryShare: 0.5},
];

interface Result {
  p50Ms: number;
  p95Ms: number;
  calls: number;
  failed: number;
  rejected: number;
}

/**
 * Sends plain calls through entry processes to six runner stand-ins at 80% of
 * their capacity.
 */
export async function run(): Promise<void> {
  let oneEntryMs: number | undefined;
  for (const setup of SETUPS) {
    const result = await measure(setup);
    oneEntryMs ??= result.p95Ms;
    const ratio = (result.p95Ms / oneEntryMs).toFixed(2);
    console.log(JSON.stringify({...setup, ...result, ratio}));
  }
}

async function measure(setup: Setup): Promise<Result> {
  const platform = new PlatformStandin();
  await platform.start();
  const random = createRandom(7);
  const queues = Array.from(
    {length: RUNNERS},
    () =>
      new SlotQueue({
        slots: SLOTS,
        maxWaiting: MAX_WAITING,
        meanMs: MEAN_MS,
        random,
      }),
  );
  for (const [i, slotQueue] of queues.entries()) {
    const runnerId = `plain-${i}`;
    await platform.addRunner({runnerId, service: 'desk', slotQueue});
  }
  const entries = await startEntries(platform.store.address, setup.entries);
  try {
    await untilServing(entries);
    await sendCalls(setup, entries, WARM_UP_MS, random);
    for (const queue of queues) queue.rejected = 0;
    const latencies = await sendCalls(setup, entries, MEASURED_MS, random);
    const rejected = queues.reduce((sum, queue) => sum + queue.rejected, 0);
    return {...summarize(latencies), rejected};
  } finally {
    for (const entry of entries) entry.stop();
    platform.stop();
  }
}

async function untilServing(entries: readonly EntryProcess[]): Promise<void> {
  for (const {port} of entries) {
    let isServing = false;
    const ask = async () => {
      const {status} = await sendRequest({port, route: 'status', id: 'first'});
      isServing ||= status === 200;
    };
    await waitUntil(`entry ${port} serves`, () => {
      if (!isServing) void ask().catch(() => {});
      return isServing;
    });
  }
}

/** Returns the latencies in ms; undefined for a call that failed. */
async function sendCalls(
  {firstEntryShare}: Setup,
  entries: readonly EntryProcess[],
  durationMs: number,
  random: () => number,
): Promise<Array<number | undefined>> {
  const agent = new http.Agent({keepAlive: true});
  const perMs = (RUNNERS * SLOTS * LOAD) / MEAN_MS;
  const calls: Array<Promise<number | undefined>> = [];
  const startMs = performance.now();
  let atMs = 0;
  while (atMs < durationMs) {
    atMs -= Math.log(1 - random()) / perMs;
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await new Promise(done => setTimeout(done, waitMs));
    const isFirst = random() < firstEntryShare;
    const entry = entries[isFirst ? 0 : calls.length % entries.length]!;
    calls.push(timeCall(entry.port, calls.length, agent));
  }
  const latencies = await Promise.all(calls);
  agent.destroy();
  return latencies;
}

async function timeCall(
  port: number,
  index: number,
  agent: http.Agent,
): Promise<number | undefined> {
  const startMs = performance.now();
  const id = `${Math.round(startMs * MS_PER_SECOND)}-${index}`;
  const {status} = await sendRequest({port, route: 'status', id, agent});
  return status === 200 ? performance.now() - startMs : undefined;
}

function summarize(all: ReadonlyArray<number | undefined>) {
  const sorted = all.filter(ms => ms !== undefined).sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
  const failed = all.length - sorted.length;
  return {p50Ms: at(0.5), p95Ms: at(0.95), calls: all.length, failed};
}
