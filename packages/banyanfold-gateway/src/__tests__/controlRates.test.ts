import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {urgentIntervalMs} from '../peers/urgentIntervalMs.js';
import {dueReports} from '../placement/dueReports.js';
import {leaseTtlMs} from '../placement/leaseTtlMs.js';

const OPTIONS = {tickMs: 50, intervalMs: 500, awaitedIntervalMs: 120};

/** Simulates polling and returns the number of reports requested by runner. */
function simulatePolling(
  runners: number,
  perSecond: number,
  forMs: number,
): number[] {
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
  it('polls each of a few runners at the interval', () => {
    expect(simulatePolling(6, 50, 5_000)).toEqual([10, 10, 10, 10, 10, 10]);
  });

  it('keeps to the rate with many runners and polls them evenly', () => {
    // A VM with 0.12 cores may have 26 runners. When all were queried at once
    // twice a second, all other work was delayed, including the renewals of the
    // lease.
    const counts = simulatePolling(26, 20, 10_400);
    const total = counts.reduce((sum, count) => sum + count, 0);
    expect(total).toBeLessThanOrEqual(20 * 10.4 + 1);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
  });

  it('polls at once when an order should be complete', () => {
    const states = [
      {key: 'done', lastRequestedMs: 800, isAwaited: true},
      {key: 'idle', lastRequestedMs: 800, isAwaited: false},
    ];
    const due = dueReports(states, 950, {...OPTIONS, perSecond: 1});
    expect(due).toEqual(['done']);
  });
});

describe('urgentIntervalMs', () => {
  it('keeps the total request rate of all entries about constant', () => {
    expect(urgentIntervalMs(3, DEFAULT_OPTIONS)).toBe(60);
    expect(urgentIntervalMs(16, DEFAULT_OPTIONS)).toBe(120);
    expect(urgentIntervalMs(730, DEFAULT_OPTIONS)).toBe(250);
  });
});

describe('leaseTtlMs', () => {
  it('is longer on a small VM, up to a maximum', () => {
    expect(leaseTtlMs(1.35, 1_000)).toBe(1_000);
    expect(leaseTtlMs(0.513, 1_000)).toBe(1_000);
    expect(leaseTtlMs(0.25, 1_000)).toBe(2_000);
    expect(leaseTtlMs(0.1, 1_000)).toBe(2_000);
    expect(leaseTtlMs(1.35, 1_500)).toBe(1_500);
  });
});
