import {MIN_RETRY_AFTER_MS} from '@banyanfold/decisions';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  chooseRetryAfterMs,
  formatRetryAfter,
  retryAfterPauseMs,
} from '../requests/retryAfter.js';

describe('chooseRetryAfterMs', () => {
  it.each([
    ['a distant deadline: the time that a copy takes', 12_000, 3_000],
    ['a near deadline: the longest accepted delay', 4_000, 1_280],
    ['hardly any time left: the shortest delay', 200, MIN_RETRY_AFTER_MS],
  ])('%s', (_what, leftMs, expected) => {
    expect(chooseRetryAfterMs(leftMs, () => 1)).toBeCloseTo(expected);
  });

  it('spreads retries within the accepted delay', () => {
    const shares = fc.double({min: 0, max: 1, noNaN: true});
    fc.assert(
      fc.property(
        fc.integer({min: 1_000, max: 60_000}),
        shares,
        (leftMs, share) => {
          const retryAfterMs = chooseRetryAfterMs(leftMs, () => share);
          expect(retryAfterMs).toBeLessThanOrEqual(leftMs / 3);
          expect(retryAfterMs).toBeGreaterThanOrEqual(
            Math.min(300, leftMs / 3),
          );
        },
      ),
    );
    const early = chooseRetryAfterMs(12_000, () => 0);
    expect(chooseRetryAfterMs(12_000, () => 1)).toBeCloseTo(early * 2);
  });
});

describe('retryAfterPauseMs', () => {
  it('is never shorter than the pause', () => {
    expect(retryAfterPauseMs(3_000, () => 0)).toBe(3_000);
    expect(retryAfterPauseMs(3_000, () => 1)).toBe(3_300);
    expect(retryAfterPauseMs(10, () => 0)).toBe(MIN_RETRY_AFTER_MS);
  });
});

describe('formatRetryAfter', () => {
  // Guards against a time before now on any way to a refusal.
  it.each([
    [2_870, '2.87'],
    [-1_830, '0.30'],
    [0, '0.30'],
    [NaN, '0.30'],
    [Infinity, '3600.00'],
  ])('formats %d ms as %s s', (retryAfterMs, expected) => {
    expect(formatRetryAfter(retryAfterMs)).toBe(expected);
  });
});
