import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ALL_ANSWERS,
  ALL_COUNTS,
  ALL_SPLITS,
  simulateRetries,
  type Answer,
  type Count,
  type RetryPlay,
  type Split,
} from './retryFleet.js';

const RUNS_PER_FLEET = 40;

const playOf = (entries: number): fc.Arbitrary<RetryPlay> =>
  fc.record({
    entries: fc.constant(entries),
    retrySlack: fc.constantFrom(52, 96, 176),
    count: fc.constantFrom<Count>(...ALL_COUNTS),
    answer: fc.constantFrom<Answer>(...ALL_ANSWERS),
    split: fc.constantFrom<Split>(...ALL_SPLITS),
    phases: fc.array(
      fc.record({
        requestsPerSecond: fc.constantFrom(0, 5, 60, 180, 600, 1_500),
        lastsMs: fc.integer({min: 200, max: 15_000}),
      }),
      {minLength: 1, maxLength: 4},
    ),
    rejectingFromMs: fc.integer({min: 0, max: 15_000}),
    rejectedShare: fc.constantFrom(0.1, 0.5, 1, 1),
    rejections: fc.integer({min: 1, max: 6}),
    waitMs: fc.constantFrom(0, 0, 500, 5_000, 12_000),
    restarts: fc.array(
      fc.record({
        atMs: fc.integer({min: 0, max: 30_000}),
        share: fc.constantFrom(0.1, 0.5, 1),
      }),
      {maxLength: 8},
    ),
    holderChangesMs: fc.array(fc.integer({min: 0, max: 30_000}), {
      maxLength: 4,
    }),
    seed: fc.integer(),
  });

describe('retries over all entries', () => {
  // Guards against permits of many entries that add up to more than allowed.
  it.each([6, 28, 70, 100, 300, 730])(
    'keep to what the deployment allows: %i entries',
    async entries => {
      await fc.assert(
        fc.asyncProperty(playOf(entries), async play => {
          const {mostExcess} = await simulateRetries(play);
          expect(mostExcess).toBeLessThanOrEqual(0);
        }),
        {numRuns: RUNS_PER_FLEET, seed: 68},
      );
    },
  );

  // Guards against holders that each grant the slack within one window.
  it.each([6, 70, 730])(
    'keep to it while holders follow each other: %i entries',
    async entries => {
      const changes = fc
        .array(fc.integer({min: 500, max: 4_000}), {
          minLength: 2,
          maxLength: 6,
        })
        .map(pauses => pauses.map((_, i) => sumOf(pauses.slice(0, i + 1))));
      const play = fc.record({
        holderChangesMs: changes,
        requestsPerSecond: fc.constantFrom(20, 60, 180),
        seed: fc.integer(),
      });
      await fc.assert(
        fc.asyncProperty(play, async drawn => {
          const {mostExcess} = await simulateRetries({
            entries,
            retrySlack: 96,
            count: 'right',
            answer: 'atOnce',
            split: 'even',
            phases: [
              {requestsPerSecond: drawn.requestsPerSecond, lastsMs: 20_000},
            ],
            rejectingFromMs: 0,
            rejectedShare: 1,
            rejections: 6,
            waitMs: 0,
            restarts: [],
            holderChangesMs: drawn.holderChangesMs,
            seed: drawn.seed,
          });
          expect(mostExcess).toBeLessThanOrEqual(0);
        }),
        {numRuns: RUNS_PER_FLEET, seed: 72},
      );
    },
  );
});

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
