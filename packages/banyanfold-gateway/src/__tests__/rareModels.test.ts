import {describe, expect, it} from 'vitest';
import {simulateCopies, type CopyScenario} from './simulateCopies.js';

/** 35 runners have 105 places for copies of 77 models. */
const FLEET: Omit<CopyScenario, 'seed'> = {
  runners: 35,
  lostRunners: 0,
  lostAtMs: 3_000,
  busyModels: 10,
  busyPerSecond: 110,
  waitingForAdapter: 0,
  rareModels: 67,
  rarePerSecond: 16,
  durationMs: 60_000,
  countedFromMs: 15_000,
};
/** Runners of which 26 are left, with 78 places. */
const LOST_RUNNERS = 9;
const WAITING_FOR_ADAPTER = 6;
/** All models have a place, and callers wait for longer than a load takes. */
const MIN_SERVED = 0.95;
const SEEDS = [1, 2, 3];

describe('requests for rare models, while there is room for all models', () => {
  it.each(SEEDS)('are served (seed %i)', seed => {
    const {rareServed} = simulateCopies({...FLEET, seed});
    expect(rareServed).toBeGreaterThanOrEqual(MIN_SERVED);
  });

  it.each(SEEDS)('are served once runners have ended (seed %i)', seed => {
    const lostRunners = LOST_RUNNERS;
    const {rareServed} = simulateCopies({...FLEET, seed, lostRunners});
    expect(rareServed).toBeGreaterThanOrEqual(MIN_SERVED);
  });

  // Guards against copies of busy models that stay while rare ones have none.
  it.each(SEEDS)(
    'are served while requests for busy ones wait for adapters (seed %i)',
    seed => {
      const waitingForAdapter = WAITING_FOR_ADAPTER;
      const {rareServed} = simulateCopies({...FLEET, seed, waitingForAdapter});
      expect(rareServed).toBeGreaterThanOrEqual(MIN_SERVED);
    },
  );

  // Guards against the same where the memory of lost runners is missing.
  it.each(SEEDS)(
    'are served once runners have ended and requests for busy ones wait for adapters (seed %i)',
    seed => {
      const {rareServed} = simulateCopies({
        ...FLEET,
        seed,
        lostRunners: LOST_RUNNERS,
        waitingForAdapter: WAITING_FOR_ADAPTER,
      });
      expect(rareServed).toBeGreaterThanOrEqual(MIN_SERVED);
    },
  );
});
