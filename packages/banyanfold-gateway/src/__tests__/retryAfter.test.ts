import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  chooseRetryAfterMs,
  MIN_RETRY_AFTER_MS,
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
