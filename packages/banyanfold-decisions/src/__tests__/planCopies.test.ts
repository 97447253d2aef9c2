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

function brief(orders: CopyOrder[]): string[] {
  return orders.map(o => `${o.kind} ${o.model} at ${o.runnerId}: ${o.reason}`);
}

describe('planCopies', () => {
  it('loads a model that callers wait for where it is near', () => {
    const orders = planCopies({
      runners: [
        runner({runnerId: 'r1', models: ['a']}),
        runner({runnerId: 'r2', models: ['a'], onDisk: ['b']}),
      ],
      models: [model('a', {workPerSecond: 1}), model('b', {waiting: 2})],
      storeLoadsLeft: 0,
    });
    expect(brief(orders)).toEqual(['load b at r2: orphan']);
    expect(orders[0]?.isFromStore).toBe(false);
  });

  it('makes room by what is idle, and uses it for what it was made for', () => {
    const full = runner({runnerId: 'r1', models: ['a', 'idle']});
    const models = [
      model('a', {workPerSecond: 3, idleMs: 10}),
      model('idle'),
      model('b', {waiting: 1, idleMs: 0}),
    ];
    const first = planCopies({runners: [full], models, storeLoadsLeft: 1});
    expect(brief(first)).toEqual(['unload idle at r1: room for b']);
    const after = runner({
      runnerId: 'r1',
      models: ['a'],
      onDisk: ['idle'],
      intendedModel: 'b',
    });
    const then = planCopies({runners: [after], models, storeLoadsLeft: 1});
    expect(brief(then)).toEqual(['load b at r1: room-made']);
  });

  it('makes room by what no run keeps, not by a busy copy', () => {
    // Callers wait for a model. One runner could unload a busy model, which
    // takes until its streams are over; another one an idle model, at once.
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
    expect(brief(orders)).toEqual(['unload idle at r2: room for b']);
  });

  it('uses room that comes up elsewhere while other room is being made', () => {
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
    expect(brief(orders)).toEqual(['load b at r2: orphan']);
  });

  it('relieves the hottest runner when demand moves to one model', () => {
    // Load: all demand moved to a model with one copy. Callers queue there
    // while three runners idle; a copy more halves what its runner carries.
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
    expect(brief(orders)).toEqual(['load hot at r2: relieve']);
  });

  it('relieves a runner that has more than it can read, and does so again', () => {
    // Load: a model heats up twentyfold and asks for four times what a runner
    // reads. By late answers alone one copy more seemed to save hardly anybody,
    // since those of both runners would still be late; callers were refused.
    const hot = model('hot', {workPerSecond: 320, requestsPerSecond: 35});
    const runners = [
      runner({runnerId: 'r1', models: ['hot']}),
      ...['r2', 'r3', 'r4', 'r5', 'r6'].map(runnerId => runner({runnerId})),
    ];
    const orders = planCopies({runners, models: [hot], storeLoadsLeft: 5});
    expect(orders.length).toBeGreaterThanOrEqual(3);
    expect(orders.every(order => order.reason === 'relieve')).toBe(true);
  });

  it('relieves a runner whose places are all taken', () => {
    // Load: streams of 3 s fill the 32 places of a runner while it reads little.
    // Whoever comes next waits for a place; other runners stand idle.
    const long = model('long', {workPerSecond: 6, requestsPerSecond: 20});
    const full = runner({
      runnerId: 'r1',
      slots: 32,
      models: ['long'],
      inUse: {long: 60},
    });
    const idle = runner({runnerId: 'r2', slots: 32});
    const relief = (runners: CopyRunner[]) =>
      brief(planCopies({runners, models: [long], storeLoadsLeft: 1}));
    expect(relief([full, idle])).toEqual(['load long at r2: relieve']);
    expect(relief([{...full, inUse: {long: 12}}, idle])).toEqual([]);
  });

  it('comes to an end where a configuration gives runners no places', () => {
    // The holder's loop stood still for good: 0 requests under way at 0 places
    // make no number, and a move worth no number was put back again and again.
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

  it('gives the last copy of one rare model of many up for relief', () => {
    // Load: memory holds one copy each of 40 rare models; one of them is asked
    // for by all. Each last copy was insured as if all demand could move to its
    // model, and no room was made.
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

  it('relieves a runner far over its load before it serves a rare model', () => {
    // Load: one runner has the only copy of the model that most callers ask
    // for, and one caller waits for a rare model. The idle runner is used for
    // the many; their model's copy goes before a sole one that is hardly used.
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
    expect(brief(orders)[0]).toBe('unload seldom at r2: room for hot');
  });

  it('adds a copy where adapters find no place at those that hold it', () => {
    // Load: many adapters of one model are asked for at once; the places of the
    // only runner that holds it are in use, and their callers wait. Its work is
    // small, so that no runner counts as hot. One copy more is made for each
    // four that wait, and none while enough are on their way.
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
    expect(brief(orders)).toEqual(['load rich at r2: crowded']);
    const coming = runners.map(each =>
      each.runnerId === 'r2'
        ? {...each, isBusy: true, loadingModel: 'rich'}
        : each,
    );
    const later = planCopies({runners: coming, models, storeLoadsLeft: 3});
    expect(later).toEqual([]);
  });

  it('brings a model that nobody holds in place of one of many copies', () => {
    // Load: demand is about to move to a model that nobody holds; its callers
    // would wait for the whole load. Before anybody asks, the model with most
    // copies gives one up, and never one of the last three.
    const many = ['r1', 'r2', 'r3', 'r4'].map(runnerId =>
      runner({runnerId, models: ['many', 'pair']}),
    );
    const models = [model('many'), model('pair'), model('none')];
    const [order, ...more] = planCopies({
      runners: many,
      models,
      storeLoadsLeft: 2,
    });
    expect(brief([order!])).toEqual(['unload many at r1: room for none']);
    expect(more).toEqual([]);
    const quick = models.map(each => ({...each, storeLoadMs: 1_200}));
    const left = planCopies({runners: many, models: quick, storeLoadsLeft: 2});
    expect(left).toEqual([]);
    const three = many.slice(0, 3);
    const kept = planCopies({runners: three, models, storeLoadsLeft: 2});
    expect(kept).toEqual([]);
  });

  it('moves nothing for a model that was asked for once or twice', () => {
    // Load: many models, each asked for now and then by long prompts. Relief by
    // work alone moved copies for each of them, and the hot ones waited.
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

  it('takes no serving copy away for those that are still to come', () => {
    // Callers of the model in most demand are refused for seconds: three copies
    // are being made, so that the two that serve pass for two of five, and both
    // make way for models that nobody holds.
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
    const later = planCopies({runners, models: quiet, storeLoadsLeft: 4});
    expect(later.filter(({model: name}) => name === 'hot')).toEqual([]);
  });

  it('puts a copy more into another failure domain', () => {
    // A domain that is lost would take both copies, and prompts of callers in
    // the other domains would cross to it. Loads being alike, the next copy
    // goes where there is none.
    const runners = [
      runner({runnerId: 'r1', models: ['hot']}),
      runner({runnerId: 'r2'}),
      runner({runnerId: 'r3', failureDomain: 'hall-b'}),
    ];
    const models = [model('hot', {workPerSecond: BUSY_WORK, idleMs: 0})];
    const orders = planCopies({runners, models, storeLoadsLeft: 1});
    expect(brief(orders)).toEqual(['load hot at r3: relieve']);
  });

  it('goes on elsewhere when a runner leaves an order unanswered', () => {
    // Load: most of the demand moves to a model that nobody holds, and the load
    // that was ordered got no answer: that runner is about to go. Nobody waits
    // for it; the next plan loads the model at another one.
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
    expect(brief(orders)).toEqual(['load hot at r2: orphan']);
  });

  it('makes room where no run is under way when demand moves', () => {
    // Load: demand moves to a model that nobody holds. An unload waits for the
    // longest of the runs under way, up to 10 s at a busy copy, and the runner
    // takes no other order meanwhile; callers leave after 2 s.
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
    expect(brief([order!])).toEqual(['unload c at r2: room for moved']);
  });

  it('gives one copy, not several, to a rare model that is asked for', () => {
    // Load: one caller waits for a rare model while its first copy is on its
    // way. Four were begun within 0.3 s, each in place of another model, and
    // callers of one of those were refused for seconds.
    const held = ['u', 'v', 'w'].map((name, i) =>
      runner({runnerId: `r${i}`, models: [name, 'busy']}),
    );
    const coming = {...held[0]!, isBusy: true, models: ['busy']};
    const runners = [{...coming, intendedModel: 'rare'}, held[1]!, held[2]!];
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

  it('gives no copy up before demand has been heard of for a while', () => {
    // Load: the first moments of a day. Whoever asks first has all the demand.
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

  it('leaves a runner alone that is busy, and loads nothing over the rate', () => {
    const models = [model('a', {waiting: 3, idleMs: 0})];
    const busy = [runner({runnerId: 'r1', isBusy: true})];
    expect(planCopies({runners: busy, models, storeLoadsLeft: 4})).toEqual([]);
    const free = [runner({runnerId: 'r1'})];
    expect(planCopies({runners: free, models, storeLoadsLeft: 0})).toEqual([]);
  });

  it('does not relieve where answers come well in time', () => {
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

  it('never overfills a runner, nor gives it two orders, nor passes the rate', () => {
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
