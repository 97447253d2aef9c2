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
let answers: Array<OrderOutcome | 'lost'>;
let isHolder: boolean;
let fencedCount: number;
let controller: RunnerController;
let inUse: Set<string>;
let term: number;

beforeEach(() => {
  clock = new VirtualClock();
  orders = [];
  answers = [];
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
          const answer = answers.shift() ?? 'accepted';
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
    ...fields,
  };
}

function held(...adapters: string[]): RunnerReport['models'] {
  return [{name: 'm1', version: 1, adapters}];
}

describe('the orders to one runner', () => {
  it('wait until the number of its orders is known', async () => {
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    controller.applyReport(report({orderNumber: 4}), 0);
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(true);
    expect(orders).toMatchObject([{adapter: 'a1', expectedOrderNumber: 4}]);
  });

  it('name one number, so that of a lost and a new order one takes effect', async () => {
    // A runner must never be overfilled. An order gets no answer and may be
    // carried out seconds later; the one after it names the same number, so
    // that the runner takes whichever comes first and refuses the other.
    controller.applyReport(report(), 0);
    answers = ['lost'];
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    await controller.ensureAdapter('m1', 'a2', SLOTS);
    const numbers = orders.map(order => order.expectedOrderNumber);
    expect(numbers).toEqual([0, 0]);
  });

  it('tell of a runner that leaves them unanswered, or that is another one by now', async () => {
    // Callers would wait for a load at a runner that is about to go, or that is
    // gone while its registration lasts and another one answers at its address.
    controller.applyReport(report(), 0);
    const load = {kind: 'load', model: 'm2', reason: 'x'} as const;
    answers = ['lost', 'other-runner'];
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

  it('are kept when a report from before them comes', async () => {
    controller.applyReport(report(), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    controller.applyReport(report({orderNumber: 0}), clock.nowMs());
    expect(controller.servingAdapters()).toEqual(['m1/a1']);
  });

  it('are counted anew when the number ran ahead of the runner', async () => {
    // All orders would be refused for good: an order that was under way already
    // was answered like a new one and counted twice. A report that was asked
    // for long after the last order counts, whatever its number.
    controller.applyReport(report(), 0);
    await controller.orderModel({kind: 'load', model: 'm2', reason: 'x'}, 100);
    await controller.orderModel({kind: 'load', model: 'm2', reason: 'x'}, 100);
    await clock.advance(SETTLED_MS);
    const models = [...held(), {name: 'm2', version: 1, adapters: []}];
    controller.applyReport(report({orderNumber: 1, models}), clock.nowMs());
    await controller.ensureAdapter('m2', 'a1', SLOTS);
    expect(orders.at(-1)?.expectedOrderNumber).toBe(1);
  });

  it('are counted anew while the runner refuses them one after the other', async () => {
    // Callers of all adapters at this runner would wait for good. The number is
    // one too high, each order is refused, and an order every 200 ms made every
    // report look as if it came from before the last order.
    controller.applyReport(report({orderNumber: 1}), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    for (let i = 0; i < 8; i++) {
      answers = ['conflict'];
      await controller.ensureAdapter('m1', `b${i}`, SLOTS);
      await clock.advance(200);
      const models = held('a1');
      controller.applyReport(report({orderNumber: 1, models}), clock.nowMs());
    }
    expect(await controller.ensureAdapter('m1', 'a2', SLOTS)).toBe(true);
    expect(orders.at(-1)?.expectedOrderNumber).toBe(1);
  });

  it('wait for a report where an answer left the number open', async () => {
    // All later orders would name a number that the runner never reached. The
    // load of an adapter gets no answer and did not happen; its unload is
    // answered as if it had gone at once, which would count as an order.
    controller.applyReport(report({models: held('a1')}), 0);
    answers = ['lost'];
    expect(await controller.ensureAdapter('m1', 'a2', SLOTS)).toBe(false);
    inUse = new Set(['m1/a1']);
    await clock.advance(400);
    answers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders).toHaveLength(2);
    await clock.advance(SETTLED_MS);
    controller.applyReport(report({models: held('a1')}), clock.nowMs());
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders.at(-1)).toMatchObject({
      adapter: 'a3',
      expectedOrderNumber: 0,
    });
  });

  it('wait for a report when the lease comes back after another holder', async () => {
    // The runner would be overfilled and crash. An unload got no answer and never
    // happened; the lease went to another process and came back long after. The
    // number of orders is still the same, and the memory that the unload was to
    // free is not.
    controller.applyReport(report(), 0);
    answers = ['lost'];
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

  it('are not undone by a report while a model goes', async () => {
    // Callers are sent to a runner that refuses them: its unload waits for the
    // runs under way, and reports name the model as held until then.
    controller.applyReport(report(), 0);
    await controller.orderModel({kind: 'unload', model: 'm1', reason: 'x'}, 0);
    await clock.advance(SETTLED_MS);
    controller.applyReport(report({orderNumber: 1, busy: true}), clock.nowMs());
    expect(controller.servingModels()).toEqual([]);
    controller.applyReport(report({orderNumber: 1}), clock.nowMs());
    expect(controller.servingModels()).toEqual(['m1']);
  });

  it('stop while a load of the holder before is under way', async () => {
    // A second load after the first would overfill the runner: the first one
    // takes memory that shows in no report until it is over.
    controller.applyReport(report({busy: true, orderNumber: 3}), 0);
    expect(controller.isBusy).toBe(true);
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(orders).toEqual([]);
    controller.applyReport(report({orderNumber: 3}), clock.nowMs());
    expect(controller.isBusy).toBe(false);
  });

  it('make a place by what was unused longest', async () => {
    controller.applyReport(report({models: held('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    controller.recordAdapterUse('m1', 'a1');
    answers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders).toMatchObject([
      {kind: 'unload', adapter: 'a2', expectedOrderNumber: 0},
      {kind: 'load', adapter: 'a3', expectedOrderNumber: 1},
    ]);
  });

  it('leave an adapter in use where it is', async () => {
    // Callers of other adapters would wait for seconds: a runner that is to
    // drop an adapter in use carries that order out until the runs are over,
    // and refuses all others meanwhile. The longest unused one that is free goes.
    controller.applyReport(report({models: held('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    controller.recordAdapterUse('m1', 'a2');
    await clock.advance(SETTLED_MS);
    inUse = new Set(['m1/a1']);
    answers = ['holds'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
    expect(orders.map(({adapter}) => adapter)).toEqual(['a2', 'a3']);
    inUse = new Set(['m1/a1', 'm1/a3']);
    await clock.advance(SETTLED_MS);
    expect(await controller.ensureAdapter('m1', 'a4', SLOTS)).toBe(false);
    expect(orders).toHaveLength(2);
  });

  it('count a place as taken until an adapter in use is gone', async () => {
    // The runner would be overfilled: an adapter in use goes only when its runs
    // are over, and a load into its place before that is one too many.
    controller.applyReport(report({models: held('a1', 'a2')}), 0);
    await clock.advance(SETTLED_MS);
    answers = ['accepted', 'accepted'];
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders.every(({kind}) => kind === 'unload')).toBe(true);
    await clock.advance(SETTLED_MS);
    const models = held('a2');
    controller.applyReport(report({orderNumber: 2, models}), clock.nowMs());
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(true);
  });

  it('take nothing away that was asked for a moment ago', async () => {
    controller.applyReport(report(), 0);
    await controller.ensureAdapter('m1', 'a1', SLOTS);
    await controller.ensureAdapter('m1', 'a2', SLOTS);
    expect(await controller.ensureAdapter('m1', 'a3', SLOTS)).toBe(false);
    expect(orders.some(({kind}) => kind === 'unload')).toBe(false);
  });

  it('end where the lease does, and tell it of a higher token', async () => {
    controller.applyReport(report(), 0);
    isHolder = false;
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(orders).toEqual([]);
    isHolder = true;
    answers = ['fenced'];
    expect(await controller.ensureAdapter('m1', 'a1', SLOTS)).toBe(false);
    expect(fencedCount).toBe(1);
  });
});
