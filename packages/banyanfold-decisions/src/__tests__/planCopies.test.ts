import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  planCopies,
  type CopyModel,
  type CopyOrder,
  type CopyRunner,
} from '../planCopies.js';

const BUSY_WORK = 30;
const WORK_PER_REQUEST = 3;

function runner(fields: Partial<CopyRunner> & {runnerId: string}): CopyRunner {
  return {
    failureDomain: 'hall-a',
    weightsMb: 200,
    reservedMb: 10,
    models: [],
    isBusy: false,
    inMemory: [],
    onDisk: [],
    ...fields,
  };
}

function model(name: string, fields: Partial<CopyModel> = {}): CopyModel {
  return {
    name,
    weightsMb: 70,
    storeLoadMs: 4_000,
    workPerSecond: 0,
    requestsPerSecond: (fields.workPerSecond ?? 0) / WORK_PER_REQUEST,
    waiting: 0,
    idleMs: 60_000,
    ...fields,
  };
}

function summarize(orders: CopyOrder[]): string[] {
  return orders.map(o => `${o.kind} ${o.model} at ${o.runnerId}: ${o.reason}`);
}

describe('planCopies', () => {
  it('loads a model that callers wait for where its weights are local', () => {
    const orders = planCopies({
      runners: [
        runner({runnerId: 'r1', models: ['a']}),
        runner({runnerId: 'r2', models: ['a'], onDisk: ['b']}),
      ],
      models: [model('a', {workPerSecond: 1}), model('b', {waiting: 2})],
      storeLoadsLeft: 0,
    });
    expect(summarize(orders)).toEqual(['load b at r2: orphan']);
    expect(orders[0]?.isFromStore).toBe(false);
  });

  it('evicts an idle copy, and uses the memory for the intended model', () => {
    const full = runner({runnerId: 'r1', models: ['a', 'idle']});
    const models = [
      model('a', {workPerSecond: 3, idleMs: 10}),
      model('idle'),
      model('b', {waiting: 1, idleMs: 0}),
    ];
    const first = planCopies({runners: [full], models, storeLoadsLeft: 1});
    expect(summarize(first)).toEqual(['unload idle at r1: room for b']);
    const after = runner({
      runnerId: 'r1',
      models: ['a'],
      onDisk: ['idle'],
      intendedModel: 'b',
    });
    const then = planCopies({runners: [after], models, storeLoadsLeft: 1});
    expect(summarize(then)).toEqual(['load b at r1: room-made']);
  });

  it('evicts a copy without requests in flight, not a busy one', () => {
    // One runner could unload a busy model after its streams have finished,
    // another one an idle model immediately.
    const orders = planCopies({
      runners: [
        runner({runnerId: 'r1', models: ['busy', 'x']}),
        runner({runnerId: 'r2', models: ['idle', 'busy']}),
      ],
      models: [
        model('busy', {workPerSecond: 2, idleMs: 0}),
        model('x', {workPerSecond: 1, idleMs: 10}),
        model('idle'),
        model('b', {waiting: 1, idleMs: 0}),
      ],
      storeLoadsLeft: 1,
    });
    expect(summarize(orders)).toEqual(['unload idle at r2: room for b']);
  });

  it('uses free memory elsewhere while memory is being freed', () => {
    const orders = planCopies({
      runners: [
        runner({
          runnerId: 'r1',
          models: ['busy', 'x'],
          isBusy: true,
          intendedModel: 'b',
        }),
        runner({runnerId: 'r2', models: ['busy']}),
      ],
      models: [
        model('busy', {workPerSecond: 2, idleMs: 0}),
        model('x', {workPerSecond: 1, idleMs: 10}),
        model('b', {waiting: 1, idleMs: 0}),
      ],
      storeLoadsLeft: 1,
    });
    expect(summarize(orders)).toEqual(['load b at r2: orphan']);
  });

  it('relieves the hottest runner when demand moves to one model', () => {
    // All demand moves to a model with one copy. Callers queue there while two
    // other runners are idle; one more copy halves the load of its runner.
    const orders = planCopies({
      runners: [
        runner({runnerId: 'r1', models: ['hot']}),
        runner({runnerId: 'r2', models: ['cold']}),
        runner({runnerId: 'r3', models: ['cold']}),
      ],
      models: [
        model('hot', {workPerSecond: BUSY_WORK, idleMs: 0}),
        model('cold'),
      ],
      storeLoadsLeft: 1,
    });
    expect(summarize(orders)).toEqual(['load hot at r2: relieve']);
  });

  it('relieves a runner beyond its capacity, several times', () => {
    // Guards against a lack of relief at four times the capacity of a runner.
    // With late answers alone, one more copy seems to save hardly any caller,
    // since the answers of both runners would still be late, and callers are
    // refused.
    const hot = model('hot', {workPerSecond: 320, requestsPerSecond: 35});
    const runners = [
      runner({runnerId: 'r1', models: ['hot']}),
      ...['r2', 'r3', 'r4', 'r5', 'r6'].map(runnerId => runner({runnerId})),
    ];
    const orders = planCopies({runners, models: [hot], storeLoadsLeft: 5});
    expect(orders.length).toBeGreaterThanOrEqual(3);
    expect(orders.every(order => order.reason === 'relieve')).toBe(true);
  });

  it('relieves a runner whose slots are all in use', () => {
    // Streams of 3 s fill the 32 slots of a runner with little work to read.
    // Further requests wait for a slot while other runners are idle.
    const long = model('long', {workPerSecond: 6, requestsPerSecond: 20});
    const full = runner({
      runnerId: 'r1',
      slots: 32,
      models: ['long'],
      inUse: {long: 60},
    });
    const idle = runner({runnerId: 'r2', slots: 32});
    const reliefFor = (runners: CopyRunner[]) =>
      summarize(planCopies({runners, models: [long], storeLoadsLeft: 1}));
    expect(reliefFor([full, idle])).toEqual(['load long at r2: relieve']);
    expect(reliefFor([{...full, inUse: {long: 12}}, idle])).toEqual([]);
  });

  it('terminates if the configuration gives runners no slots', () => {
    // Guards against an endless loop of the lease holder: 0 requests in flight
    // at 0 slots give NaN, and a move with a gain of NaN was reinserted
    // forever.
    const models = [
      model('a', {workPerSecond: 50}),
      model('b', {workPerSecond: 50}),
    ];
    const runners = [
      runner({runnerId: 'r1', slots: 0, models: ['a', 'b'], inUse: {}}),
      runner({runnerId: 'r2', slots: 0}),
      runner({runnerId: 'r3', slots: 0}),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 4});
    expect(orders.length).toBeGreaterThan(0);
  });

  it('evicts the last copy of one of many rare models for relief', () => {
    // Guards against last copies that are never evicted. Memory holds one copy
    // each of 40 rare models, and all callers request one of them. No memory is
    // freed if each last copy is valued as if all demand could move to its
    // model.
    const rare = Array.from({length: 40}, (_, i) => model(`m${i}`));
    rare[0] = model('m0', {
      workPerSecond: 160,
      requestsPerSecond: 18,
      idleMs: 0,
    });
    const runners = Array.from({length: 20}, (_, i) =>
      runner({runnerId: `r${i}`, models: [`m${2 * i}`, `m${2 * i + 1}`]}),
    );
    const orders = planCopies({runners, models: rare, storeLoadsLeft: 4});
    expect(orders.length).toBeGreaterThan(0);
    expect(orders.every(order => order.roomFor === 'm0')).toBe(true);
  });

  it('relieves an overloaded runner before it serves a rare model', () => {
    // One runner has the only copy of the model that most callers request, and
    // one caller waits for a rare model. The idle runner serves the many
    // callers first, and the copy that makes room is one that is hardly used.
    const runners = [
      runner({runnerId: 'r1', models: ['hot', 'x']}),
      runner({runnerId: 'r2', models: ['seldom', 'y']}),
    ];
    const models = [
      model('hot', {workPerSecond: 40, idleMs: 0}),
      model('x', {idleMs: 2_000}),
      model('y', {workPerSecond: 1, idleMs: 100}),
      model('seldom', {idleMs: 2_000}),
      model('rare', {waiting: 1, idleMs: 0}),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 2});
    expect(summarize(orders)[0]).toBe('unload seldom at r2: room for hot');
  });

  it('adds a copy if adapters find no slot at its holders', () => {
    // Many adapters of one model are requested at the same time. The slots of
    // its only holder are in use and callers wait, but the work is small, so no
    // runner counts as hot. One copy is added per four waiting requests, and
    // none while enough are pending.
    const runners = [
      runner({runnerId: 'r1', models: ['rich']}),
      runner({runnerId: 'r2', models: ['cold']}),
      runner({runnerId: 'r3', models: ['cold']}),
    ];
    const models = [
      model('rich', {waiting: 5, workPerSecond: 3, idleMs: 0}),
      model('cold'),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 3});
    expect(summarize(orders)).toEqual(['load rich at r2: crowded']);
    const withPending = runners.map(each =>
      each.runnerId === 'r2'
        ? {...each, isBusy: true, loadingModel: 'rich'}
        : each,
    );
    const ordersLater = planCopies({
      runners: withPending,
      models,
      storeLoadsLeft: 3,
    });
    expect(ordersLater).toEqual([]);
  });

  it('loads a model without a copy in place of one of many copies', () => {
    // Before demand moves to a model without a copy, whose callers would wait
    // for the whole load, the model with the most copies gives one up, but
    // never one of its last three.
    const many = ['r1', 'r2', 'r3', 'r4'].map(runnerId =>
      runner({runnerId, models: ['many', 'pair']}),
    );
    const models = [model('many'), model('pair'), model('none')];
    const [order, ...more] = planCopies({
      runners: many,
      models,
      storeLoadsLeft: 2,
    });
    expect(summarize([order!])).toEqual(['unload many at r1: room for none']);
    expect(more).toEqual([]);
    const quickLoads = models.map(each => ({...each, storeLoadMs: 1_200}));
    const left = planCopies({
      runners: many,
      models: quickLoads,
      storeLoadsLeft: 2,
    });
    expect(left).toEqual([]);
    const three = many.slice(0, 3);
    const ordersForThree = planCopies({
      runners: three,
      models,
      storeLoadsLeft: 2,
    });
    expect(ordersForThree).toEqual([]);
  });

  it('moves nothing for a model that was requested once or twice', () => {
    // Guards against moves for many rare models with occasional long prompts.
    // Relief by work alone moved copies for each of them, and hot models had to
    // wait.
    const models = [
      model('rare', {workPerSecond: 24, requestsPerSecond: 1.3, idleMs: 0}),
      model('cold'),
    ];
    const runners = [
      runner({runnerId: 'r1', models: ['rare']}),
      runner({runnerId: 'r2', models: ['cold']}),
    ];
    expect(planCopies({runners, models, storeLoadsLeft: 3})).toEqual([]);
  });

  it('evicts no serving copy on account of pending ones', () => {
    // Guards against evictions that count on pending copies. With three pending
    // copies, the two serving ones seem to be two of five, and both are evicted
    // for models without a copy; callers of the model in most demand are then
    // refused for seconds.
    const runners = [
      runner({runnerId: 'r1', models: ['hot', 'x']}),
      runner({runnerId: 'r2', models: ['hot', 'y']}),
      ...['r3', 'r4', 'r5'].map(runnerId =>
        runner({
          runnerId,
          models: ['hot', 'z'],
          isBusy: true,
          loadingModel: 'hot',
        }),
      ),
    ];
    const models = [
      model('hot', {workPerSecond: 12, idleMs: 0}),
      ...['x', 'y', 'z'].map(name =>
        model(name, {workPerSecond: 1, idleMs: 100}),
      ),
      model('gone', {waiting: 1, idleMs: 0}),
      model('none'),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 4});
    expect(orders.filter(({model: name}) => name === 'hot')).toEqual([]);
    const quiet = models.map(each => ({...each, waiting: 0}));
    const ordersLater = planCopies({runners, models: quiet, storeLoadsLeft: 4});
    expect(ordersLater.filter(({model: name}) => name === 'hot')).toEqual([]);
  });

  it('adds a copy in another failure domain', () => {
    // The loss of a domain would remove both copies, and prompts of callers in
    // other domains would cross to it. At equal loads, the next copy goes to a
    // domain without one.
    const runners = [
      runner({runnerId: 'r1', models: ['hot']}),
      runner({runnerId: 'r2'}),
      runner({runnerId: 'r3', failureDomain: 'hall-b'}),
    ];
    const models = [model('hot', {workPerSecond: BUSY_WORK, idleMs: 0})];
    const orders = planCopies({runners, models, storeLoadsLeft: 1});
    expect(summarize(orders)).toEqual(['load hot at r3: relieve']);
  });

  it('loads elsewhere if a runner leaves an order unanswered', () => {
    // Most of the demand moves to a model without a copy, and the runner that
    // was to load it did not answer and may be shutting down. It is not waited
    // for; the next plan loads the model at another runner.
    const runners = [
      runner({
        runnerId: 'r1',
        models: ['hot'],
        isBusy: true,
        isUnresponsive: true,
        loadingModel: 'hot',
      }),
      runner({runnerId: 'r2', models: ['cold']}),
    ];
    const models = [
      model('hot', {workPerSecond: 30, waiting: 20, idleMs: 0}),
      model('cold'),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 2});
    expect(summarize(orders)).toEqual(['load hot at r2: orphan']);
  });

  it('evicts a copy without requests in flight when demand moves', () => {
    // Demand moves to a model without a copy. An unload waits for the longest
    // request in flight, up to 10 s at a busy copy, and blocks other orders of
    // the runner; callers leave after 2 s.
    const runners = [
      runner({runnerId: 'r1', models: ['a', 'b'], inUse: {a: 20, b: 3}}),
      runner({runnerId: 'r2', models: ['a', 'c'], inUse: {a: 20}}),
    ];
    const models = [
      model('a', {workPerSecond: 30, idleMs: 0}),
      model('b', {workPerSecond: 2, idleMs: 500}),
      model('c', {workPerSecond: 2, idleMs: 500}),
      model('moved', {workPerSecond: 30, waiting: 10, idleMs: 0}),
    ];
    const [order] = planCopies({runners, models, storeLoadsLeft: 2});
    expect(summarize([order!])).toEqual(['unload c at r2: room for moved']);
  });

  it('adds one copy, not several, of a rare model', () => {
    // Guards against several loads of a rare model. One caller waits while the
    // first copy is pending. Four loads began within 0.3 s, each in place of
    // another model, and callers of one of those were refused for seconds.
    const held = ['u', 'v', 'w'].map((name, i) =>
      runner({runnerId: `r${i}`, models: [name, 'busy']}),
    );
    const withPending = {...held[0]!, isBusy: true, models: ['busy']};
    const runners = [
      {...withPending, intendedModel: 'rare'},
      held[1]!,
      held[2]!,
    ];
    const models = [
      model('busy', {workPerSecond: 20, idleMs: 0}),
      ...['u', 'v', 'w'].map(name => model(name)),
      model('rare', {
        waiting: 1,
        idleMs: 0,
        requestsPerSecond: 0.7,
        workPerSecond: 2,
      }),
    ];
    const orders = planCopies({runners, models, storeLoadsLeft: 4});
    expect(orders.filter(({roomFor}) => roomFor === 'rare')).toEqual([]);
  });

  it('evicts no copy before demand has been observed for a while', () => {
    // At the start of a day, the first model to be requested has all the
    // demand.
    const full = runner({runnerId: 'r1', models: ['a', 'idle']});
    const models = [
      model('a', {workPerSecond: 3, idleMs: 10}),
      model('idle'),
      model('b', {waiting: 1, idleMs: 0}),
    ];
    const input = {runners: [full], models, storeLoadsLeft: 1};
    expect(planCopies({...input, canEvict: false})).toEqual([]);
    expect(planCopies({...input, canEvict: true})).toHaveLength(1);
  });

  it('gives no order to a busy runner or beyond the load rate', () => {
    const models = [model('a', {waiting: 3, idleMs: 0})];
    const busy = [runner({runnerId: 'r1', isBusy: true})];
    expect(planCopies({runners: busy, models, storeLoadsLeft: 4})).toEqual([]);
    const free = [runner({runnerId: 'r1'})];
    expect(planCopies({runners: free, models, storeLoadsLeft: 0})).toEqual([]);
  });

  it('adds no copy if answers are in time', () => {
    const orders = planCopies({
      runners: [
        runner({runnerId: 'r1', models: ['a']}),
        runner({runnerId: 'r2', models: ['a', 'b']}),
      ],
      models: [
        model('a', {workPerSecond: 4, idleMs: 0}),
        model('b', {workPerSecond: 2, idleMs: 0}),
      ],
      storeLoadsLeft: 3,
    });
    expect(orders).toEqual([]);
  });

  it('never exceeds the memory, one order per runner, or the load rate', () => {
    const names = ['a', 'b', 'c', 'd', 'e'];
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            models: fc.uniqueArray(fc.constantFrom(...names), {maxLength: 2}),
            isBusy: fc.boolean(),
            onDisk: fc.uniqueArray(fc.constantFrom(...names)),
          }),
          {minLength: 1, maxLength: 4},
        ),
        fc.array(
          fc.record({
            workPerSecond: fc.double({min: 0, max: 60, noNaN: true}),
            waiting: fc.nat({max: 3}),
            idleMs: fc.nat({max: 20_000}),
          }),
          {minLength: names.length, maxLength: names.length},
        ),
        fc.nat({max: 3}),
        (held, demands, storeLoadsLeft) => {
          const runners = held.map((fields, i) =>
            runner({runnerId: `r${i}`, ...fields}),
          );
          const models = demands.map((demand, i) => model(names[i]!, demand));
          const orders = planCopies({runners, models, storeLoadsLeft});
          const ids = orders.map(({runnerId}) => runnerId);
          expect(new Set(ids).size).toBe(ids.length);
          const fromStore = orders.filter(({isFromStore}) => isFromStore);
          expect(fromStore.length).toBeLessThanOrEqual(storeLoadsLeft);
          for (const order of orders) {
            const target = runners.find(r => r.runnerId === order.runnerId)!;
            expect(target.isBusy).toBe(false);
            if (order.kind === 'unload') {
              expect(target.models).toContain(order.model);
              continue;
            }
            expect(target.models).not.toContain(order.model);
            const usedMb = (target.models.length + 1) * 70;
            expect(usedMb).toBeLessThanOrEqual(190);
          }
        },
      ),
    );
  });
});
