import {describe, expect, it} from 'vitest';
import {FleetShares} from '../shares/fleetShares.js';
import {OrganisationShare} from '../shares/organisationShare.js';
import {randomOf} from './randomOf.js';

const POOL = 'drafting';

describe('FleetShares', () => {
  // Guards against a wait that is not due to a queue: reducing what is admitted
  // reduces what is completed, and the backlog stays too long for it.
  it.each([1, 3, 10, 50])(
    'refuses next to nothing at runners with room that are slow to answer, %i a second',
    perSecond => {
      for (const waitMs of [300, 700, 1_200]) {
        expect(refusedWithRoom(perSecond, waitMs)).toBe(0);
      }
      // The first callers wait for 2.5 times the target without a known reason.
      expect(refusedWithRoom(perSecond, 2_000)).toBeLessThan(0.1);
    },
  );

  it('sends no limits before it has received reports for a second', () => {
    const shares = contendedShares({askedBy: [95], untilMs: 990});
    expect(shares.limits(backlogs, 990)).toEqual({});
  });

  // Guards against urgent requests of an organisation that wait for its others.
  it('gives the share of an organisation to its urgent requests first', () => {
    const shares = contendedShares({askedBy: [3, 92], untilMs: 3_000});
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

/** Part refused of the requests to runners that always have room. */
function refusedWithRoom(perSecond: number, waitMs: number): number {
  const random = randomOf(5);
  const fleet = new FleetShares(0, () => 1);
  const share = new OrganisationShare();
  const id = {pool: POOL, organisation: 'claims', priority: 1};
  const counts = {requests: 0, refused: 0, asked: 0, completed: 0};
  let open: Array<{atMs: number; work: number}> = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    if (random() < perSecond / 100) {
      const work = 1 + random() * 6;
      counts.requests += 1;
      counts.asked += work;
      const decision = share.decide({...id, nowMs, leftMs: 8_000, random});
      if (decision.kind === 'refuse') counts.refused += 1;
      else open.push({atMs: nowMs + waitMs * (0.5 + random()), work});
    }
    const done = open.filter(({atMs}) => atMs <= nowMs);
    open = open.filter(({atMs}) => atMs > nowMs);
    for (const {work} of done) counts.completed += work;
    if (nowMs % 250 !== 0) continue;
    fleet.addDemand([{...id, asked: counts.asked, admitted: 0}], nowMs);
    const {completed} = counts;
    fleet.addProgress([{pool: POOL, completed, dropped: 0}], nowMs);
    counts.asked = 0;
    counts.completed = 0;
    const work = open.reduce((sum, each) => sum + each.work, 0);
    const backlog = {requests: open.length, work, workMs: work * 800};
    share.update(
      fleet.limits(() => ({[POOL]: backlog}), nowMs),
      nowMs,
    );
  }
  return counts.refused / counts.requests;
}

const backlogs = () => ({
  [POOL]: {requests: 120, work: 120, workMs: 120 * 800},
});

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
