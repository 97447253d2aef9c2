import {
  BanyanfoldError,
  MemoryLogger,
  Metrics,
  VirtualClock,
} from '@banyanfold/core';
import {err, ok} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';
import {RunnerController} from '../placement/runnerController.js';
import type {
  LeaseSource,
  OrderOutcome,
  RunnerOrder,
  RunnerReport,
} from '../types.js';

const SLOTS = 2;
const SETTLED_MS = 1_500;

let clock: VirtualClock;
let orders: RunnerOrder[];
let orderAnswers: Array<OrderOutcome | 'lost'>;
let isHolder: boolean;
let fencedCount: number;
let controller: RunnerController;
let inUse: Set<string>;
let term: number;

beforeEach(() => {
  clock = new VirtualClock();
  orders = [];
  orderAnswers = [];
  isHolder = true;
  fencedCount = 0;
  inUse = new Set();
  term = 1;
  controller = new RunnerController(
    {
      runnerId: 'r1',
      service: 's',
      address: '127.0.0.1:1',
      failureDomain: 'hall-a',
      slots: 8,
      leaving: false,
      models: [{name: 'm1', version: 1, adapters: []}],
      bornMs: 1,
      heartbeatNumber: 1,
    },
    {
      clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      lease: {
        current: () => ({isHolder, fencingToken: 7, term}),
        noteFenced: () => (fencedCount += 1),
      } as unknown as LeaseSource,
      control: {
        order: async (_runnerId, _address, order) => {
          orders.push(order);
          const answer = orderAnswers.shift() ?? 'accepted';
          if (answer !== 'lost') return ok(answer);
          const place = {step: 'order', peer: 'r1'};
          return err(new BanyanfoldError('no-answer', 'lost', place));
        },
        report: async () => ok(report()),
      },
      holder: 'e1',
      isAdapterInUse: adapter => inUse.has(adapter),
    },
  );
});

function report(fields: Partial<RunnerReport> = {}): RunnerReport {
  return {
    bornMs: 1,
    models: [{name: 'm1', version: 1, adapters: []}],
    pendingAdapters: [],
    busy: false,
    orderNumber: 0,
    running: 0,
    queued: 0,
    kvUsedTokens: 0,
    kvTotalTokens: 0,
    inMemory: [],
    onDisk: [],
    isLeaving: false,
    ...fields,
  };
}

function heldModels(...adapters: string[]): RunnerReport['models'] {
  return [{name: 'm1', version: 1, adapters}];
}

describe('RunnerController', () => {
  it('sends no order before the order number is known', async () => {
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    controller.applyReport(report({orderNumber: 4}), 0);
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(true);
    expect(orders).toMatchObject([{adapter: 'a1', expectedOrderNumber: 4}]);
  });

  it('reuses the number of a lost order for the next one', async () => {
    // Guards against overfilling a runner. An order gets no answer and may be
    // carried out seconds later. The next order has the same number, so the
    // runner accepts whichever arrives first and refuses the other.
    controller.applyReport(report(), 0);
    orderAnswers = ['lost'];
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    await controller.ensureAdapter('m1', 'a2', SLOTS);
    const numbers = orders.map(order => order.expectedOrderNumber);
    expect(numbers).toEqual([0, 0]);
  });

  it('detects a runner that does not answer or was replaced', async () => {
    // Guards against loads on a runner that is about to stop, or that has
    // stopped while its registration is still valid and another one answers at
    // its address.
    controller.applyReport(report(), 0);
    const load = {kind: 'load', model: 'm2', reason: 'x'} as const;
    orderAnswers = ['lost', 'other-runner'];
    await controller.orderModel(load, 100);
    expect(controller.isUnresponsive).toBe(true);
    expect(controller.isReachable).toBe(true);
    await controller.orderModel(load, 100);
    controller.applyReport(report(), clock.nowMs());
    expect(controller.isReachable).toBe(false);
    await clock.advance(5_000);
    expect(controller.isReachable).toBe(true);
    expect(controller.isUnresponsive).toBe(false);
  });

  it('keeps the effect of an order when an older report arrives', async () => {
    controller.applyReport(report(), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    controller.applyReport(report({orderNumber: 0}), clock.nowMs());
    expect(controller.servingAdapters()).toEqual(['m1/a1']);
  });

  it('resets an order number that is too high', async () => {
    // A duplicate of an order in progress was accepted like a new one and
    // counted twice, after which all orders were refused permanently. A report
    // requested long after the last order counts, whatever its number.
    controller.applyReport(report(), 0);
    await controller.orderModel({kind: 'load', model: 'm2', reason: 'x'}, 100);
    await controller.orderModel({kind: 'load', model: 'm2', reason: 'x'}, 100);
    await clock.advance(SETTLED_MS);
    const models = [...heldModels(), {name: 'm2', version: 1, adapters: []}];
    controller.applyReport(report({orderNumber: 1, models}), clock.nowMs());
    await controller.ensureAdapter('m2', 'a1', SLOTS);
    expect(orders.at(-1)?.expectedOrderNumber).toBe(1);
  });

  it('resets the order number while the runner refuses each order', async () => {
    // The number is one too high and each order is refused. With an order every
    // 200 ms, every report seemed older than the last order, and requests for
    // all adapters at this runner waited indefinitely.
    controller.applyReport(report({orderNumber: 1}), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    for (let i = 0; i < 8; i++) {
      orderAnswers = ['conflict'];
      await controller.ensureAdapter('m1', `b${i}`, SLOTS);
      await clock.advance(200);
      const models = heldModels('a1');
      controller.applyReport(report({orderNumber: 1, models}), clock.nowMs());
    }
    expect(await controller.ensureAdapter('m1', 'a2', SLOTS)).toBe(true);
    expect(orders.at(-1)?.expectedOrderNumber).toBe(1);
  });

  it('waits for a report when an answer leaves the number uncertain', async () => {
    // The load of an adapter gets no answer and did not take place. Its unload
    // is answered as if it had been unloaded at once, which would count as an
    // order, and all later orders would have a number that the runner never
    // reached.
    controller.applyReport(report({models: heldModels('a1')}), 0);
    orderAnswers = ['lost'];
    expect(await controller.ensureAdapter('m1', 'a2', SLOTS)).toBe(false);
    inUse = new Set(['m1/a1']);
    await clock.advance(400);
    orderAnswers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders).toHaveLength(2);
    await clock.advance(SETTLED_MS);
    controller.applyReport(report({models: heldModels('a1')}), clock.nowMs());
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders.at(-1)).toMatchObject({
      adapter: 'a3',
      expectedOrderNumber: 0,
    });
  });

  it('waits for a report when the lease returns from another holder', async () => {
    // Guards against overfilling a runner, which crashes it. An unload got no
    // answer and never took place, and the lease moved to another process and
    // came back long after. The number of orders is unchanged, but the memory
    // was not freed.
    controller.applyReport(report(), 0);
    orderAnswers = ['lost'];
    await controller.orderModel({kind: 'unload', model: 'm1', reason: 'x'}, 0);
    await clock.advance(60_000);
    term = 2;
    expect(controller.isReady).toBe(false);
    const load = {kind: 'load', model: 'm2', reason: 'x'} as const;
    expect(await controller.orderModel(load, 0)).toBe('refused');
    expect(orders).toHaveLength(1);
    controller.applyReport(report(), clock.nowMs());
    expect(controller.isReady).toBe(true);
    expect([...controller.models]).toEqual(['m1']);
  });

  it('keeps an unload in progress when a report lists the model', async () => {
    // The unload waits for the requests in progress, and reports list the model
    // until then. Without this check, requests would be routed to a runner that
    // refuses them.
    controller.applyReport(report(), 0);
    await controller.orderModel({kind: 'unload', model: 'm1', reason: 'x'}, 0);
    await clock.advance(SETTLED_MS);
    controller.applyReport(report({orderNumber: 1, busy: true}), clock.nowMs());
    expect(controller.servingModels()).toEqual([]);
    controller.applyReport(report({orderNumber: 1}), clock.nowMs());
    expect(controller.servingModels()).toEqual(['m1']);
  });

  it('sends no order during a load of the previous holder', async () => {
    // Guards against overfilling a runner: the first load takes memory that no
    // report shows until it is complete.
    controller.applyReport(report({busy: true, orderNumber: 3}), 0);
    expect(controller.isBusy).toBe(true);
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(orders).toEqual([]);
    controller.applyReport(report({orderNumber: 3}), clock.nowMs());
    expect(controller.isBusy).toBe(false);
  });

  it('frees a slot by evicting the least recently used adapter', async () => {
    controller.applyReport(report({models: heldModels('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    controller.recordAdapterUse('m1', 'a1');
    orderAnswers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders).toMatchObject([
      {kind: 'unload', adapter: 'a2', expectedOrderNumber: 0},
      {kind: 'load', adapter: 'a3', expectedOrderNumber: 1},
    ]);
  });

  it('does not evict an adapter in use', async () => {
    // A runner that unloads an adapter in use waits for its requests and
    // refuses all other orders until then. Requests for other adapters would
    // wait for seconds. The least recently used adapter that is not in use is
    // unloaded instead.
    controller.applyReport(report({models: heldModels('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    controller.recordAdapterUse('m1', 'a2');
    await clock.advance(SETTLED_MS);
    inUse = new Set(['m1/a1']);
    orderAnswers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders.map(({adapter}) => adapter)).toEqual(['a2', 'a3']);
    inUse = new Set(['m1/a1', 'm1/a3']);
    await clock.advance(SETTLED_MS);
    expect(await controller.ensureAdapter('m1', 'a4', SLOTS)).toBe(false);
    expect(orders).toHaveLength(2);
  });

  it('counts a slot as occupied until an adapter in use is gone', async () => {
    // Guards against overfilling a runner: an adapter in use is unloaded only
    // after its requests, and a load into its slot before that is one too many.
    controller.applyReport(report({models: heldModels('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    orderAnswers = ['accepted', 'accepted'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders.every(({kind}) => kind === 'unload')).toBe(true);
    await clock.advance(SETTLED_MS);
    const models = heldModels('a2');
    controller.applyReport(report({orderNumber: 2, models}), clock.nowMs());
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
  });

  it('does not evict an adapter that was requested recently', async () => {
    controller.applyReport(report(), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    await controller.ensureAdapter('m1', 'a2', SLOTS);
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders.some(({kind}) => kind === 'unload')).toBe(false);
  });

  it('stops orders with the lease and reports a higher token', async () => {
    controller.applyReport(report(), 0);
    isHolder = false;
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(orders).toEqual([]);
    isHolder = true;
    orderAnswers = ['fenced'];
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(fencedCount).toBe(1);
  });
});
