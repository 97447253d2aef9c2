import {describe, expect, it} from 'vitest';
import {choosePlainRunner, type PlainCandidate} from '../choosePlainRunner.js';
import {chooseRunner} from '../chooseRunner.js';
import {
  PlainCallSimulation,
  randomOf,
  type Choose,
  type KnownRunner,
} from './simulatePlainCalls.js';

const DOMAIN = 'hall-a';
const LOADS = [1, 5, 12, 28, 67, 730].flatMap(entries =>
  [0, 0.5].map(firstEntryShare => ({entries, firstEntryShare})),
);
/** Difference of two runs with other random numbers. */
const CHANCE = 1.05;

const choosePlain: Choose = (runners, random) =>
  choosePlainRunner(runners, {failureDomain: DOMAIN, random})!.runnerId;

/** Chooses by the entry's own open work, and its peers' if `peers` is 1. */
function leastWork(peers: 0 | 1): Choose {
  return (runners, random) => {
    const candidates = runners.map(runner => ({
      ...runner,
      openWork: runner.ownWork + runner.peersWork * peers,
      hasAdapter: true,
    }));
    const arrivals = {work: 0, random};
    return chooseRunner(candidates, undefined, DOMAIN, arrivals)!.runnerId;
  };
}

/** Two runners at 0.55 of the usual speed, and equal ones of that capacity. */
const MIXED = [0.55, 0.55, 1.2, 1.2, 1.2, 1.2];
const ALIKE = MIXED.map(() => MIXED.reduce((sum, each) => sum + each, 0) / 6);

const withoutSpeeds: Choose = (runners, random, nowMs) => {
  const alike = runners.map(runner => ({...runner, speed: 1}));
  return choosePlain(alike, random, nowMs);
};

/** Peers' reports are half an exchange old when the holder sums them. */
const REPORT_AGE_MS = 125;
const CALL_MS = 61;

/** Chooses one of those with the lowest cost, at random. */
function leastCost(
  costOf: (runner: KnownRunner, nowMs: number) => number,
): Choose {
  return (runners, random, nowMs) => {
    const costs = runners.map(runner => costOf(runner, nowMs));
    const least = Math.min(...costs);
    const equal = runners.filter((_runner, i) => costs[i] === least);
    return equal[Math.floor(random() * equal.length)]!.runnerId;
  };
}

const WAYS: Record<string, Choose> = {
  'own and peers': leastWork(1),
  own: leastWork(0),
  'two at random': (runners, random, nowMs) => {
    const pair = [0, 1].map(
      () => runners[Math.floor(random() * runners.length)]!,
    );
    return leastWork(1)(pair, random, nowMs);
  },
  'shrunk by age': leastCost(
    ({ownWork, peersWork, peersAgeMs}) =>
      ownWork + peersWork * Math.exp(-(peersAgeMs + REPORT_AGE_MS) / CALL_MS),
  ),
  'last reported': leastCost(
    ({ownWork, reportedWork, reportedMs}, nowMs) =>
      ownWork + reportedWork * Math.exp((reportedMs - nowMs) / CALL_MS),
  ),
  kept: choosePlain,
};

interface Load {
  entries: number;
  firstEntryShare: number;
  runners?: number;
  callMs?: number;
  durationMs?: number;
  speeds?: readonly number[];
}

function simulate(choose: Choose, load: Load) {
  const defaults = {runners: 6, callMs: 61, durationMs: 15_000, seed: 5};
  return new PlainCallSimulation({...defaults, ...load, choose}).run();
}

function candidate(fields: Partial<PlainCandidate>): PlainCandidate {
  return {
    runnerId: 'r1',
    failureDomain: DOMAIN,
    ownWork: 0,
    meanWork: 0,
    isSuspect: false,
    ...fields,
  };
}

describe('choosePlainRunner', () => {
  // Guards against entries that fill and leave the same runner together.
  it.each(LOADS)('is never worse than each entry by its own work: %o', load => {
    const alone = simulate(leastWork(0), load);
    const chosen = simulate(choosePlain, load);
    expect(chosen.p95Ms).toBeLessThanOrEqual(alone.p95Ms * CHANCE);
    expect(chosen.rejected).toBeLessThanOrEqual(alone.rejected);
  });

  it.each([
    {entries: 5, firstEntryShare: 0, bound: 1.2},
    {entries: 12, firstEntryShare: 0, bound: 1.2},
    {entries: 5, firstEntryShare: 0.5, bound: 1.4},
    {entries: 12, firstEntryShare: 0.5, bound: 1.4},
  ])('is within a bound of one entry: %o', ({bound, ...load}) => {
    const one = simulate(choosePlain, {entries: 1, firstEntryShare: 0});
    const chosen = simulate(choosePlain, load);
    expect(chosen.p95Ms).toBeLessThanOrEqual(one.p95Ms * bound);
    expect(chosen.rejected).toBe(0);
  });

  // Guards against a reaction to the mean work that grows with the runners.
  it('does not oscillate with many runners', () => {
    const load = {
      entries: 67,
      firstEntryShare: 0,
      runners: 34,
      durationMs: 8_000,
    };
    const alone = simulate(leastWork(0), load);
    const chosen = simulate(choosePlain, load);
    expect(chosen.p95Ms).toBeLessThanOrEqual(alone.p95Ms * CHANCE);
    expect(chosen.rejected).toBe(0);
  });

  it('shows the fault of adding what peers had open', () => {
    const load = {entries: 12, firstEntryShare: 0};
    expect(simulate(leastWork(1), load).rejected).toBeGreaterThan(100);
  });

  // Guards against equal work for a slow machine and a fast one, with which the
  // slow ones account for the slowest calls.
  it.each(LOADS)('is better with speeds than without: %o', load => {
    const alike = simulate(choosePlain, {...load, speeds: ALIKE});
    const blind = simulate(withoutSpeeds, {...load, speeds: MIXED});
    const chosen = simulate(choosePlain, {...load, speeds: MIXED});
    expect(chosen.p95Ms).toBeLessThan(blind.p95Ms);
    expect(chosen.rejected).toBeLessThanOrEqual(blind.rejected);
    const isBoundMet = load.entries === 12 || load.entries === 28;
    const bound = isBoundMet ? 1.3 : blind.p95Ms / alike.p95Ms;
    expect(chosen.p95Ms).toBeLessThan(alike.p95Ms * bound);
  });

  it('compares the ways that were considered', () => {
    const loads = LOADS.filter(({entries}) => entries > 1);
    const rows = loads.flatMap(load =>
      Object.entries(WAYS).map(([way, choose]) => {
        const {p95Ms, rejected} = simulate(choose, load);
        const {entries, firstEntryShare} = load;
        return `${entries} ${firstEntryShare} ${way}: ${p95Ms} ms, ${rejected}`;
      }),
    );
    expect(rows).toMatchSnapshot();
  });

  it('leaves its failure domain for less work, and suspects last', () => {
    const choice = {failureDomain: DOMAIN, random: randomOf(1)};
    const other = candidate({runnerId: 'r2', failureDomain: 'hall-b'});
    const chosenOf = (own: Partial<PlainCandidate>) =>
      choosePlainRunner([candidate(own), other], choice)?.runnerId;
    expect(chosenOf({})).toBe('r1');
    expect(chosenOf({ownWork: 3})).toBe('r2');
    expect(chosenOf({isSuspect: true})).toBe('r2');
    expect(choosePlainRunner([], choice)).toBeUndefined();
  });
});
