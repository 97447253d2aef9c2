import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {usageLimitOf} from '../usage/usageLimit.js';
import {randomOf} from './randomOf.js';
import {simulateFleet, type FleetOptions} from './simulateUsage.js';

const WINDOW_MS = 8_000;
const ENTRIES = 28;
/** What callers tolerate beyond the cap in any window. */
const TOLERANCE = {share: 0.1, tokens: 72_000};
/** Requests have 200 to 40,000 tokens, each order of size alike. */
const TOKENS = {least: 200, most: 40_000};
const MEAN_TOKENS =
  (TOKENS.most - TOKENS.least) / Math.log(TOKENS.most / TOKENS.least);

const anyOrganisation = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  ratePerSecond: fc.integer({min: 60_000, max: 180_000}),
  usualRatio: fc.double({min: 0.4, max: 0.6, noNaN: true}),
  skew: fc.constantFrom(0, 0.5, 1),
});

/** The ways of exchanging state; a relay sums up the reports of its group. */
const anyRelaying = fc.constantFrom({}, {relays: 3}, {isRelayed: true});

type Load = typeof anyOrganisation extends fc.Arbitrary<infer T> ? T : never;

function simulate(load: Load, overrides: Partial<FleetOptions>) {
  const {seed, ratePerSecond, usualRatio, skew} = load;
  return simulateFleet({
    entries: ENTRIES,
    limit: usageLimitOf({ratePerSecond, burst: ratePerSecond}, WINDOW_MS),
    meanTokens: MEAN_TOKENS,
    tokensOf: random => TOKENS.least * (TOKENS.most / TOKENS.least) ** random(),
    askedPerSecond: ratePerSecond * usualRatio,
    durationMs: 26_000,
    random: randomOf(seed),
    skew,
    ...overrides,
  });
}

/** Ten times the usual demand within a second, for 9 s, and back. */
const SURGE = {fromMs: 6_000, toMs: 15_000, factor: 10, rampMs: 1_000};

function expectWithinTolerance(
  {ratePerSecond}: Load,
  {overshoot}: {overshoot: number},
): void {
  const cap = {ratePerSecond, burst: ratePerSecond};
  const {perWindow} = usageLimitOf(cap, WINDOW_MS);
  const allowed = TOLERANCE.share + TOLERANCE.tokens / perWindow;
  expect(overshoot).toBeLessThanOrEqual(allowed);
}

describe('use of a cap over all entries in a surge', () => {
  // Guards against use that was admitted by what others left unused before.
  it('stays within the cap at ten times the usual demand', () => {
    fc.assert(
      fc.property(anyOrganisation, anyRelaying, (load, relaying) => {
        const outcome = simulate(load, {burst: SURGE, ...relaying});
        expectWithinTolerance(load, outcome);
      }),
      {numRuns: 60, seed: 13},
    );
  }, 120_000);

  // Guards against a surge of which nobody is told, as its holder is killed.
  it('stays within the cap when the holder ends in the surge', () => {
    const anySpan = fc.record({
      relays: fc.constantFrom(0, 3),
      fromMs: fc.integer({min: 600, max: 900}),
      forMs: fc.integer({min: 30, max: 230}),
    });
    fc.assert(
      fc.property(anyOrganisation, anySpan, (load, span) => {
        const fromMs = span.fromMs * 10;
        const takeover = {fromMs, toMs: fromMs + span.forMs * 10};
        const {relays} = span;
        const outcome = simulate(load, {burst: SURGE, relays, takeover});
        expectWithinTolerance(load, outcome);
      }),
      {numRuns: 60, seed: 14},
    );
  }, 120_000);

  // Guards against use that is freed twice: when it is refunded, and again when
  // its charge leaves the window before the refund does.
  it('stays within the cap when runners refuse the first requests', () => {
    const anyRefunds = fc.record({
      share: fc.double({min: 0.3, max: 0.9, noNaN: true}),
      afterMs: fc.integer({min: 500, max: 4_000}),
      toMs: fc.constant(SURGE.fromMs + 3_000),
    });
    fc.assert(
      fc.property(anyOrganisation, anyRefunds, (load, refunds) => {
        const outcome = simulate(load, {burst: SURGE, refunds});
        expectWithinTolerance(load, outcome);
      }),
      {numRuns: 60, seed: 15},
    );
  }, 120_000);

  // Guards against refusals because the demand of a moment looks like a surge.
  it('is rarely refused below the cap', () => {
    for (const relaying of [{}, {relays: 3}, {isRelayed: true}]) {
      const rates = [60_000, 100_000, 180_000];
      const seeds = Array.from({length: 16}, (_, i) => i + 1);
      const refusedShares = rates.flatMap(ratePerSecond =>
        seeds.map(seed => {
          const load: Load = {seed, ratePerSecond, usualRatio: 0.55, skew: 0};
          return simulate(load, relaying).falselyRefused;
        }),
      );
      const sum = refusedShares.reduce((total, share) => total + share, 0);
      expect(sum / refusedShares.length).toBeLessThan(0.01);
    }
  });
});
