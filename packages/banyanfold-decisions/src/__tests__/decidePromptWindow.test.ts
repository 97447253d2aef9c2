import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  decidePromptWindow,
  DEFAULT_PROMPT_WINDOW_OPTIONS,
} from '../decidePromptWindow.js';

const TARGET_MS = 150;

describe('decidePromptWindow', () => {
  it.each([
    ['shrinks after too long a pause', 4, 151, 3.6],
    ['grows after a pause in time', 4, 150, 4.03],
    ['always lets one prompt through', 1, 900, 1],
    ['stays bounded', 64, 10, 64],
  ])('%s', (_what, window, longestPauseMs, expected) => {
    const pace = {longestPauseMs, pauseTargetMs: TARGET_MS};
    expect(decidePromptWindow(window, pace)).toBeCloseTo(expected);
  });

  it('never leaves its bounds', () => {
    const pauses = fc.array(fc.integer({min: 0, max: 1_000}));
    fc.assert(
      fc.property(pauses, longest => {
        const {min, max} = DEFAULT_PROMPT_WINDOW_OPTIONS;
        let window = 4;
        for (const longestPauseMs of longest) {
          const pace = {longestPauseMs, pauseTargetMs: TARGET_MS};
          window = decidePromptWindow(window, pace);
          expect(window).toBeGreaterThanOrEqual(min);
          expect(window).toBeLessThanOrEqual(max);
        }
      }),
    );
  });

  it('keeps streams in time while prompts arrive in bursts', () => {
    // 12 prompts of 540 tokens arrive at once, twice per second, at a runner
    // that reads 38 tokens per ms while its streams pause; their pause target
    // is 150 ms. Sent together, each burst delays all streams by 170 ms. With
    // the window they continue between the prompts, and all are read in time.
    expect(countBurstsInTime(Number.POSITIVE_INFINITY)).toBe(0);
    expect(countBurstsInTime(undefined)).toBeGreaterThan(35);
  });
});

/**
 * Counts those of 40 bursts whose pause was in time, with a fixed window or the
 * decided one.
 */
function countBurstsInTime(fixedWindow: number | undefined): number {
  const PROMPTS = 12;
  const READ_MS = 540 / 38;
  let window = 4;
  let inTime = 0;
  for (let burst = 0; burst < 40; burst++) {
    const sentTogether = Math.min(PROMPTS, Math.floor(fixedWindow ?? window));
    const longestPauseMs = sentTogether * READ_MS;
    if (longestPauseMs <= TARGET_MS) inTime += 1;
    for (let stream = 0; stream < PROMPTS; stream++) {
      const pace = {longestPauseMs, pauseTargetMs: TARGET_MS};
      window = decidePromptWindow(window, pace);
    }
  }
  return inTime;
}
