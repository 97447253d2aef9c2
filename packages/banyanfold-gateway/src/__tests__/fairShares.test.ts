import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {FairShares, type SharedRequest} from '../callers/fairShares.js';
import {OrganisationDirectory} from '../callers/organisationDirectory.js';
import {HolderShares} from '../placement/holderShares.js';
import {ShareWeights} from '../placement/shareWeights.js';
import type {Organisation} from '../types.js';
import type {FleetView} from '../view/fleetView.js';

const POOL = 'drafting/m1';
const REQUEST: SharedRequest = {
  pool: POOL,
  organisation: undefined,
  priority: 1,
  work: 2,
  targetMs: 500,
  leftMs: 4_000,
};

let clock: VirtualClock;

beforeEach(() => {
  clock = new VirtualClock();
});

describe('FairShares', () => {
  function createShares(): FairShares {
    return new FairShares({clock, random: () => 0.5, isEnabled: () => true});
  }

  it('counts a request as completed once its response starts', () => {
    const shares = createShares();
    const admission = shares.decide(REQUEST);
    if (admission?.kind !== 'admit') throw new Error('not admitted');
    expect(shares.ownBacklogs()).toEqual({
      [POOL]: {requests: 1, work: 2, workMs: 1_000},
    });
    admission.admitted.markStarted();
    admission.admitted.end(true);
    expect(shares.ownBacklogs()).toEqual({});
    expect(shares.takeReport().poolProgress).toEqual([
      {pool: POOL, completed: 2, dropped: 0},
    ]);
  });

  it('counts a request that found no place as dropped, but no caller that left', () => {
    const shares = createShares();
    for (const isDropped of [true, false]) {
      const admission = shares.decide(REQUEST);
      if (admission?.kind === 'admit') admission.admitted.end(isDropped);
    }
    expect(shares.ownBacklogs()).toEqual({});
    expect(shares.takeReport().poolProgress).toEqual([
      {pool: POOL, completed: 0, dropped: 2},
    ]);
  });

  // Guards against limits of a holder that has ended or lost its shares.
  it('admits everything after an answer without limits, or 1.5 s without one', async () => {
    const shares = createShares();
    const limits = {[POOL]: {'': [0, 0] as const}};
    shares.applyLimits(limits, 0);
    expect(shares.limitedCount).toBe(1);
    expect(shares.decide(REQUEST)!.kind).toBe('refuse');
    shares.applyLimits(undefined, 0);
    expect(shares.decide(REQUEST)!.kind).toBe('admit');
    shares.applyLimits(limits, 1_000);
    expect(shares.decide(REQUEST)!.kind).toBe('refuse');
    await clock.advance(501);
    expect(shares.decide(REQUEST)!.kind).toBe('admit');
    expect(shares.limitedCount).toBe(0);
  });
});

describe('HolderShares', () => {
  const logger = new MemoryLogger();
  const backlogs = () => ({
    [POOL]: {requests: 120, work: 120, workMs: 120 * 800},
  });

  function createShares({isSwitchedOn = true, hasOrganisations = true} = {}) {
    const organisations = hasOrganisations
      ? new OrganisationDirectory([])
      : undefined;
    const view = {organisations} as FleetView;
    const metrics = new Metrics();
    return new HolderShares({clock, logger, metrics, view, isSwitchedOn});
  }

  /** Four times as much is requested as is completed. */
  async function overload(shares: HolderShares): Promise<void> {
    const row = {pool: POOL, priority: 1, admitted: 0};
    for (let i = 0; i < 10; i++) {
      shares.record({
        demandByOrganisation: [
          {...row, organisation: 'claims', asked: 95},
          {...row, organisation: 'desk', asked: 5},
        ],
        poolProgress: [{pool: POOL, completed: 25, dropped: 0}],
      });
      shares.limits(backlogs);
      await clock.advance(250);
    }
  }

  it('limits whoever asks for more than the share, and logs what it decides by', async () => {
    const shares = createShares();
    await overload(shares);
    expect(Object.keys(shares.limits(backlogs)![POOL]!)).toEqual(['claims']);
    const line = logger.lines.find(each => each.includes('event=shares '));
    expect(line).toMatch(/pool=drafting\/m1 askedPerSecond=\d.* limited=1/);
  });

  // Guards against a new holder that divides by what it heard long ago.
  it('limits nobody after a reset until reports have arrived for a second', async () => {
    const shares = createShares();
    await overload(shares);
    shares.reset();
    expect(shares.limits(backlogs)).toEqual({});
    await overload(shares);
    expect(shares.limits(backlogs)).not.toEqual({});
  });

  // Guards against an effect where it was not asked for.
  it.each([{isSwitchedOn: false}, {hasOrganisations: false}])(
    'sends nothing with %o',
    async options => {
      const shares = createShares(options);
      await overload(shares);
      expect(shares.limits(backlogs)).toBeUndefined();
    },
  );
});

describe('ShareWeights', () => {
  function weightsOf(organisations: Organisation[]): number[] {
    const directory = new OrganisationDirectory(organisations);
    const weights = new ShareWeights(() => directory);
    return [...organisations, {name: ''}].map(({name}) => weights.of(name));
  }

  it('are the rates of the caps, or their mean without a cap', () => {
    const cap = {burst: 1, plainTokens: 200};
    const tokens = {...cap, unit: 'tokens', ratePerSecond: 60_000} as const;
    const requests = {...cap, unit: 'requests', ratePerSecond: 20} as const;
    const weights = weightsOf([
      {name: 'claims', keyDigests: [], usageCap: tokens},
      {name: 'desk', keyDigests: [], usageCap: requests},
      {name: 'free', keyDigests: []},
    ]);
    expect(weights).toEqual([60, 20, 40, 40]);
  });

  it('are equal without caps', () => {
    expect(weightsOf([{name: 'claims', keyDigests: []}])).toEqual([1, 1]);
  });
});
