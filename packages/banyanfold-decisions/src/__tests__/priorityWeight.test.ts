import {describe, expect, it} from 'vitest';
import {planCopies, type CopyModel} from '../planCopies.js';
import {priorityWeight} from '../priorityWeight.js';

describe('priorityWeight', () => {
  it.each([
    ['the least urgent', 2, 2, 1],
    ['one step more', 1, 2, 1.5],
    ['the most urgent', 0, 2, 2],
    ['a priority below the lowest', 5, 2, 1],
  ])('%s', (_what, priority, leastUrgent, expected) => {
    expect(priorityWeight(priority, leastUrgent)).toBe(expected);
  });

  it('keeps the last copy of a model of urgent callers', () => {
    // Guards against two models that replace each other in turn: as many
    // callers request a model without a copy as one with its only copy, and
    // there is memory for one.
    const model = (name: string, priority: number): CopyModel => {
      const requestsPerSecond = 4 * priorityWeight(priority, 2);
      const fields = {workPerSecond: 4, idleMs: 0, waiting: 0};
      const loads = {storeLoadMs: 500, weightsMb: 70};
      return {name, requestsPerSecond, ...fields, ...loads};
    };
    const ordersFor = (heldPriority: number, absentPriority: number) =>
      planCopies({
        runners: [
          {
            runnerId: 'r1',
            failureDomain: 'hall-a',
            weightsMb: 100,
            reservedMb: 0,
            models: ['held'],
            isBusy: false,
            inUse: {},
            inMemory: [],
            onDisk: [],
          },
        ],
        models: [model('held', heldPriority), model('absent', absentPriority)],
        storeLoadsLeft: 1,
      });
    expect(ordersFor(0, 2)).toEqual([]);
    expect(ordersFor(2, 0)).toMatchObject([{kind: 'unload', model: 'held'}]);
  });
});
