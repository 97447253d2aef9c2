import {describe, expect, it} from 'vitest';
import {DemandMeter} from '../plugins/demandMeter.js';

describe('DemandMeter', () => {
  // An entry that starts to plan sees counters that have increased for days. If
  // it counted them as new, they would look like a burst and cause moves.
  it('measures no demand from the first snapshot of a source', () => {
    const meter = new DemandMeter(1_000);
    meter.endWindow(0);
    meter.recordMisses('entry-2', {'claims@1': 5_000});
    meter.endWindow(1_000);
    expect(meter.demandPerSecond('claims@1')).toBe(0);
    expect(meter.takeMisses().size).toBe(0);
  });

  it('converges to a steady rate and decays afterwards', () => {
    const meter = new DemandMeter(1_000);
    const rates: number[] = [];
    meter.endWindow(0);
    meter.recordMisses('entry-2', {});
    for (let second = 1; second <= 12; second++) {
      const count = Math.min(second, 6) * 10;
      meter.recordMisses('entry-2', {'claims@1': count});
      meter.endWindow(second * 1_000);
      meter.takeMisses();
      rates.push(Math.round(meter.demandPerSecond('claims@1') * 100) / 100);
    }
    expect(rates).toMatchInlineSnapshot(`
      [
        5,
        7.5,
        8.75,
        9.38,
        9.69,
        9.84,
        4.92,
        2.46,
        1.23,
        0.62,
        0.31,
        0.15,
      ]
    `);
  });

  // An entry that doesn't plan never reads its misses. If each window counted
  // them again, one refusal would look like permanent demand.
  it('counts a miss in one window, whether or not it is read', () => {
    const meter = new DemandMeter(1_000);
    meter.endWindow(0);
    meter.recordMisses('entry-1', {});
    meter.recordMisses('entry-1', {'claims@1': 8});
    for (let second = 1; second <= 4; second++) meter.endWindow(second * 1_000);
    expect(meter.demandPerSecond('claims@1')).toBe(0.5);
    expect(meter.takeMisses().get('claims@1')).toBe(8);
  });

  // The planner fetches its peers' misses after the end of a window, and reads
  // them for its decision before the end of the next one.
  it('includes misses in the rate when they are read before', () => {
    const meter = new DemandMeter(1_000);
    meter.endWindow(0);
    meter.recordMisses('entry-2', {});
    meter.recordMisses('entry-2', {'claims@1': 8});
    expect(meter.takeMisses().get('claims@1')).toBe(8);
    meter.endWindow(1_000);
    expect(meter.demandPerSecond('claims@1')).toBe(4);
  });

  it('counts from zero after a restart of the source', () => {
    const meter = new DemandMeter(1_000);
    meter.recordMisses('entry-2', {'claims@1': 50});
    meter.recordMisses('entry-2', {'claims@1': 3});
    expect(meter.takeMisses().get('claims@1')).toBe(3);
  });
});
