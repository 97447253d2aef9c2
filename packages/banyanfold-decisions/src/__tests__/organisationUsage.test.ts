import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FleetUsage} from '../usage/fleetUsage.js';
import {MIN_RETRY_AFTER_MS} from '../options.js';
import {OrganisationUsage} from '../usage/organisationUsage.js';
import {usageLimitOf} from '../usage/usageLimit.js';
import {SlidingWindow} from '../usage/slidingWindow.js';
import {randomOf} from './randomOf.js';
import {
  EXCHANGE_MS,
  simulateFleet,
  type FleetOptions,
} from './simulateUsage.js';

const DURATION_MS = 20_000;
const WINDOW_MS = 8_000;
/**
 * Amount by which the use counted over many entries may exceed the cap in a
 * window.
 */
const TOLERANCE = {share: 0.1, tokens: 110_000};
const MEAN_TOKENS = 7_500;

function simulate(
  ratePerSecond: number,
  demandRatio: number,
  seed: number,
  overrides: Partial<FleetOptions> = {},
) {
  return simulateFleet({
    entries: 26,
    limit: usageLimitOf({ratePerSecond, burst: ratePerSecond}, WINDOW_MS),
    meanTokens: MEAN_TOKENS,
    askedPerSecond: ratePerSecond * demandRatio,
    durationMs: DURATION_MS,
    random: randomOf(seed),
    ...overrides,
  });
}

/** The tolerance, as a share of the limit. */
function allowedOvershoot(ratePerSecond: number): number {
  const cap = {ratePerSecond, burst: ratePerSecond};
  return (
    TOLERANCE.share + TOLERANCE.tokens / usageLimitOf(cap, WINDOW_MS).perWindow
  );
}

const anyLoad = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  ratePerSecond: fc.integer({min: 29_000, max: 250_000}),
  demandRatio: fc.double({min: 0.2, max: 4, noNaN: true}),
  entries: fc.constantFrom(3, 26, 730),
  skew: fc.constantFrom(0, 0.5, 1),
});

describe('use of a cap over all entries', () => {
  it('stays within the cap for any demand at any entry', () => {
    fc.assert(
      fc.property(anyLoad, ({seed, ratePerSecond, demandRatio, ...rest}) => {
        const {overshoot} = simulate(ratePerSecond, demandRatio, seed, rest);
        expect(overshoot).toBeLessThanOrEqual(allowedOvershoot(ratePerSecond));
      }),
      {numRuns: 60, seed: 7},
    );
  }, 120_000);

  // Guards against a burst that uses up the cap before all entries learn of it.
  it('stays within the cap when a burst begins, at entries behind relays', () => {
    const factor = fc.integer({min: 2, max: 7});
    fc.assert(
      fc.property(anyLoad, factor, ({seed, ratePerSecond, ...rest}, times) => {
        const {overshoot} = simulate(ratePerSecond, 0.55, seed, {
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

  // Guards against entries that admit without limit while no holder answers.
  it('stays within the cap while entries receive no snapshots', () => {
    fc.assert(
      fc.property(anyLoad, fc.nat({max: 8_000}), ({seed, ...at}, cutMs) => {
        const {ratePerSecond, demandRatio, ...rest} = at;
        const isDisconnected = (_entry: number, nowMs: number) =>
          nowMs > 5_000 && nowMs < 5_000 + cutMs;
        const outcome = simulate(ratePerSecond, demandRatio, seed, {
          ...rest,
          isDisconnected,
        });
        expect(outcome.overshoot).toBeLessThanOrEqual(
          allowedOvershoot(ratePerSecond),
        );
      }),
      {numRuns: 60, seed: 8},
    );
  }, 120_000);

  // Guards against use that a new holder takes to be older than it is.
  it('stays within the cap when another holder takes over soon after a start', () => {
    const spans = fc.record({
      fromMs: fc.integer({min: 4, max: 40}),
      forMs: fc.integer({min: 1, max: 40}),
    });
    fc.assert(
      fc.property(anyLoad, spans, ({seed, ratePerSecond, ...at}, span) => {
        const {demandRatio, ...rest} = at;
        const fromMs = span.fromMs * 100;
        const toMs = fromMs + span.forMs * 100;
        const outcome = simulate(ratePerSecond, demandRatio, seed, {
          ...rest,
          takeover: {fromMs, toMs},
        });
        expect(outcome.overshoot).toBeLessThanOrEqual(
          allowedOvershoot(ratePerSecond),
        );
      }),
      {numRuns: 60, seed: 11},
    );
  }, 120_000);

  // Guards against a cap that starts anew with each process.
  it('exceeds the cap by no more than the unreported use if an entry restarts each second', () => {
    fc.assert(
      fc.property(anyLoad, ({seed, ratePerSecond, demandRatio, ...rest}) => {
        const restarts = (entry: number, nowMs: number) =>
          nowMs % 1_000 === 0 && entry === (nowMs / 1_000) % rest.entries;
        const outcome = simulate(ratePerSecond, demandRatio, seed, {
          ...rest,
          restarts,
        });
        // Number of restarts of each entry within a window.
        const times = Math.ceil((WINDOW_MS / 1_000 + 1) / rest.entries);
        const askedPerSecond = ratePerSecond * demandRatio;
        const cap = {ratePerSecond, burst: ratePerSecond};
        const unreported =
          (times * askedPerSecond * EXCHANGE_MS) /
          1_000 /
          usageLimitOf(cap, WINDOW_MS).perWindow;
        expect(outcome.overshoot).toBeLessThanOrEqual(
          allowedOvershoot(ratePerSecond) + unreported,
        );
      }),
      {numRuns: 60, seed: 9},
    );
  }, 120_000);

  it('is rarely refused below the cap', () => {
    // The mean of several loads; in each, groups of requests fill the burst.
    const seeds = [1, 2, 3, 4, 5, 6];
    const refusedShares = [29_000, 100_000, 244_000].flatMap(rate =>
      seeds.map(seed => simulate(rate, 0.55, seed).falselyRefused),
    );
    const mean = refusedShares.reduce((sum, share) => sum + share, 0);
    expect(mean / refusedShares.length).toBeLessThan(0.01);
  });
});

describe('OrganisationUsage', () => {
  const limit = {
    ratePerSecond: 10_000,
    perWindow: 100_000,
    windowMs: WINDOW_MS,
  };
  const view = {limit, nowMs: 0, random: () => 0.5};

  it('admits a request larger than the limit, and then refuses others', () => {
    const usage = new OrganisationUsage(true);
    usage.update({left: 100_000, freedPerSecond: 0, askedPerSecond: 0}, 0, 0);
    expect(usage.decide(150_000, view).kind).toBe('admit');
    // The missing 90,000 tokens become available at 10,000 per second.
    expect(usage.decide(40_000, view)).toEqual({
      kind: 'refuse',
      left: -50_000,
      retryAfterMs: 9_000,
    });
  });

  // Guards against telling callers to return at once, or before now.
  it('names a time in which the cap frees what is contended for', () => {
    const state = fc.record({
      amount: fc.integer({min: 1, max: 200_000}),
      left: fc.integer({min: -200_000, max: 100_000}),
      freedPerSecond: fc.integer({min: 0, max: 20_000}),
      askedPerSecond: fc.integer({min: 0, max: 400_000}),
      ageMs: fc.integer({min: 0, max: 20_000}),
    });
    let refusals = 0;
    fc.assert(
      fc.property(state, ({amount, ageMs, ...snapshot}) => {
        const usage = new OrganisationUsage(false);
        usage.update(snapshot, 0, 0);
        const decision = usage.decide(amount, {
          limit,
          nowMs: ageMs,
          random: () => 0.999,
          waits: 2,
        });
        if (decision.kind !== 'refuse') return;
        refusals += 1;
        const missingMs =
          ((amount - decision.left) * 1_000) / limit.ratePerSecond;
        expect(decision.retryAfterMs).toBeGreaterThanOrEqual(
          Math.max(missingMs, MIN_RETRY_AFTER_MS),
        );
        expect(Number.isFinite(decision.retryAfterMs)).toBe(true);
      }),
      {numRuns: 500, seed: 12},
    );
    expect(refusals).toBeGreaterThan(100);
  });

  it('names a longer time the more is asked for', () => {
    const retryAfterMsAt = (askedPerSecond: number) => {
      const usage = new OrganisationUsage(false);
      const snapshot = {left: 1_000, freedPerSecond: 10_000, askedPerSecond};
      usage.update(snapshot, 0, 0);
      const decision = usage.decide(500, {...view, random: () => 0.999});
      return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
    };
    // 0.7 s of demand less what is left, freed at 10,000 a second.
    expect(retryAfterMsAt(40_000)).toBeCloseTo(2_000);
    expect(retryAfterMsAt(80_000)).toBeCloseTo(4_800);
  });

  // Guards against a caller that is refused below the cap because of its own
  // demand.
  it('admits all that is left if no other entry has demand', () => {
    const tinyLimit = {
      ratePerSecond: 1e-6,
      perWindow: 2,
      windowMs: WINDOW_MS,
    };
    const fleet = new FleetUsage({
      windowMs: WINDOW_MS,
      startMs: 0,
      limitOf: () => tinyLimit,
      knownUse: new Map(),
      assumedUse: () => 0,
    });
    const usage = new OrganisationUsage(true);
    const decide = (nowMs: number) =>
      usage.decide(1, {limit: tinyLimit, nowMs, random: () => 0.99}).kind;
    expect(decide(0)).toBe('admit');
    usage.markReported(200);
    fleet.addReports([{organisation: 'claims', asked: 1, used: 1}], 203);
    usage.update(fleet.snapshot(203)['claims']!, 203, 0);
    expect(decide(210)).toBe('admit');
    expect(decide(220)).toBe('refuse');
  });

  it('refunds an amount that was not run', () => {
    const usage = new OrganisationUsage(true);
    usage.update({left: 100_000, freedPerSecond: 0, askedPerSecond: 0}, 0, 0);
    usage.decide(95_000, view);
    expect(usage.decide(9_000, view).kind).toBe('refuse');
    usage.refund(95_000, view.nowMs);
    expect(usage.decide(9_000, view).kind).toBe('admit');
  });

  // Guards against refusing callers below the cap for requests that runners
  // rejected, which an update through a relay would count as admitted.
  it('does not count a refunded amount as one that a relay holds back', () => {
    const usage = new OrganisationUsage(true);
    const fleet = {left: 100_000, freedPerSecond: 0, askedPerSecond: 0};
    usage.update(fleet, -500, 0, true);
    usage.decide(95_000, view);
    usage.refund(95_000, view.nowMs);
    usage.update(fleet, 0, 0, true);
    expect(usage.decide(9_000, view).kind).toBe('admit');
  });

  it('admits the share that its callers had of the demand without snapshots', () => {
    const usage = new OrganisationUsage(true);
    usage.update(
      {left: -500_000, freedPerSecond: 10_000, askedPerSecond: 40_000},
      0,
      0,
    );
    // A quarter of the total demand is within the rate.
    const laterView = {limit, nowMs: 10_000};
    const decide = (random: number) =>
      usage.decide(1, {...laterView, random: () => random}).kind;
    expect(decide(0.2)).toBe('admit');
    expect(decide(0.3)).toBe('refuse');
  });
});

describe('SlidingWindow', () => {
  it('drops single and evenly added amounts after its length', () => {
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
