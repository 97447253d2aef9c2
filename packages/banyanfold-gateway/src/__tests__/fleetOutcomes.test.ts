import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {FleetOutcomes} from '../placement/fleetOutcomes.js';
import {FleetView} from '../view/fleetView.js';

const RUNNERS = ['r1', 'r2', 'r3', 'r4', 'r5'];

let clock: VirtualClock;
let outcomes: FleetOutcomes;

beforeEach(() => {
  clock = new VirtualClock();
  const logger = new MemoryLogger();
  const view = new FleetView(clock, logger);
  for (const runnerId of RUNNERS) {
    view.onRegistration({
      runnerId,
      bornMs: 1,
      service: 'drafting',
      address: '10.0.0.1:80',
      failureDomain: 'hall-a',
      slots: 64,
      leaving: false,
      heartbeatNumber: 1,
    });
  }
  outcomes = new FleetOutcomes({clock, logger, view});
});

/**
 * Records reports of ten entries, each of which saw one response of every
 * runner.
 */
function recordEntries(failures: Readonly<Record<string, number>>): void {
  for (let entry = 0; entry < 10; entry++) {
    outcomes.record(
      RUNNERS.map(runnerId => {
        const failed = entry < (failures[runnerId] ?? 0) ? 1 : 0;
        return {
          runnerId,
          successes: 1 - failed,
          failures: failed,
        };
      }),
    );
  }
}

describe('FleetOutcomes', () => {
  // Guards against failed requests at a runner that no single entry can detect.
  it('ejects a failing runner based on one response at each entry', async () => {
    recordEntries({r2: 6});
    expect(outcomes.ejections()).toEqual({r2: 2_000});
    await clock.advance(1_500);
    expect(outcomes.ejections()).toEqual({r2: 500});
    await clock.advance(600);
    expect(outcomes.ejections()).toEqual({});
  });

  // Guards against ejecting the runners when a fault affects all of them.
  it('ejects no runner while all fail equally', () => {
    recordEntries(Object.fromEntries(RUNNERS.map(id => [id, 6])));
    expect(outcomes.ejections()).toEqual({});
  });

  it('ejects at most two of five runners', () => {
    recordEntries({r1: 9, r2: 8});
    expect(Object.keys(outcomes.ejections())).toEqual(['r1', 'r2']);
    recordEntries({r3: 9, r4: 9});
    expect(Object.keys(outcomes.ejections())).toHaveLength(2);
  });

  it('ignores outcomes that are some seconds old', async () => {
    recordEntries({r2: 6});
    await clock.advance(6_000);
    recordEntries({});
    expect(outcomes.ejections()).toEqual({});
  });
});
