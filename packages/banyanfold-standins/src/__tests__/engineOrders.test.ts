import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {
  EngineState,
  WeightStoreState,
  createRandom,
  type EngineFaults,
  type EngineOrderInput,
  type EngineStateOptions,
} from '../index.js';
import {chatRequest, outcomeAfter} from './helpers.js';

const LOAD: EngineOrderInput = {
  orderId: 'o1',
  kind: 'load',
  artifact: 'claims@3',
  bytes: 60,
  fencing: 5,
};

const UNLOAD: EngineOrderInput = {
  orderId: 'o2',
  kind: 'unload',
  artifact: 'claims@3',
  fencing: 5,
};

function setUp(options: EngineStateOptions = {}) {
  const clock = new VirtualClock(0);
  const speed = {baseLoadMs: 940, bytesPerSecond: 1000};
  const weights = new WeightStoreState(speed, {clock});
  const engine = new EngineState(
    {memoryCapacityBytes: 100, reportLagMs: 0, ...options},
    {clock, weights, random: createRandom(1)},
  );
  return {clock, engine, weights};
}

function modelsOf(engine: EngineState): string[] {
  return engine.memory
    .list()
    .map(({artifact, state}) => `${artifact} ${state}`);
}

async function tryOrder(engine: EngineState, order: EngineOrderInput) {
  return (await engine.order(order)).match(
    () => 202,
    ({status}) => status,
  );
}

describe('orders', () => {
  it('loads an artifact, serves it, and unloads it after its requests', async () => {
    const {clock, engine, weights} = setUp();
    expect(await tryOrder(engine, LOAD)).toBe(202);
    expect(modelsOf(engine)).toEqual(['claims@3 loading']);
    expect(engine.submit(chatRequest()).isErr()).toBe(true);
    await clock.advance(1000);
    expect(modelsOf(engine)).toEqual(['claims@3 loaded']);
    expect(weights.loadsInProgress).toBe(0);
    const long = chatRequest({maxTokens: 100});
    const stream = engine.submit(long)._unsafeUnwrap();
    expect(await tryOrder(engine, UNLOAD)).toBe(202);
    expect(engine.submit(chatRequest()).isErr()).toBe(true);
    await clock.advance(1000);
    expect(stream.state).toBe('running');
    expect(modelsOf(engine)).toEqual(['claims@3 unloading']);
    await clock.advance(2000);
    expect(stream.state).toBe('finished');
    expect(modelsOf(engine)).toEqual([]);
    expect(engine.memory.committedBytes).toBe(0);
  });

  it('applies an order once and repeats its answer', async () => {
    const {clock, engine} = setUp();
    const first = (await engine.order(LOAD))._unsafeUnwrap();
    await clock.advance(1000);
    await engine.order(UNLOAD);
    await clock.advance(1000);
    expect((await engine.order(LOAD))._unsafeUnwrap()).toEqual(first);
    expect(modelsOf(engine)).toEqual([]);
    expect(engine.truth.ofKind('order-applied')).toHaveLength(2);
  });

  it.each([
    {checksFencing: true, status: 409, highestFencing: 5},
    {checksFencing: false, status: 202, highestFencing: 0},
  ])(
    'with checksFencing $checksFencing answers an old number $status',
    async ({checksFencing, status, highestFencing}) => {
      const {engine} = setUp({checksFencing});
      await engine.order({...LOAD, bytes: 10});
      const old = {...LOAD, orderId: 'o3', artifact: 'rates@1', fencing: 4};
      expect(await tryOrder(engine, old)).toBe(status);
      expect(engine.report().highestFencing).toBe(highestFencing);
    },
  );

  // Two loads are ordered that together need more memory than there is. An
  // engine that protects itself refuses the second; one that doesn't takes it,
  // and only the truth record shows that memory was promised twice.
  it.each([
    {unprotectedMemory: false, status: 507, highest: 60},
    {unprotectedMemory: true, status: 202, highest: 120},
  ])(
    'records over-commitment with unprotectedMemory $unprotectedMemory',
    async ({unprotectedMemory, status, highest}) => {
      const {engine} = setUp({faults: {unprotectedMemory}});
      await engine.order(LOAD);
      const second = {...LOAD, orderId: 'o2', artifact: 'rates@1'};
      expect(await tryOrder(engine, second)).toBe(status);
      expect(engine.memory.highestCommittedBytes).toBe(highest);
      expect(engine.truth.ofKind('over-commit')).toMatchObject([
        {artifact: 'rates@1', wantedBytes: 120, refused: status === 507},
      ]);
    },
  );

  it('reports a load absent again that the weight store refuses', async () => {
    const {clock, engine, weights} = setUp();
    weights.faults.set({outage: 'refuse'});
    expect(await tryOrder(engine, LOAD)).toBe(202);
    await clock.advance(0);
    expect(engine.report().models).toEqual([]);
    expect(engine.truth.ofKind('load-refused')).toHaveLength(1);
  });

  it('sets the role, and needs the model under an adapter', async () => {
    const {clock, engine} = setUp();
    await engine.order({orderId: 'o1', kind: 'set-role', role: 'desk'});
    expect(engine.report().role).toBe('desk');
    const artifact = 'claims@3+suva@1';
    await engine.order({orderId: 'o2', kind: 'load', artifact, bytes: 1});
    await clock.advance(1000);
    expect(engine.submit(chatRequest({artifact})).isErr()).toBe(true);
    await engine.order({...LOAD, orderId: 'o3'});
    await clock.advance(1000);
    expect(engine.submit(chatRequest({artifact})).isOk()).toBe(true);
  });

  // The agent gives a load order and may hear nothing, or an error, while the
  // engine applies it now, later or never. `seen` is what the agent hears
  // within a second; the others are what the engine did by then and later.
  const cases: Array<{
    fault: Partial<EngineFaults>;
    seen: number | 'pending';
    afterOneSecond: number;
    afterTenSeconds: number;
  }> = [
    {
      fault: {loseNextOrders: 1},
      seen: 'pending',
      afterOneSecond: 0,
      afterTenSeconds: 0,
    },
    {
      fault: {orderLossProbability: 1},
      seen: 'pending',
      afterOneSecond: 0,
      afterTenSeconds: 0,
    },
    {
      fault: {loseNextOrderAnswers: 1},
      seen: 0,
      afterOneSecond: 1,
      afterTenSeconds: 1,
    },
    {
      fault: {lateNextOrders: 1, orderLateMs: 5000},
      seen: 0,
      afterOneSecond: 0,
      afterTenSeconds: 1,
    },
    {
      fault: {lateNextOrders: 1, orderLateMs: 5000, lateOrdersAnswered: true},
      seen: 'pending',
      afterOneSecond: 0,
      afterTenSeconds: 1,
    },
    {
      fault: {paused: true},
      seen: 'pending',
      afterOneSecond: 0,
      afterTenSeconds: 0,
    },
  ];
  it.each(cases)(
    'order with $fault',
    async ({fault, seen, afterOneSecond, afterTenSeconds}) => {
      const {clock, engine} = setUp({faults: fault});
      const applied = () => engine.truth.ofKind('order-applied').length;
      const outcome = await outcomeAfter(clock, 1000, tryOrder(engine, LOAD));
      expect(outcome).toBe(seen);
      expect(applied()).toBe(afterOneSecond);
      await clock.advance(9000);
      expect(applied()).toBe(afterTenSeconds);
    },
  );

  it('applies a held order when a pause ends', async () => {
    const {clock, engine} = setUp({faults: {paused: true}});
    const held = engine.order(LOAD);
    await clock.advance(5000);
    engine.faults.set({paused: false});
    expect((await held)._unsafeUnwrap().receivedAtMs).toBe(5000);
  });
});

describe('report', () => {
  it('is as old as its lag and says when it was taken', async () => {
    const {clock, engine} = setUp({reportLagMs: 300});
    await clock.advance(1000);
    await engine.order(LOAD);
    await clock.advance(299);
    expect(engine.report()).toMatchObject({takenAtMs: 999, models: []});
    await clock.advance(1);
    expect(engine.report().models).toHaveLength(1);
  });

  it('stays as it was while frozen', async () => {
    const {clock, engine} = setUp();
    await clock.advance(1000);
    engine.faults.set({reportsFrozen: true});
    await engine.order(LOAD);
    await clock.advance(5000);
    expect(engine.report()).toMatchObject({takenAtMs: 1000, models: []});
    engine.faults.set({reportsFrozen: false});
    expect(engine.report()).toMatchObject({takenAtMs: 6000});
  });
});
