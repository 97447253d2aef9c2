import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MIN_RETRY_AFTER_MS} from '../options.js';
import {divideByMaxMin} from '../shares/divideByMaxMin.js';
import {FleetShares} from '../shares/fleetShares.js';
import {OrganisationShare} from '../shares/organisationShare.js';
import {
  simulateShares,
  type SharesOptions,
  type SharesOutcome,
} from './simulateShares.js';

const ORGANISATIONS = 16;
/** Part of its demand that an organisation below its share is served. */
const MIN_SERVED = 0.95;
const MAX_UNUSED = 0.05;
const SURGE = {fromMs: 4_000, toMs: 16_000, factor: 8};
const LARGEST = 120;
const POOL = 'drafting';

/** Mulberry32, so that a seed always gives the same load. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function demandOf(organisation: number, nowMs: number): number {
  const usual = LARGEST * 0.75 ** organisation;
  const isSurge = nowMs >= SURGE.fromMs && nowMs < SURGE.toMs;
  return organisation === 0 && isSurge ? usual * SURGE.factor : usual;
}

const SURGE_DEMANDS = Array.from({length: ORGANISATIONS}, (_, i) =>
  demandOf(i, SURGE.fromMs),
);
/** Two thirds of the requested work. */
const CAPACITY = (SURGE_DEMANDS.reduce((sum, each) => sum + each) * 2) / 3;

function simulate(
  seed: number,
  overrides: Partial<SharesOptions> = {},
): SharesOutcome {
  return simulateShares({
    entries: 28,
    capacity: CAPACITY,
    organisations: ORGANISATIONS,
    demandOf,
    durationMs: 21_000,
    countedFromMs: SURGE.fromMs,
    countedToMs: SURGE.toMs,
    random: randomOf(seed),
    ...overrides,
  });
}

/** Smallest part served of those that ask for less than their share. */
function leastServed({byOrganisation}: SharesOutcome): number {
  const parties = SURGE_DEMANDS.map(demand => ({demand, weight: 1}));
  const amounts = divideByMaxMin(parties, CAPACITY);
  const served = byOrganisation
    .filter((_, i) => amounts[i]! >= SURGE_DEMANDS[i]!)
    .map(outcome => outcome.served / outcome.asked);
  return Math.min(...served);
}

function expectBounds(outcome: SharesOutcome): void {
  expect(leastServed(outcome)).toBeGreaterThanOrEqual(MIN_SERVED);
  expect(outcome.unused).toBeLessThan(MAX_UNUSED);
}

describe('divideByMaxMin', () => {
  it('gives no one more than asked, and no weight less than another that is short', () => {
    const parties = fc.array(
      fc.record({
        demand: fc.integer({min: 0, max: 1_000_000}),
        weight: fc.integer({min: 1, max: 10_000}),
      }),
      {minLength: 1, maxLength: 40},
    );
    const anyCapacity = fc.integer({min: 0, max: 10_000_000});
    fc.assert(
      fc.property(parties, anyCapacity, (demands, capacity) => {
        const amounts = divideByMaxMin(demands, capacity);
        const total = demands.reduce((sum, {demand}) => sum + demand, 0);
        const given = amounts.reduce((sum, amount) => sum + amount, 0);
        expect(given).toBeCloseTo(Math.min(total, capacity), 2);
        const ratios = amounts.map((a, i) => a / demands[i]!.weight);
        const highest = Math.max(...ratios);
        demands.forEach(({demand}, i) => {
          expect(amounts[i]).toBeLessThanOrEqual(demand);
          const isShort = amounts[i]! < demand * (1 - 1e-6);
          if (isShort) {
            expect(ratios[i]).toBeGreaterThanOrEqual(highest * (1 - 1e-6));
          }
        });
      }),
    );
  });
});

describe('FleetShares', () => {
  // Guards against queues that one organisation fills for all the others.
  it('serves organisations below their share while another surges, with any number of entries', () => {
    const load = fc.record({
      seed: fc.integer({min: 1, max: 1_000_000}),
      entries: fc.constantFrom(1, 28, 730),
      isRelayed: fc.boolean(),
    });
    fc.assert(
      fc.property(load, ({seed, ...fleet}) =>
        expectBounds(simulate(seed, fleet)),
      ),
      {numRuns: 24, seed: 31},
    );
  }, 60_000);

  it('is needed for that: in order of arrival, the others lose a part', () => {
    const outcome = simulate(7, {hasShares: false});
    expect(leastServed(outcome)).toBeLessThan(MIN_SERVED);
  });

  // Guards against an advantage of callers that arrive at a single entry.
  it('gives an organisation at one entry what one at all entries gets', () => {
    const surge = (organisation: number, nowMs: number) =>
      organisation < 2 ? demandOf(0, nowMs) / 2 : demandOf(organisation, 0);
    const {byOrganisation} = simulate(8, {
      demandOf: surge,
      entryOf: organisation => (organisation === 0 ? 3 : undefined),
    });
    const [one, all] = byOrganisation.map(({served}) => served);
    expect(one! / all!).toBeGreaterThan(MIN_SERVED);
    expect(one! / all!).toBeLessThan(1 / MIN_SERVED);
  });

  it('divides by weight what organisations above their share get', () => {
    const {byOrganisation} = simulate(9, {
      organisations: 2,
      demandOf: () => CAPACITY,
      weightOf: name => (name === 'o0' ? 3 : 1),
    });
    const [large, small] = byOrganisation.map(({served}) => served);
    expect(large! / small!).toBeGreaterThan(3 * 0.9);
    expect(large! / small!).toBeLessThan(3 / 0.9);
  });

  // Guards against a share that outlasts the excess of demand.
  it('refuses nothing before a surge, and nothing 4 s after it', () => {
    const before = simulate(10, {durationMs: SURGE.fromMs});
    expect(before.refused).toBe(0);
    const {lastRefusalMs} = simulate(10, {durationMs: 30_000});
    expect(lastRefusalMs).toBeLessThan(SURGE.toMs + 4_000);
  });

  // Guards against limits for a rise of demand that the runners keep up with.
  it('refuses nothing while the runners keep up with a sudden surge', () => {
    const {refused} = simulate(11, {capacity: CAPACITY * 1.6});
    expect(refused).toBe(0);
  });

  // Guards against an entry that applies old limits after a freeze, and against
  // its late report of the demand.
  it('keeps the bounds while an entry is frozen for 3 s', () => {
    const isFrozen = (entry: number, nowMs: number) =>
      entry === 1 && nowMs > 8_000 && nowMs < 11_000;
    expectBounds(simulate(12, {isFrozen}));
  });

  // Guards against an entry without limits that takes the share of others.
  it('keeps the bounds while an entry is partitioned', () => {
    const isDisconnected = (entry: number, nowMs: number) =>
      entry === 1 && nowMs > 6_000;
    expectBounds(simulate(13, {isDisconnected}));
  });

  // Guards against a backlog that stays counted after its entry has ended.
  it('keeps the bounds after an entry is killed', () => {
    const isKilled = (entry: number, nowMs: number) =>
      entry === 1 && nowMs > 8_000;
    expectBounds(simulate(14, {isKilled}));
  });

  // Guards against a new holder that divides by the first few reports.
  it('keeps the bounds across a change of holder without answers for 1 s', () => {
    const isDisconnected = (_: number, nowMs: number) =>
      nowMs > 9_000 && nowMs < 10_000;
    expectBounds(simulate(15, {newHolderMs: 10_000, isDisconnected}));
  });

  it('sends no limits before it has received reports for a second', () => {
    const shares = contendedShares({askedBy: [95], untilMs: 990});
    expect(shares.limits(backlogs, 990)).toEqual({});
  });

  // Guards against urgent requests of an organisation that wait for its others.
  it('gives the share of an organisation to its urgent requests first', () => {
    const shares = contendedShares({askedBy: [8, 87], untilMs: 3_000});
    const {large} = shares.limits(backlogs, 3_000)[POOL]!;
    expect(large![0]).toBe(1);
    expect(large![1]).toBeLessThan(0.25);
  });

  // Guards against urgency that takes the share of another organisation.
  it('limits urgent requests that exceed the share', () => {
    const shares = contendedShares({askedBy: [95], untilMs: 3_000});
    const limits = shares.limits(backlogs, 3_000)[POOL]!;
    expect(limits['large']![0]).toBe(0);
    expect(limits['small']).toBeUndefined();
  });

  // Guards against a short model whose idle service hides its excess.
  it('divides each pool by itself', () => {
    const shares = contendedShares({askedBy: [95], untilMs: 3_000});
    expect(Object.keys(shares.limits(backlogs, 3_000))).toEqual([POOL]);
  });

  // Guards against shares of nothing while all runners of a pool hang.
  it('limits nothing while nothing is completed', () => {
    const shares = contendedShares({askedBy: [95], untilMs: 3_000});
    expect(shares.limits(backlogs, 3_000)).not.toEqual({});
    expect(shares.limits(backlogs, 4_600)).toEqual({});
  });
});

const backlogs = () => ({[POOL]: {work: 90, workMs: 90 * 800}});

/** Shares of a pool that completes 100/s of the 400/s that are requested. */
function contendedShares(load: {
  /** Work that the large organisation requests in 250 ms, by priority. */
  askedBy: number[];
  untilMs: number;
}): FleetShares {
  const shares = new FleetShares(0, () => 1);
  for (let nowMs = 0; nowMs < load.untilMs; nowMs += 250) {
    const large = load.askedBy.map((asked, priority) => ({
      pool: POOL,
      organisation: 'large',
      priority,
      asked,
      admitted: 0,
    }));
    const small = {...large[0]!, organisation: 'small', asked: 5};
    const idle = {...small, pool: 'idle'};
    shares.addDemand([...large, small, idle], nowMs);
    const progress = {completed: 25, dropped: 0};
    shares.addProgress(
      [
        {pool: POOL, ...progress},
        {pool: 'idle', ...progress, completed: 5},
      ],
      nowMs,
    );
    shares.limits(backlogs, nowMs);
  }
  return shares;
}

describe('OrganisationShare', () => {
  const view = {
    pool: POOL,
    organisation: 'claims',
    priority: 1,
    nowMs: 0,
    leftMs: 10_000,
    random: () => 0.6,
  };

  function shareOf(share: number): OrganisationShare {
    const shares = new OrganisationShare();
    shares.update({[POOL]: {claims: [1, share]}}, 0);
    return shares;
  }

  it('admits by the share, and everything that is more urgent or not limited', () => {
    const shares = shareOf(0.5);
    expect(shares.decide(view).kind).toBe('refuse');
    expect(shares.decide({...view, random: () => 0.4}).kind).toBe('admit');
    expect(shares.decide({...view, priority: 0}).kind).toBe('admit');
    expect(shares.decide({...view, priority: 2}).kind).toBe('refuse');
    for (const name of ['other', 'constructor']) {
      expect(shares.decide({...view, organisation: name}).kind).toBe('admit');
    }
  });

  // Guards against an entry that refuses by limits of a holder that is gone.
  it('admits everything 1.5 s after the last limits, and before the first', () => {
    const shares = shareOf(0);
    expect(shares.decide({...view, nowMs: 1_500}).kind).toBe('refuse');
    expect(shares.decide({...view, nowMs: 1_501}).kind).toBe('admit');
    expect(new OrganisationShare().decide(view).kind).toBe('admit');
  });

  it('names the time in which the share serves the excess, as far as callers wait', () => {
    const retryAfterMs = (share: number, leftMs = 10_000) => {
      const decision = shareOf(share).decide({...view, leftMs});
      return decision.kind === 'refuse' ? decision.retryAfterMs : undefined;
    };
    expect(retryAfterMs(0.5)).toBe(1_000);
    expect(retryAfterMs(0.01)).toBe(3_000);
    expect(retryAfterMs(0)).toBe(3_000);
    expect(retryAfterMs(0.59)).toBeCloseTo(695, 0);
    expect(retryAfterMs(0.5, 500)).toBe(MIN_RETRY_AFTER_MS);
  });
});
