import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {exchangeInputSchema} from '../peers/peerContract.js';
import {sumByKey} from '../peers/relay.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {EntryLoads, type EntryLoad} from '../placement/entryLoads.js';
import {RunnerStates} from '../runners/runnerStates.js';

const demandSchema = exchangeInputSchema.shape.batch.shape.demand;
const countsSchema = exchangeInputSchema.shape.waiting;

/** Names that objects inherit, and ordinary ones. */
const NAMES = ['constructor', 'toString', 'hasOwnProperty', 'm1'];

/** What a peer gets of a message. */
const sent = (message: unknown): unknown => JSON.parse(JSON.stringify(message));

// Guards against a name that objects inherit: its count would be a text, the
// holder would reject the message, and the entry would send it forever.
describe.each(NAMES)('the name %s', name => {
  it('is counted as an adapter', () => {
    const meter = new DemandMeter();
    const arrival = {
      model: name,
      adapter: name,
      promptTokens: 10,
      maxOutputTokens: 2,
      urgency: 1,
    };
    meter.recordArrival(arrival);
    meter.recordArrival(arrival);
    const relay = new DemandMeter();
    relay.add(demandSchema.parse(sent(meter.take())));
    relay.add(demandSchema.parse(sent([])));
    const [demand] = demandSchema.parse(sent(relay.take()));
    expect(demand).toMatchObject({model: name, arrivals: 2, promptTokens: 20});
    expect(Object.entries(demand!.adapters)).toEqual([[name, 2]]);
  });

  it('is counted as a model that requests wait for', () => {
    const meter = new DemandMeter();
    meter.trackWaiting(name);
    const loads = new EntryLoads();
    const waiting = countsSchema.parse(sent(meter.waitingCounts()));
    for (const address of ['a', 'b']) {
      const load: EntryLoad = {
        members: [{address, failureDomain: 'hall', processorShare: 1}],
        openWork: {},
        adaptersInUse: {},
        modelsInUse: {i1: countsSchema.parse(sent(meter.waitingCounts()))},
        waiting,
      };
      loads.record(address, load, 0);
    }
    const {waiting: sum, modelsInUse} = loads.sum(0);
    expect(Object.entries(countsSchema.parse(sent(sum)))).toEqual([[name, 2]]);
    const inUse = countsSchema.parse(sent(modelsInUse['i1']));
    expect(Object.entries(inUse)).toEqual([[name, 2]]);
    expect(loads.waitingRequests(name, 0)).toBe(2);
    expect(loads.waitingRequests('valueOf', 0)).toBe(0);
  });

  it('is counted as a runner', () => {
    const clock = new VirtualClock();
    const states = new RunnerStates(clock, new MemoryLogger(), DEFAULT_OPTIONS);
    const work = {prefill: 1, decode: 0};
    states.recordStart(name, 'desk', {work, model: 'm1', adapter: 'm1/a1'});
    const loads = new EntryLoads();
    const idle = {
      openWork: {},
      adaptersInUse: {},
      modelsInUse: {},
      waiting: {},
    };
    loads.record('a', {...idle, members: []}, 0);
    expect(loads.isAdapterInUse(name, 'm1/a1', 0)).toBe(false);
    expect(loads.modelsInUse(name, 0)).toEqual({});
    loads.record(
      'b',
      {
        ...idle,
        members: [],
        openWork: states.ownOpenWork(),
        modelsInUse: states.ownModelsInUse(),
        adaptersInUse: states.ownAdaptersInUse(),
      },
      0,
    );
    expect(loads.isAdapterInUse(name, 'm1/a1', 0)).toBe(true);
    states.setPeersWork({}, {});
    expect(states.openWork(name)).toBe(1);
    expect(states.openRequests(name)).toBe(1);
    expect(sumByKey(loads.openWorkExcept('a', 0), {})).toEqual({[name]: 1});
  });
});

// Guards against a name that a message can't hold, and that takes the others
// with it.
it('counts ordinary names beside __proto__', () => {
  const meter = new DemandMeter();
  for (const adapter of ['__proto__', 'a1']) {
    const tokens = {promptTokens: 10, maxOutputTokens: 2};
    meter.recordArrival({model: 'm1', adapter, urgency: 1, ...tokens});
  }
  meter.trackWaiting('__proto__');
  meter.trackWaiting('m1');
  const [demand] = demandSchema.parse(sent(meter.take()));
  expect(demand).toMatchObject({arrivals: 2, adapters: {a1: 1}});
  const waiting = countsSchema.parse(sent(meter.waitingCounts()));
  expect(waiting['m1']).toBe(1);
  expect(Object.prototype).toEqual({});
});
