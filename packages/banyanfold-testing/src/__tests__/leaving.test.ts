import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Load,
  Stack,
  countEnds,
  ofKind,
  testConfig,
  waitUntil,
} from '../index.js';

const MODEL = 'claims';
const LEAVING = 'agent-1';
const ENGINE = 'engine-1';
const VM_LIST_LAG_MS = 700;
/** Requests that others answered after the leaving server's last one. */
const ENOUGH_ELSEWHERE = 100;

let stack: Stack;
let client: CallerClient;
let load: Load;
let answersBefore = 0;

beforeEach(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    entries: 2,
    agents: 2,
    agent: {drainBoundMs: 20_000},
    published: testConfig({models: [{name: MODEL, version: '1'}]}),
  });
  await stack.setFaults('vm-list', {lagMs: VM_LIST_LAG_MS});
  await holdEverywhere();
  load = new Load({stack, client, models: [MODEL], callers: 8}).start();
  await waitUntil('it works', async () => (await startsAt(ENGINE)) > 10);
  answersBefore = load.results.length;
});

afterEach(async () => {
  await load.stop();
  await client.close();
  await stack.end();
});

/** The server that stays has to have a copy, to take over at once. */
async function holdEverywhere(): Promise<void> {
  await waitUntil('both hold the model', async () => {
    const reports = [await stack.agentReport(0), await stack.agentReport(1)];
    const missing = reports.findIndex(({copies}) => copies.length === 0);
    if (missing < 0) return true;
    const move = {kind: 'load', artifact: `${MODEL}@1`, bytes: 3_000} as const;
    await stack.propose(missing, move);
    return false;
  });
}

async function startsAt(engine: string): Promise<number> {
  return ofKind(await stack.truth(engine), 'request-received').length;
}

async function lastStartMs(engine: string): Promise<number> {
  const starts = ofKind(await stack.truth(engine), 'request-received');
  return Number(starts.at(-1)?.['atMs'] ?? 0);
}

/** Waits until the other server has worked for long without this one. */
async function untilQuiet(): Promise<void> {
  let quietStarts = -1;
  let otherStarts = 0;
  await waitUntil('no new work comes', async () => {
    const here = await startsAt(ENGINE);
    const elsewhere = await startsAt('engine-2');
    if (here !== quietStarts) {
      quietStarts = here;
      otherStarts = elsewhere;
    }
    return elsewhere - otherStarts > ENOUGH_ELSEWHERE;
  });
}

async function entriesKnow(): Promise<boolean> {
  const lines = stack.entries.map(({vmId}) => stack.process(vmId).lines);
  return lines.every(ofOne =>
    ofOne
      .findLast(line => line.includes('event=route'))
      ?.includes(`${LEAVING}:-:leaving`),
  );
}

/** Of the answers since the server began to leave. */
async function expectAllWhole(): Promise<void> {
  const results = (await load.stop()).slice(answersBefore);
  console.log(countEnds(results));
  expect(results.filter(({end}) => end !== 'whole')).toEqual([]);
}

describe('a leaving server', () => {
  // The callers notice nothing: requests go to the other server. The platform's
  // list says, with its lag, that the VM leaves, while its agent has no signal
  // yet and would take more work.
  it('receives no new work after the VM list has said so', async () => {
    const knownMs = Date.now();
    await stack.setVmList([LEAVING]);
    await waitUntil('both entries know', entriesKnow);
    const startsWhenKnown = await startsAt(ENGINE);
    await untilQuiet();
    const tookMs = (await lastStartMs(ENGINE)) - knownMs;
    console.log(
      `by the VM list, ${VM_LIST_LAG_MS} ms late: last new work after ` +
        `${Math.max(0, tookMs)} ms`,
    );
    // What was on its way when the second entry learned of it may arrive.
    const late = (await startsAt(ENGINE)) - startsWhenKnown;
    expect(late).toBeLessThanOrEqual(8);
    await expectAllWhole();
  });

  // The callers notice nothing. The VM's own signal comes first and the list
  // still names it as live; the agent refuses new work itself, as not run, and
  // entries try the other server.
  it('receives no new work after its own signal', async () => {
    const signalMs = Date.now();
    stack.process(LEAVING).signal('SIGTERM');
    await waitUntil('it drains', () =>
      stack.process(LEAVING).lines.some(line => /event=drain\b/.test(line)),
    );
    const startsWhenKnown = await startsAt(ENGINE);
    await untilQuiet();
    const tookMs = (await lastStartMs(ENGINE)) - signalMs;
    console.log(`by its signal: last new work after ${Math.max(0, tookMs)} ms`);
    expect((await startsAt(ENGINE)) - startsWhenKnown).toBeLessThanOrEqual(0);
    await expectAllWhole();
  });
});
