import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Load,
  Stack,
  countEnds,
  testConfig,
  waitUntil,
  wrongAnswers,
} from '../index.js';

const MODEL = 'claims';
const ARTIFACTS = () => [`${MODEL}@1`];

let stack: Stack;
let client: CallerClient;

beforeEach(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    entries: 2,
    agents: 2,
    engine: {baseStepMs: 5, maxRunning: 16},
    entry: {drainNoticeMs: 300},
    published: testConfig({models: [{name: MODEL, version: '1'}]}),
  });
  stack.startBalancer();
  await holdEverywhere();
});

afterEach(async () => {
  await client.close();
  await stack.end();
});

async function holdEverywhere(): Promise<void> {
  await waitUntil('both hold the model', async () => {
    const reports = [await stack.agentReport(0), await stack.agentReport(1)];
    const copies = reports.map(report => report.copies[0]);
    const missing = copies.findIndex(copy => copy === undefined);
    if (missing < 0) return copies.every(copy => copy?.state === 'held');
    const move = {kind: 'load', artifact: `${MODEL}@1`, bytes: 3_000} as const;
    await stack.propose(missing, move);
    return false;
  });
  // The entries hear of it with their next poll; until then they refuse.
  await waitUntil('both entries know', async () => {
    const statuses = [await stack.status(0), await stack.status(1)];
    const agents = statuses.flatMap(status => status.agents);
    return agents.every(({artifacts}) => artifacts.includes(`${MODEL}@1`));
  });
}

/** Stops a process as its VM's shutdown does, and starts the next one. */
async function restart(vmId: string): Promise<void> {
  await stack.process(vmId).end('SIGTERM');
  expect(stack.process(vmId).lines.at(-1)).toContain('code=0');
  await stack.restart(vmId);
}

/** Whether each entry would route to the new process beside this server. */
async function agentServes(index: number): Promise<boolean> {
  const {vmId} = stack.agents[index]!;
  const explained = await Promise.all(
    stack.entries.map((_, entry) => stack.explain(entry, MODEL)),
  );
  return explained.every(({candidates}) =>
    candidates.some(
      candidate => candidate.vmId === vmId && candidate.score >= 0,
    ),
  );
}

describe('a graceful shutdown', () => {
  // The callers notice nothing: each stream that runs comes to its end, and new
  // requests go through another entry or to another server. One process after
  // another gets SIGTERM, fails its readiness, finishes what is open and goes,
  // and another takes its place.
  it('cuts off no stream while all processes are replaced', async () => {
    const load = new Load({
      stack,
      client,
      models: [MODEL],
      callers: 12,
      maxTokens: 60,
      streamShare: 0.75,
    }).start();
    await waitUntil('answers come', () => load.results.length > 20);
    for (const {vmId} of stack.entries) {
      await restart(vmId);
      await stack.ready();
    }
    for (const [index, {vmId}] of stack.agents.entries()) {
      await restart(vmId);
      await waitUntil(`${vmId} serves`, () => agentServes(index));
    }
    const seen = load.results.length;
    await waitUntil('answers come', () => load.results.length > seen + 20);
    const results = await load.stop();
    console.log('rolling restart', countEnds(results));
    expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
    expect(results.filter(({end}) => end !== 'whole')).toEqual([]);
  });

  // The caller sees its stream end whole. It runs for longer than the notice to
  // the balancer and through the agent's drain, at an entry and an agent that
  // are stopped at the same time.
  it('waits for a long stream at an entry and its agent', async () => {
    const call = {model: MODEL, prompt: 'long', maxTokens: 300, stream: true};
    const asked = client.askModel(stack.entryUrl(0), call);
    await waitUntil('it runs', async () => {
      return (await stack.status()).agents.some(({running}) => running > 0);
    });
    const names = ['entry-1', ...stack.agents.map(({vmId}) => vmId)];
    await Promise.all(names.map(name => stack.process(name).end('SIGTERM')));
    const result = await asked;
    expect(result.end).toBe('whole');
    expect(wrongAnswers([result], ARTIFACTS)).toEqual([]);
  });
});
