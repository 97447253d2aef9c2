import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {HolderSpeeds} from '../placement/holderSpeeds.js';
import {RunnerCapacities} from '../runners/runnerCapacities.js';

const START = {runnerId: 'r1', bornMs: 5};
const IDLE = {running: 0, waiting: 0, slots: 6};
const SLOW = {...IDLE, durationPercent: 200};
const USUAL = {...IDLE, durationPercent: 100};

let clock: VirtualClock;
let metrics: Metrics;
let bornMs: number;
let capacities: RunnerCapacities;

beforeEach(() => {
  clock = new VirtualClock();
  metrics = new Metrics();
  bornMs = START.bornMs;
  capacities = new RunnerCapacities({
    clock,
    logger: new MemoryLogger(),
    metrics,
    currentStart: runnerId => ({runnerId, bornMs}),
  });
});

function speed(): number {
  return capacities.speed('r1');
}

describe('RunnerCapacities', () => {
  it('changes nothing for a runner that reports no duration', () => {
    capacities.record(START, IDLE);
    expect(speed()).toBe(1);
    expect(capacities.takeReports()).toEqual([]);
  });

  it('smooths a figure that changes often, within bounds', async () => {
    for (let i = 0; i < 40; i++) {
      capacities.record(START, i % 2 ? SLOW : USUAL);
      await clock.advance(50);
    }
    expect(speed()).toBeGreaterThan(0.6);
    expect(speed()).toBeLessThan(0.9);
    capacities.handleRestart('r1');
    capacities.record(START, {...IDLE, durationPercent: 1});
    expect(speed()).toBe(3);
    capacities.handleRestart('r1');
    capacities.record(START, {...IDLE, durationPercent: 1e6});
    expect(speed()).toBe(0.1);
  });

  // Guards against the speed of a machine that the runner has left.
  it('ignores and counts a response of an earlier start', () => {
    bornMs = START.bornMs + 1;
    capacities.record(START, SLOW);
    expect(speed()).toBe(1);
    expect(metrics.render()).toContain(
      'runner_loads_invalid_total{reason="earlier-start"} 1',
    );
  });

  // Guards against a partitioned entry that keeps a speed for good.
  it('uses own samples without a holder, for a limited time', async () => {
    capacities.record(START, SLOW);
    await clock.advance(2_000);
    expect(speed()).toBe(0.5);
    await clock.advance(1_000);
    expect(speed()).toBeGreaterThan(0.75);
    await clock.advance(10_000);
    expect(speed()).toBeCloseTo(1);
  });

  it('uses the speed that the holder sent while it is valid', async () => {
    capacities.record(START, USUAL);
    capacities.applyFleetSpeeds({r1: [0.5, 300]}, 200);
    expect(speed()).toBe(0.5);
    await clock.advance(1_600);
    expect(speed()).toBe(1);
  });

  // Guards against a frozen entry that reports samples from before.
  it('reports samples once, and none that are old', async () => {
    capacities.record(START, SLOW);
    capacities.record(START, USUAL);
    const report = {runnerId: 'r1', speed: 0.75, samples: 2};
    expect(capacities.takeReports()).toEqual([report]);
    expect(capacities.takeReports()).toEqual([]);
    capacities.record(START, SLOW);
    capacities.addRelayed([{runnerId: 'r2', speed: 0.5, samples: 3}]);
    await clock.advance(2_001);
    expect(capacities.takeReports()).toEqual([]);
  });

  it('adds the samples of the entries that it relays for', () => {
    capacities.record(START, USUAL);
    capacities.addRelayed([{runnerId: 'r1', speed: 0.5, samples: 3}]);
    const [report] = capacities.takeReports();
    expect(report).toEqual({runnerId: 'r1', speed: 0.63, samples: 4});
  });
});

describe('HolderSpeeds', () => {
  it('weights by samples, and sends only speeds that are not usual', () => {
    const speeds = new HolderSpeeds();
    speeds.record([{runnerId: 'r1', speed: 0.5, samples: 3}], 0);
    speeds.record([{runnerId: 'r1', speed: 0.9, samples: 1}], 0);
    speeds.record([{runnerId: 'r2', speed: 0.95, samples: 9}], 0);
    expect(speeds.snapshot(100)).toEqual({r1: [0.6, 100]});
  });

  it('forgets a speed without samples for two seconds', () => {
    const speeds = new HolderSpeeds();
    speeds.record([{runnerId: 'r1', speed: 0.5, samples: 3}], 0);
    expect(speeds.speed('r1', 2_000)).toBe(0.5);
    expect(speeds.speed('r1', 2_001)).toBe(1);
    expect(speeds.snapshot(2_001)).toEqual({});
  });

  // The bound of the page: 2,000 rows of some 20 bytes.
  it('sends at most 2,000 rows', () => {
    const speeds = new HolderSpeeds();
    for (let i = 0; i < 2_500; i++) {
      speeds.record([{runnerId: `r${i}`, speed: 0.5, samples: 1}], 0);
    }
    expect(Object.keys(speeds.snapshot(0))).toHaveLength(2_000);
  });
});
