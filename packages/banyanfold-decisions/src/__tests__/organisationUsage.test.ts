import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FleetUsage} from '../usage/fleetUsage.js';
import {OrganisationUsage} from '../usage/organisationUsage.js';
import {usageLimitOf} from '../usage/usageLimit.js';
import {SlidingWindow} from '../usage/slidingWindow.js';
import {
  EXCHANGE_MS,
  simulateFleet,
  type FleetOptions,
} from './simulateUsage.js';

const FOR_MS = 20_000;
const WINDOW_MS = 8_000;
/** By what a count over many entries may pass the cap, in a window. */
const TOLERANCE = {share: 0.1, tokens: 110_000};
const MEAN_TOKENS = 7_500;

/** Mulberry32, so that a seed plays the same load each time. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function play(
  ratePerSecond: number,
  askedOfCap: number,
  seed: number,
  more: Partial<FleetOptions> = {},
) {
  return simulateFleet({
    entries: 26,
    limit: usageLimitOf({ratePerSecond, burst: ratePerSecond}, WINDOW_MS),
    meanTokens: MEAN_TOKENS,
    askedPerSecond: ratePerSecond * askedOfCap,
    forMs: FOR_MS,
    random: randomOf(seed),
    ...more,
  });
}

/** The tolerance, as a share of the limit. */
function allowedOvershoot(ratePerSecond: number): number {
  const cap = {ratePerSecond, burst: ratePerSecond};
  return (
    TOLERANCE.share + TOLERANCE.tokens / usageLimitOf(cap, WINDOW_MS).perWindow
  );
}

const load = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  ratePerSecond: fc.integer({min: 29_000, max: 250_000}),
  askedOfCap: fc.double({min: 0.2, max: 4, noNaN: true}),
  entries: fc.constantFrom(3, 26, 730),
  skew: fc.constantFrom(0, 0.5, 1),
});

describe('the use of a cap over all entries', () => {
  it('stays within it, whatever is asked and wherever', () => {
    fc.assert(
      fc.property(load, ({seed, ratePerSecond, askedOfCap, ...rest}) => {
        const {overshoot} = play(ratePerSecond, askedOfCap, seed, rest);
        expect(overshoot).toBeLessThanOrEqual(allowedOvershoot(ratePerSecond));
      }),
      {numRuns: 60, seed: 7},
    );
  }, 120_000);

  // Guards against a burst that uses the cap up before all entries hear of it.
  it('stays within it when a burst begins, at entries behind relays', () => {
    const factor = fc.integer({min: 2, max: 7});
    fc.assert(
      fc.property(load, factor, ({seed, ratePerSecond, ...rest}, times) => {
        const {overshoot} = play(ratePerSecond, 0.55, seed, {
          entries: rest.entries,
          skew: rest.skew,
          burst: {fromMs: 10_000, factor: times},
          isRelayed: true,
        });
        expect(overshoot).toBeLessThanOrEqual(allowedOvershoot(ratePerSecond));
      }),
      {numRuns: 60, seed: 10},
    );
  }, 120_000);

  // Guards against entries that admit without bounds while no holder answers.
  it('stays within it while nothing is told', () => {
    fc.assert(
      fc.property(load, fc.nat({max: 8_000}), ({seed, ...at}, forMs) => {
        const {ratePerSecond, askedOfCap, ...rest} = at;
        const isCut = (_entry: number, nowMs: number) =>
          nowMs > 5_000 && nowMs < 5_000 + forMs;
        const outcome = play(ratePerSecond, askedOfCap, seed, {...rest, isCut});
        expect(outcome.overshoot).toBeLessThanOrEqual(
          allowedOvershoot(ratePerSecond),
        );
      }),
      {numRuns: 60, seed: 8},
    );
  }, 120_000);

  // Guards against a cap that begins anew with each process that does.
  it('loses no more than was not told when entries start anew, one each second', () => {
    fc.assert(
      fc.property(load, ({seed, ratePerSecond, askedOfCap, ...rest}) => {
        const restarts = (entry: number, nowMs: number) =>
          nowMs % 1_000 === 0 && entry === (nowMs / 1_000) % rest.entries;
        const outcome = play(ratePerSecond, askedOfCap, seed, {
          ...rest,
          restarts,
        });
        // Each entry starts anew so often within a window.
        const times = Math.ceil((WINDOW_MS / 1_000 + 1) / rest.entries);
        const askedPerSecond = ratePerSecond * askedOfCap;
        const cap = {ratePerSecond, burst: ratePerSecond};
        const lost =
          (times * askedPerSecond * EXCHANGE_MS) /
          1_000 /
          usageLimitOf(cap, WINDOW_MS).perWindow;
        expect(outcome.overshoot).toBeLessThanOrEqual(
          allowedOvershoot(ratePerSecond) + lost,
        );
      }),
      {numRuns: 60, seed: 9},
    );
  }, 120_000);

  it('is hardly refused below it', () => {
    // The mean of a few loads; each has bunches of requests that fill the burst.
    const seeds = [1, 2, 3, 4, 5, 6];
    const refused = [29_000, 100_000, 244_000].flatMap(rate =>
      seeds.map(seed => play(rate, 0.55, seed).falselyRefused),
    );
    const mean = refused.reduce((sum, share) => sum + share, 0);
    expect(mean / refused.length).toBeLessThan(0.01);
  });
});

describe('OrganisationUsage', () => {
  const limit = {ratePerSecond: 10_000, perWindow: 100_000};
  const view = {limit, nowMs: 0, random: () => 0.5};

  it('admits a request larger than the limit, and then waits it off', () => {
    const usage = new OrganisationUsage(true);
    usage.update({left: 100_000, freedPerSecond: 0, askedPerSecond: 0}, 0, 0);
    expect(usage.decide(150_000, view).kind).toBe('admit');
    // 40,000 tokens more than now are left so much later.
    expect(usage.decide(40_000, view)).toEqual({
      kind: 'refuse',
      left: -50_000,
      retryAfterMs: 9_000,
    });
  });

  // Guards against a caller that is refused below the cap for its own demand.
  it('admits all that is left where nobody else asks', () => {
    const atLimit = {ratePerSecond: 1e-6, perWindow: 2};
    const fleet = new FleetUsage({
      windowMs: WINDOW_MS,
      startMs: 0,
      limitOf: () => atLimit,
      initialUse: () => 0,
    });
    const usage = new OrganisationUsage(true);
    const decide = (nowMs: number) =>
      usage.decide(1, {limit: atLimit, nowMs, random: () => 0.99}).kind;
    expect(decide(0)).toBe('admit');
    usage.markReported(200);
    fleet.addReports([{organisation: 'claims', asked: 1, used: 1}], 203);
    usage.update(fleet.snapshot(203)['claims']!, 203, 0);
    expect(decide(210)).toBe('admit');
    expect(decide(220)).toBe('refuse');
  });

  it('takes back what was not run', () => {
    const usage = new OrganisationUsage(true);
    usage.update({left: 100_000, freedPerSecond: 0, askedPerSecond: 0}, 0, 0);
    usage.decide(95_000, view);
    expect(usage.decide(9_000, view).kind).toBe('refuse');
    usage.refund(95_000);
    expect(usage.decide(9_000, view).kind).toBe('admit');
  });

  it('goes on by the share that its callers had, once nothing is told', () => {
    const usage = new OrganisationUsage(true);
    usage.update(
      {left: -500_000, freedPerSecond: 10_000, askedPerSecond: 40_000},
      0,
      0,
    );
    // A quarter of what callers ask for all over is within the rate.
    const late = {limit, nowMs: 10_000};
    const decide = (random: number) =>
      usage.decide(1, {...late, random: () => random}).kind;
    expect(decide(0.2)).toBe('admit');
    expect(decide(0.3)).toBe('refuse');
  });
});

describe('SlidingWindow', () => {
  it('forgets amounts, whole or spread, once its length has passed', () => {
    const window = new SlidingWindow(8_000);
    window.addEvenly(3_200, 0);
    window.add(500, 1_000);
    const sums = [1_000, 4_000, 8_000, 9_000, 9_500, 60_000].map(nowMs =>
      window.sum(nowMs),
    );
    expect(sums).toMatchInlineSnapshot(`
      [
        3400,
        2200,
        600,
        500,
        0,
        0,
      ]
    `);
  });
});
