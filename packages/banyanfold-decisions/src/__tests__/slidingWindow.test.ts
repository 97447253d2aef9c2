import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SlidingWindow} from '../usage/slidingWindow.js';

const WINDOW_MS = 8_000;

describe('SlidingWindow', () => {
  // Guards against a refund of use that a new lease holder doesn't know of,
  // which would free as much of the cap for other requests.
  it('subtracts no more than was added', () => {
    const window = new SlidingWindow(WINDOW_MS);
    window.add(3_000, 1_000);
    window.subtractAt(200_000, 1_000);
    expect(window.sum(1_000)).toBe(0);
    window.add(500, 2_000);
    expect(window.sum(2_000)).toBe(500);
    expect(window.sum(9_100)).toBe(500);
    const empty = new SlidingWindow(WINDOW_MS);
    empty.subtractAt(500, 1_000);
    expect(empty.sum(1_000)).toBe(0);
  });

  // Guards against refunded use that still counts, or counts as free, because
  // its report has arrived after the time at which it was charged.
  it('subtracts an amount that was added later than it was charged', () => {
    const window = new SlidingWindow(WINDOW_MS);
    window.add(400, 1_000);
    window.add(5_000, 1_600);
    window.subtractAt(5_000, 1_400);
    expect(window.sum(1_600)).toBe(400);
    expect(window.sum(9_300)).toBe(0);
    expect(window.sum(9_500)).toBe(0);
  });

  it('is never negative, and zero once all was subtracted', () => {
    const amount = fc.constantFrom(0, 1, 40, 9_190, 268_919, 2_000_000_000);
    const uses = fc.array(
      fc.record({
        amount,
        afterMs: fc.integer({min: 0, max: 400}),
        reportedAfterMs: fc.integer({min: 0, max: 900}),
        refundedAfterMs: fc.integer({min: 900, max: 3_000}),
      }),
      {maxLength: 30},
    );
    fc.assert(
      fc.property(uses, played => {
        const window = new SlidingWindow(WINDOW_MS);
        const events: Array<{atMs: number; run: () => void}> = [];
        let chargedMs = 0;
        for (const use of played) {
          chargedMs += use.afterMs;
          const atMs = chargedMs;
          const reportedMs = atMs + use.reportedAfterMs;
          events.push({
            atMs: reportedMs,
            run: () => window.add(use.amount, reportedMs),
          });
          events.push({
            atMs: atMs + use.refundedAfterMs,
            run: () => window.subtractAt(use.amount, atMs),
          });
        }
        events.sort((a, b) => a.atMs - b.atMs);
        let lastMs = 0;
        for (const {atMs, run} of events) {
          run();
          lastMs = atMs;
          expect(window.sum(atMs)).toBeGreaterThanOrEqual(0);
          expect(window.expiringPerSecond(atMs)).toBeGreaterThanOrEqual(0);
        }
        for (let atMs = lastMs; atMs < lastMs + WINDOW_MS; atMs += 250) {
          expect(window.sum(atMs)).toBeGreaterThanOrEqual(0);
        }
        expect(window.sum(lastMs + 2 * WINDOW_MS)).toBe(0);
      }),
      {numRuns: 500, seed: 87},
    );
  });
});
