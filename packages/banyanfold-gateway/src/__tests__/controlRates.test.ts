import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {urgentIntervalMs} from '../peers/urgentIntervalMs.js';
import {dueReports} from '../placement/dueReports.js';
import {leaseTtlMs} from '../placement/leaseTtlMs.js';

const OPTIONS = {tickMs: 50, intervalMs: 500, awaitedIntervalMs: 120};

/** Reports asked for over some seconds, by runner. */
function play(runners: number, perSecond: number, forMs: number): number[] {
  const lastRequestedMs = new Map<number, number>();
  const counts = Array.from({length: runners}, () => 0);
  for (let nowMs = 0; nowMs < forMs; nowMs += OPTIONS.tickMs) {
    const states = counts.map((_count, key) => ({
      key,
      lastRequestedMs: lastRequestedMs.get(key),
      isAwaited: false,
    }));
    for (const key of dueReports(states, nowMs, {...OPTIONS, perSecond})) {
      lastRequestedMs.set(key, nowMs);
      counts[key]! += 1;
    }
  }
  return counts;
}

describe('dueReports', () => {
  it('asks each of a few runners at the interval', () => {
    expect(play(6, 50, 5_000)).toEqual([10, 10, 10, 10, 10, 10]);
  });

  it('keeps to the rate with many runners, and asks all alike', () => {
    // Load: a VM with 0.12 cores has 26 runners. Asked all at once twice a
    // second, they kept it from all else for a while, and renewals of its lease waited.
    const counts = play(26, 20, 10_400);
    const total = counts.reduce((sum, count) => sum + count, 0);
    expect(total).toBeLessThanOrEqual(20 * 10.4 + 1);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
  });

  it('asks at once where an order is to be over', () => {
    const states = [
      {key: 'done', lastRequestedMs: 800, isAwaited: true},
      {key: 'idle', lastRequestedMs: 800, isAwaited: false},
    ];
    const due = dueReports(states, 950, {...OPTIONS, perSecond: 1});
    expect(due).toEqual(['done']);
  });
});

describe('urgentIntervalMs', () => {
  it('lets all entries together ask about as often, however many', () => {
    expect(urgentIntervalMs(3, DEFAULT_OPTIONS)).toBe(60);
    expect(urgentIntervalMs(16, DEFAULT_OPTIONS)).toBe(120);
    expect(urgentIntervalMs(730, DEFAULT_OPTIONS)).toBe(250);
  });
});

describe('leaseTtlMs', () => {
  it('gives a small VM longer, within what callers of adapters bear', () => {
    expect(leaseTtlMs(1.35, 1_000)).toBe(1_000);
    expect(leaseTtlMs(0.513, 1_000)).toBe(1_000);
    expect(leaseTtlMs(0.25, 1_000)).toBe(2_000);
    expect(leaseTtlMs(0.1, 1_000)).toBe(2_000);
    expect(leaseTtlMs(1.35, 1_500)).toBe(1_500);
  });
});
