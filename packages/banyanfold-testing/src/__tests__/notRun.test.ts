import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Load,
  Stack,
  countEnds,
  falselyNotRun,
  modelsOf,
  testConfig,
  waitUntil,
  wrongAnswers,
  type ModelResult,
} from '../index.js';

const NAMES = ['claims', 'letters'];
const ENGINES = ['engine-1', 'engine-2', 'engine-3'];
const ARTIFACTS = (model: string) => [`${model}@1`];
const ENOUGH_RESULTS = 80;

let stack: Stack;
let client: CallerClient;
let unknownCount = 0;
let totalCount = 0;

beforeAll(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    entries: 2,
    agents: ENGINES.length,
    engine: {baseStepMs: 4, maxRunning: 4},
    // Short queues and budgets, so that overload refuses a good part.
    agent: {maxRunning: 4, maxQueued: 4, engine: {requestTimeoutMs: 300}},
    entry: {retry: {budgetRatio: 0.5}},
    published: testConfig({
      models: modelsOf(NAMES, '1'),
      firstTokenMs: 400,
      wholeAnswerMs: 3_000,
    }),
  });
  stack.startBalancer();
});

afterAll(async () => {
  const share = ((100 * unknownCount) / Math.max(1, totalCount)).toFixed(2);
  console.log(`unknown: ${unknownCount} of ${totalCount} (${share} %)`);
  await client.close();
  await stack.end();
});

afterEach(async () => {
  await setAll({outage: 'none', failNextRequests: 0, requestDelayMs: 0});
  await stack.setFaults('log', {outage: 'none'});
  await stack.setFaults('vm-list', {outage: 'none'});
});

async function setAll(faults: object): Promise<void> {
  await Promise.all(ENGINES.map(name => stack.setFaults(name, faults)));
}

/** Kills each agent in turn; the next one only when the last one is back. */
async function killAgents(): Promise<void> {
  for (const {vmId} of stack.agents) {
    await stack.kill(vmId);
    await stack.restart(vmId);
  }
}

interface Threat {
  name: string;
  callers: number;
  act(): Promise<void>;
}

const THREATS: Threat[] = [
  {name: 'agents killed one after another', callers: 8, act: killAgents},
  {
    name: 'engines that fail requests',
    callers: 8,
    act: () => setAll({failNextRequests: 40}),
  },
  {
    name: 'engines that cut each connection',
    callers: 8,
    act: () => setAll({outage: 'cut'}),
  },
  {
    name: 'more requests than there is room for',
    callers: 60,
    act: async () => {},
  },
  {
    name: 'the log out, and an agent killed',
    callers: 8,
    act: async () => {
      await stack.setFaults('log', {outage: 'cut'});
      await stack.kill('agent-1');
      await stack.restart('agent-1');
    },
  },
  {
    name: 'requests that reach the engine late, and agents killed',
    callers: 8,
    act: async () => {
      await setAll({requestDelayMs: 250});
      await killAgents();
    },
  },
  {
    name: 'overload while an entry is killed and started again',
    callers: 40,
    act: async () => {
      await stack.kill('entry-2');
      await stack.restart('entry-2');
      await stack.ready();
    },
  },
];

async function allTruth() {
  return (await Promise.all(ENGINES.map(name => stack.truth(name)))).flat();
}

function note(results: readonly ModelResult[]): void {
  totalCount += results.length;
  unknownCount += results.filter(({outcome}) => outcome === 'unknown').length;
}

describe('"not run"', () => {
  // The caller reads "not run" and asks again, or sends a crew by telephone; if
  // it was untrue, the work is done twice. Attempts die at each point between
  // entry, agent and engine while requests come, some queue, some run and some
  // are still on their way; "not run" needs the proof that no attempt started.
  it.each(THREATS)('is true under $name', async ({callers, act}) => {
    const load = new Load({stack, client, models: NAMES, callers}).start();
    await waitUntil('answers come', () => load.results.length > 5);
    await act();
    const seen = load.results.length;
    await waitUntil('more requests were answered', () => {
      return load.results.length > seen + ENOUGH_RESULTS;
    });
    const results = await load.stop();
    note(results);
    console.log(countEnds(results));
    expect(falselyNotRun(results, await allTruth(), ARTIFACTS)).toEqual([]);
    expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
  });
});
