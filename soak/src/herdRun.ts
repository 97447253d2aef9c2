import {join} from 'node:path';
import {mkdirSync} from 'node:fs';
import {
  PlatformStandin,
  sendRequest,
  SlotQueue,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import type {Violation} from './soakRecord.js';
import {ownEndViolations} from './ownEnds.js';
import {pause} from './pause.js';
import {createDraw, type Draw} from './random.js';
import {startEntries} from './startEntries.js';

export interface HerdRunOptions {
  seed: number;
  /** For settings and logs. */
  folder: string;
}

export interface HerdVerdict {
  violations: Violation[];
  calls: number;
  /** Shares of calls answered at the first entry that read them. */
  servedBefore: number;
  servedDuring: number;
  /** Calls in the herd whose connection an entry closed unread. */
  closedUnread: number;
}

interface HerdCall {
  sentMs: number;
  isServed: boolean;
  isClosedUnread: boolean;
}

const ENTRIES = 5;
const RUNNERS = 4;
const CALL_INTERVAL_MS = 4;
const BEFORE_MS = 4_000;
const HERD_MS = 7_000;
/** From then on in a herd, calls have to be served. */
const CONTACT_MS = 3_000;
const HERD_PERCENT = 90;
const DEADLINE_MS = 3_000;
const START_POLL_MS = 200;
/** An entry that is stopped most of the time has a fraction of a core. */
const STOPPED_MS = 36;
const RUNNING_MS = 4;
/** Least share of the calls served, of that before the herd. */
const MIN_SHARE = 0.75;

/**
 * Sends most new connections to one of five entries, which has little of a core,
 * and judges how many calls are served.
 *
 * @example (await runHerd({seed: 1, folder: '.run/herds'})).servedDuring
 */
export async function runHerd({
  seed,
  folder,
}: HerdRunOptions): Promise<HerdVerdict> {
  const platform = new PlatformStandin();
  const draw = createDraw(seed);
  await platform.start();
  for (let i = 1; i <= RUNNERS; i++) {
    await platform.addRunner({
      runnerId: `desk-${i}`,
      service: 'desk',
      slotQueue: new SlotQueue({
        slots: 16,
        maxWaiting: 64,
        meanMs: 20,
        random: () => draw.int(0, 999) / 1_000,
      }),
    });
  }
  const logs = join(folder, 'herd');
  mkdirSync(logs, {recursive: true});
  const entries = await startEntries({platform, count: ENTRIES, folder: logs});
  try {
    await Promise.all(entries.map(untilServed));
    return await playHerd(entries, draw);
  } finally {
    await Promise.all(entries.map(entry => entry.stop()));
    platform.stop();
  }
}

async function playHerd(
  entries: readonly EntryProcess[],
  draw: Draw,
): Promise<HerdVerdict> {
  const calls: HerdCall[] = [];
  let isHerd = false;
  const [target] = entries;
  const send = () => {
    const isHerded = isHerd && draw.int(1, 100) <= HERD_PERCENT;
    const first = isHerded ? target! : draw.pick(entries);
    return call(first, entries, draw, calls);
  };
  const open: Array<Promise<void>> = [];
  const timer = setInterval(() => open.push(send()), CALL_INTERVAL_MS);
  await pause(BEFORE_MS);
  const herdMs = performance.now();
  isHerd = true;
  await throttle(target!, HERD_MS);
  clearInterval(timer);
  await Promise.all(open);
  const before = calls.filter(({sentMs}) => sentMs < herdMs);
  const during = calls.filter(({sentMs}) => sentMs > herdMs + CONTACT_MS);
  const servedBefore = servedShare(before);
  const servedDuring = servedShare(during);
  const violations: Violation[] = ownEndViolations(entries);
  if (servedDuring < servedBefore * MIN_SHARE) {
    const what = `${servedDuring.toFixed(2)} of calls, ${servedBefore.toFixed(2)} before`;
    violations.push({rule: 'callers that herd are served', what});
  }
  return {
    violations,
    calls: calls.length,
    servedBefore,
    servedDuring,
    closedUnread: during.filter(({isClosedUnread}) => isClosedUnread).length,
  };
}

async function throttle(entry: EntryProcess, forMs: number): Promise<void> {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    entry.signal('SIGSTOP');
    await pause(STOPPED_MS);
    entry.signal('SIGCONT');
    await pause(RUNNING_MS);
  }
}

/** A call whose connection is closed without an answer goes elsewhere once. */
async function call(
  first: EntryProcess,
  entries: readonly EntryProcess[],
  draw: Draw,
  calls: HerdCall[],
): Promise<void> {
  const sentMs = performance.now();
  const id = `h${calls.length}-${draw.int(1, 1_000_000)}`;
  let response = await ask(first, id);
  const isClosedUnread = response.status === 0;
  if (isClosedUnread) {
    const others = entries.filter(entry => entry !== first);
    response = await ask(draw.pick(others), `${id}r`);
  }
  const isServed = response.status === 200 && !response.isTruncated;
  calls.push({sentMs, isServed, isClosedUnread});
}

function ask({callersPort}: EntryProcess, id: string) {
  return sendRequest({
    port: callersPort,
    route: 'status',
    id,
    headers: {'deadline-ms': String(DEADLINE_MS)},
    body: 'x',
  });
}

function servedShare(calls: readonly HerdCall[]): number {
  return calls.filter(({isServed}) => isServed).length / calls.length;
}

async function untilServed(entry: EntryProcess): Promise<void> {
  while ((await ask(entry, 'start')).status !== 200) await pause(START_POLL_MS);
}
