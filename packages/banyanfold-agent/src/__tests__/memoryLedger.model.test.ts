import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {OrderFault} from './simulatedEngine.js';
import {
  LATE_BOUND_MS,
  LedgerSimulation,
  type Step,
} from './ledgerSimulation.js';

/**
 * Seed 13 covers requests of a previous agent process that a stale report did
 * not contain.
 */
const SEEDS = [1, 2, 3, 13];
const RUNS_PER_SEED = 120;

/** Sizes of which at most two models fit into the memory together. */
const ARTIFACTS = [
  {artifact: 'claims@1', bytes: 40},
  {artifact: 'claims@2', bytes: 42},
  {artifact: 'letters@1', bytes: 30},
  {artifact: 'routes@1', bytes: 55},
  {artifact: 'claims@1+suva@1', bytes: 5},
];

const advance = (minMs: number, maxMs: number): fc.Arbitrary<Step> =>
  fc.record({
    kind: fc.constant('advance' as const),
    ms: fc.integer({min: minMs, max: maxMs}),
  });

const load: fc.Arbitrary<Step> = fc
  .constantFrom(...ARTIFACTS)
  .map(chosen => ({kind: 'load' as const, ...chosen}));

const retire: fc.Arbitrary<Step> = fc
  .constantFrom(...ARTIFACTS)
  .map(({artifact}) => ({kind: 'retire' as const, artifact}));

const request: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('request' as const),
  bytes: fc.integer({min: 1, max: 25}),
});

const crash: fc.Arbitrary<Step> = fc.constant({kind: 'crash' as const});

const faultArbitrary = fc.record({
  fault: fc.constantFrom<OrderFault>(
    'none',
    'lost',
    'answer-lost',
    'late',
    'twice',
  ),
  lateMs: fc.integer({min: 1, max: LATE_BOUND_MS - 1}),
});

const mixedFaults: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('order-faults' as const),
  faults: fc.array(faultArbitrary, {minLength: 1, maxLength: 8}),
});

/**
 * About as many faults as a load order has transmissions: it stays in doubt.
 */
const lateBurst: fc.Arbitrary<Step> = fc
  .tuple(
    fc.constantFrom<OrderFault>('late', 'lost'),
    fc.integer({min: 1, max: LATE_BOUND_MS - 1}),
    fc.integer({min: 3, max: 5}),
  )
  .map(([early, lateMs, count]) => ({
    kind: 'order-faults' as const,
    faults: Array.from({length: count}, (_, index) => ({
      fault: index < count - 1 ? early : 'late',
      lateMs: index < count - 1 ? lateMs : LATE_BOUND_MS - 1,
    })),
  }));

const singleStep = fc
  .oneof(
    {weight: 4, arbitrary: advance(1, 150)},
    {weight: 2, arbitrary: advance(200, 700)},
    {weight: 5, arbitrary: load},
    {weight: 3, arbitrary: retire},
    {weight: 4, arbitrary: request},
    {weight: 2, arbitrary: fc.constant<Step>({kind: 'finish'})},
    {weight: 1, arbitrary: crash},
    {weight: 2, arbitrary: mixedFaults},
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant('report-lag' as const),
        ms: fc.integer({min: 0, max: 250}),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('refuse-loads' as const),
        count: fc.integer({min: 1, max: 3}),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('log' as const),
        isUp: fc.boolean(),
      }),
    },
  )
  .map(step => [step]);

/**
 * The agent crashes while its load order is in flight, and a new one starts.
 */
const loadAndCrash = fc
  .tuple(lateBurst, load, advance(1, 40), crash, advance(1, 280), load)
  .map(steps => [...steps]);

/** A load stays in doubt while others are proposed. */
const doubtfulLoad = fc
  .tuple(lateBurst, load, advance(60, 250), load, advance(20, 250), load)
  .map(steps => [...steps]);

/** One version is retired while the next one is loaded. */
const versionChange = fc
  .tuple(retire, advance(1, 60), load, request, advance(1, 60), load)
  .map(steps => [...steps]);

const stepsArbitrary = fc
  .array(
    fc.oneof(
      {weight: 8, arbitrary: singleStep},
      {weight: 2, arbitrary: loadAndCrash},
      {weight: 2, arbitrary: doubtfulLoad},
      {weight: 2, arbitrary: versionChange},
    ),
    {minLength: 8, maxLength: 30},
  )
  .map(groups => groups.flat());

// Orders are lost, delayed or duplicated, or their answers are lost. Reports
// are stale, the weight store refuses loads, the log is unavailable, and the
// agent crashes at any time and restarts. The simulated engine commits
// everything that it is ordered to and records each overcommitment of its
// memory.
describe.each([
  {engine: 'checks fencing', checksFencing: true},
  {engine: 'ignores fencing', checksFencing: false},
])('the memory of an engine that $engine', ({checksFencing}) => {
  it.each(SEEDS)('is never overcommitted (seed %i)', async seed => {
    const property = fc.asyncProperty(stepsArbitrary, async steps => {
      const simulation = new LedgerSimulation(checksFencing);
      await simulation.run({kind: 'advance', ms: 2 * LATE_BOUND_MS});
      for (const step of steps) {
        await simulation.run(step);
        expect(simulation.engine.violations).toEqual([]);
      }
      await simulation.settle();
      expect(simulation.engine.violations).toEqual([]);
      // No reservation is left over either.
      const states = simulation.ledger.all().map(({state}) => state);
      expect(states.filter(state => state !== 'held')).toEqual([]);
      const ledgerBytes = simulation.ledger
        .all()
        .reduce((sum, {bytes}) => sum + bytes, 0);
      expect(ledgerBytes).toBe(simulation.engine.weightBytes());
      expect(simulation.ledger.isInQuarantine()).toBe(false);
    });
    await fc.assert(property, {seed, numRuns: RUNS_PER_SEED});
  });
});
