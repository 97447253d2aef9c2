import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  decidePromptWindow,
  DEFAULT_PROMPT_WINDOW_OPTIONS,
} from '../decidePromptWindow.js';

const TARGET_MS = 150;

describe('decidePromptWindow', () => {
  it.each([
    ['shrinks after a pause too long', 4, 151, 3.6],
    ['grows after one in time', 4, 150, 4.03],
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

  it('keeps the streams of a runner in time under prompts that come in bursts', () => {
    // Load: 12 prompts of 540 tokens at once, twice a second, at a runner that
    // reads 38 tokens a ms while its streams stand still, and whose streams may
    // pause for 150 ms. Sent together, each burst holds all streams up for 170 ms.
    // With the window they go on between the prompts, and all are read in time.
    expect(burstsInTime(Number.POSITIVE_INFINITY)).toBe(0);
    expect(burstsInTime(undefined)).toBeGreaterThan(35);
  });
});

/** Of 40 bursts those whose pause was in time; a fixed window, or the decided one. */
function burstsInTime(fixed: number | undefined): number {
  const PROMPTS = 12;
  const READ_MS = 540 / 38;
  let window = 4;
  let inTime = 0;
  for (let burst = 0; burst < 40; burst++) {
    const together = Math.min(PROMPTS, Math.floor(fixed ?? window));
    const longestPauseMs = together * READ_MS;
    if (longestPauseMs <= TARGET_MS) inTime += 1;
    for (let stream = 0; stream < PROMPTS; stream++) {
      const pace = {longestPauseMs, pauseTargetMs: TARGET_MS};
      window = decidePromptWindow(window, pace);
    }
  }
  return inTime;
}
