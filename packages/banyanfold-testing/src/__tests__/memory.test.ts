import {afterEach, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Load,
  Stack,
  modelsOf,
  ofKind,
  testConfig,
  waitUntil,
} from '../index.js';

const NAMES = ['claims', 'letters', 'routes'];
const VERSIONS = ['2', '3'];
const CAPACITY_BYTES = 10_000;

const ORDER_FAULTS = {
  orderLossProbability: 0.2,
  orderAnswerLossProbability: 0.2,
  orderLateProbability: 0.4,
  orderLateMs: 300,
};

interface MemoryCase {
  name: string;
  checksFencing: boolean;
  faults: object;
}

const CASES: MemoryCase[] = [
  {
    name: 'an engine that checks fencing, orders lost, late, unanswered',
    checksFencing: true,
    faults: ORDER_FAULTS,
  },
  {
    name: 'an engine that ignores fencing, orders lost, late, unanswered',
    checksFencing: false,
    faults: ORDER_FAULTS,
  },
];

let stack: Stack;
let client: CallerClient;

afterEach(async () => {
  await client.close();
  await stack.end();
});

/**
 * Both servers together hold two versions of all models and no more, so that
 * the third needs the memory that the first still has.
 */
async function startStack({checksFencing, faults}: MemoryCase): Promise<void> {
  client = new CallerClient();
  stack = await Stack.start({
    agents: 2,
    engine: {
      checksFencing,
      memoryCapacityBytes: CAPACITY_BYTES,
      unloadMs: 100,
      reportLagMs: 150,
      faults: {unprotectedMemory: true, ...faults},
    },
    agent: {engine: {requestTimeoutMs: 200, orderLateBoundMs: 600}},
    published: testConfig({models: modelsOf(NAMES, '1')}),
  });
}

async function isServed(version: string): Promise<boolean> {
  const reports = await Promise.all(
    stack.agents.map((_, index) => stack.agentReport(index)),
  ).catch(() => []);
  const held = reports
    .flatMap(({copies}) => copies)
    .filter(({state}) => state === 'held')
    .map(({artifact}) => artifact);
  return NAMES.every(name => held.includes(`${name}@${version}`));
}

/** Both agents in turn, each killed while orders of a change are under way. */
async function changeVersion(version: string, base: number): Promise<number> {
  const config = testConfig({models: modelsOf(NAMES, version)});
  const published = await stack.publish(config, base);
  for (const {vmId} of stack.agents) {
    const order = () =>
      stack.process(vmId).lines.some(line => line.includes(`@${version}`));
    await waitUntil(`${vmId} has an order of version ${version}`, order, 3_000)
      // All copies may fit on the other one.
      .catch(() => undefined);
    await stack.kill(vmId);
    await stack.restart(vmId);
  }
  await waitUntil(`version ${version} is held`, () => isServed(version));
  return published;
}

describe('accelerator memory', () => {
  // The caller sees answers of the old or the new version, or refusals. While
  // operators publish two more versions, one after another, orders to the engines
  // are lost, come late, or lose their answers, and each agent is killed in the
  // middle of its orders. The engines would commit memory that they don't have,
  // so that only the agents' ledgers keep them from it.
  it.each(CASES)('is never over-committed: $name', async testCase => {
    await startStack(testCase);
    const load = new Load({stack, client, models: NAMES, callers: 4}).start();
    let base = (await stack.status()).configVersion;
    for (const version of VERSIONS) base = await changeVersion(version, base);
    await load.stop();
    for (const engine of ['engine-1', 'engine-2']) {
      const truth = await stack.truth(engine);
      expect(ofKind(truth, 'over-commit')).toEqual([]);
    }
    const truth = [
      ...(await stack.truth('engine-1')),
      ...(await stack.truth('engine-2')),
    ];
    // The faults did happen.
    expect(ofKind(truth, 'order-late').length).toBeGreaterThan(0);
    expect(ofKind(truth, 'order-applied').length).toBeGreaterThan(0);
    expect(load.results.some(({end}) => end === 'whole')).toBe(true);
  });
});

const LATE_MS = 2_500;
const COPY_BYTES = 3_000;
const ROOM_FOR_TWO_BYTES = 7_000;

/** No planner: the test proposes, and an agent is as eager as it may be. */
async function startAlone(engine: object, agentEngine = {}): Promise<void> {
  client = new CallerClient();
  stack = await Stack.start({
    agents: 1,
    entry: {planner: {enabled: false}},
    engine: {
      memoryCapacityBytes: ROOM_FOR_TWO_BYTES,
      ...engine,
      faults: {unprotectedMemory: true},
    },
    agent: {engine: {requestTimeoutMs: 200, ...agentEngine}},
    published: testConfig({models: modelsOf(NAMES, '1')}),
  });
}

async function proposeLoad(name: string): Promise<boolean> {
  const artifact = `${name}@1`;
  const move = {kind: 'load', artifact, bytes: COPY_BYTES} as const;
  const result = await stack.propose(0, move);
  return result.accepted;
}

async function heldCount(): Promise<number> {
  const {copies} = await stack.agentReport(0);
  return copies.filter(({state}) => state === 'held').length;
}

/** Proposes all of them again and again until the engine is full. */
async function fill(names: readonly string[]): Promise<void> {
  await waitUntil('two copies are held', async () => {
    for (const name of names) await proposeLoad(name);
    return (await heldCount()) === 2;
  });
}

async function expectNoOverCommit(): Promise<void> {
  const truth = await stack.truth('engine-1');
  expect(ofKind(truth, 'over-commit')).toEqual([]);
}

describe('the memory of one engine', () => {
  // The caller sees nothing of it. An agent orders a load and is killed while
  // the order is still on its way; its successor is asked at once for as much
  // as fits. Fencing ends the order, or the successor gives nothing away until
  // it has come: then it is seen, and there is room for one more only.
  it.each([true, false])(
    'counts the late order of a killed agent (fencing checked: %s)',
    async checksFencing => {
      await startAlone({checksFencing}, {orderLateBoundMs: LATE_MS + 500});
      await waitUntil('the first load is accepted', async () => {
        const late = {lateNextOrders: 1, orderLateMs: LATE_MS};
        await stack.setFaults('engine-1', late);
        return proposeLoad('claims');
      });
      await waitUntil('its order is on its way', async () => {
        const late = ofKind(await stack.truth('engine-1'), 'order-late');
        return late.some(({orderKind}) => orderKind === 'load');
      });
      await stack.kill('agent-1');
      await stack.restart('agent-1');
      await fill(['letters', 'routes']);
      await waitUntil('the late order has come', async () => {
        const truth = await stack.truth('engine-1');
        return truth.some(
          ({kind, artifact}) =>
            /^order-(applied|refused)$/.test(String(kind)) &&
            artifact === 'claims@1',
        );
      });
      await expectNoOverCommit();
    },
  );

  // The caller sees nothing of it. The engine's report is older than the orders
  // that it took and lists none of them; it must not pass for proof that their
  // memory is free, while more and more loads are proposed.
  it('is not free because an old report says so', async () => {
    await startAlone({reportLagMs: 1_200});
    await fill(NAMES);
    await expectNoOverCommit();
  });
});
