import {describe, expect, it} from 'vitest';
import {LoadRate} from '../placement/loadRate.js';

describe('LoadRate', () => {
  it('allows the rate over a sliding window', () => {
    const rate = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) rate.record(i * 100);
    expect(rate.remaining(2, 1_000)).toBe(0);
    expect(rate.remaining(2, 5_050)).toBe(1);
  });

  it('goes on for the next holder with what the one before began', () => {
    // The weight store would slow all loads down: a holder begins as many as
    // are allowed and is replaced, and the next one, which has begun none, does
    // the same within the same window.
    const former = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) former.record(0);
    const next = new LoadRate(5_000, 0);
    next.restore(former.loadAgesMs(1_000), 70_000);
    expect(next.remaining(2, 70_100)).toBe(0);
    expect(next.remaining(2, 74_100)).toBe(10);
  });

  it('stays under the bound of the store through two starts within a window', () => {
    // The store would slow all loads down: a process is stopped and started and
    // holds the lease at once, with the loads of the one before still counting;
    // then that one too. Its bound: a tenth and three loads over the rate.
    for (const loadsPerSecond of [1.1, 2.1, 8]) {
      const begun = [0, 100, 200].map((startedMs, i) => {
        const rate = new LoadRate(5_000, i === 0 ? 0 : startedMs + 5_000);
        let count = 0;
        while (rate.remaining(loadsPerSecond, startedMs) > 0) {
          rate.record(startedMs);
          count += 1;
        }
        return count;
      });
      const total = begun.reduce((sum, count) => sum + count, 0);
      expect(begun[1]).toBeGreaterThan(0);
      expect(total).toBeLessThanOrEqual(loadsPerSecond * 5 * 1.1 + 3);
    }
  });

  it('begins at the full rate only once it has heard or the window is over', () => {
    const rate = new LoadRate(5_000, 5_000);
    expect(rate.remaining(2, 100)).toBe(2);
    rate.record(100);
    rate.record(100);
    expect(rate.remaining(2, 4_900)).toBe(0);
    expect(rate.remaining(2, 5_200)).toBe(10);
    const told = new LoadRate(5_000, 5_000);
    told.restore([1_000, 2_000], 100);
    expect(told.remaining(2, 200)).toBe(8);
  });
});
