import {describe, expect, it} from 'vitest';
import {LoadRate} from '../placement/loadRate.js';

describe('LoadRate', () => {
  it('allows the rate over a sliding window', () => {
    const rate = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) rate.record(i * 100);
    expect(rate.remaining(2, 1_000)).toBe(0);
    expect(rate.remaining(2, 5_050)).toBe(1);
  });

  it('counts the loads of the previous holder for the next one', () => {
    // Guards against slowing down all loads from the weight store: a holder
    // starts as many loads as are allowed and is replaced, and the next holder,
    // which has started none, does the same within the same window.
    const previous = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) previous.record(0);
    const next = new LoadRate(5_000, 0);
    next.restore(previous.loadAgesMs(1_000), 70_000);
    expect(next.remaining(2, 70_100)).toBe(0);
    expect(next.remaining(2, 74_100)).toBe(10);
  });

  it('stays below the bound of the store over two restarts within a window', () => {
    // Guards against slowing down all loads from the weight store: a process is
    // restarted twice within a window and holds the lease at once each time,
    // while the earlier loads still count. The bound of the store is 1.1 times
    // the rate plus three loads.
    for (const loadsPerSecond of [1.1, 2.1, 8]) {
      const started = [0, 100, 200].map((startedMs, i) => {
        const rate = new LoadRate(5_000, i === 0 ? 0 : startedMs + 5_000);
        let count = 0;
        while (rate.remaining(loadsPerSecond, startedMs) > 0) {
          rate.record(startedMs);
          count += 1;
        }
        return count;
      });
      const total = started.reduce((sum, count) => sum + count, 0);
      expect(started[1]).toBeGreaterThan(0);
      expect(total).toBeLessThanOrEqual(loadsPerSecond * 5 * 1.1 + 3);
    }
  });

  it('allows the full rate only after a sync or a full window', () => {
    const rate = new LoadRate(5_000, 5_000);
    expect(rate.remaining(2, 100)).toBe(2);
    rate.record(100);
    rate.record(100);
    expect(rate.remaining(2, 4_900)).toBe(0);
    expect(rate.remaining(2, 5_200)).toBe(10);
    const synced = new LoadRate(5_000, 5_000);
    synced.restore([1_000, 2_000], 100);
    expect(synced.remaining(2, 200)).toBe(8);
  });
});
