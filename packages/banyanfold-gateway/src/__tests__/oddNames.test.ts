import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {exchangeInputSchema} from '../peers/peerContract.js';
import {sumByKey} from '../peers/relay.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {EntryLoads, type EntryLoad} from '../placement/entryLoads.js';

const OWN = '10.1.0.38:7380';
/** Properties that each object inherits. */
const ODD_NAMES = ['constructor', 'toString', '__proto__', 'hasOwnProperty'];

function record(name: string, value: number): Record<string, number> {
  return JSON.parse(JSON.stringify({x: value}).replace('x', name)) as Record<
    string,
    number
  >;
}

/** What a peer reads of it. */
function received<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

function loadWith(fields: Partial<EntryLoad>): EntryLoad {
  return {
    members: [],
    openWork: {},
    adaptersInUse: {},
    modelsInUse: {},
    waiting: {},
    poolBacklogs: undefined,
    ...fields,
  };
}

// Guards against an entry that reaches no holder any more, after one caller has
// named an adapter or a model like a property that each object inherits: the
// count became a text, and each message with it is refused.
describe.each(ODD_NAMES)('counts by the name %s', name => {
  it('of adapters are numbers in the demand that is sent', () => {
    const meter = new DemandMeter();
    const arrival = {
      model: 'm1',
      adapter: name,
      urgency: 1,
      promptTokens: 2,
      maxOutputTokens: 3,
    };
    meter.recordArrival(arrival);
    meter.recordArrival(arrival);
    const other = new DemandMeter();
    other.add(meter.take());
    const demand = received(other.take());
    expect(Object.entries(demand[0]!.adapters)).toEqual([[name, 2]]);
    const input = {
      ...loadWith({}),
      entry: OWN,
      configVersion: 1,
      runnersChange: 0,
      batch: {batchId: 'b', demand},
    };
    expect(exchangeInputSchema.safeParse(input).success).toBe(true);
  });

  it('of waiting requests and open work are summed', () => {
    const clock = new VirtualClock();
    const loads = new EntryLoads();
    for (const entry of ['a', 'b']) {
      const counts = record(name, 2);
      loads.record(
        entry,
        loadWith({openWork: counts, waiting: counts, modelsInUse: {i: counts}}),
        clock.nowMs(),
      );
    }
    const sum = received(loads.sum(clock.nowMs()));
    const expected = [[name, 4]];
    expect(Object.entries(sum.waiting)).toEqual(expected);
    expect(Object.entries(sum.openWork)).toEqual(expected);
    expect(Object.entries(sum.modelsInUse['i']!)).toEqual(expected);
    const others = loads.openWorkExcept('c', clock.nowMs());
    expect(Object.entries(received(others))).toEqual(expected);
  });

  it('are summed key by key', () => {
    const sum = received(sumByKey({'i-1': 1}, record(name, 2)));
    expect(Object.entries(sum)).toEqual([
      ['i-1', 1],
      [name, 2],
    ]);
  });
});
