import {describe, expect, it} from 'vitest';
import {chooseRunner} from '../chooseRunner.js';

const RUNNERS = 6;
const CALLS_PER_SECOND = 83;
/** Time for which a call is in flight. */
const CALL_MS = 21;
const SECONDS = 20;

/** Deterministic generator, so that runs are repeatable. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/**
 * Returns the calls at the busiest runner, relative to the mean. Entries know
 * only their own work.
 */
function busiestToMean(entries: number): number {
  const random = randomOf(3);
  const open = Array.from({length: entries}, () =>
    new Array<number>(RUNNERS).fill(0),
  );
  const sent = new Array<number>(RUNNERS).fill(0);
  const ends: Array<{atMs: number; entry: number; runner: number}> = [];
  const calls = CALLS_PER_SECOND * SECONDS;
  for (let i = 0; i < calls; i++) {
    const nowMs = (i * 1000) / CALLS_PER_SECOND;
    while (ends.length > 0 && ends[0]!.atMs <= nowMs) {
      const {entry, runner} = ends.shift()!;
      open[entry]![runner]! -= 1;
    }
    const entry = Math.floor(random() * entries);
    const choices = open[entry]!.map((openWork, runner) => ({
      runnerId: `r${runner}`,
      failureDomain: 'hall-a',
      openWork,
      hasAdapter: true,
      isSuspect: false,
    }));
    const arrivals = {work: 0, random};
    const chosen = chooseRunner(choices, undefined, 'hall-a', arrivals);
    const runner = Number(chosen!.runnerId.slice(1));
    open[entry]![runner]! += 1;
    sent[runner]! += 1;
    ends.push({atMs: nowMs + CALL_MS, entry, runner});
  }
  return Math.max(...sent) / (calls / RUNNERS);
}

describe('chooseRunner for plain calls', () => {
  // Guards against entries that all choose the first of equal runners.
  it.each([1, 5, 26, 730])('spreads the calls of %i entries', entries => {
    expect(busiestToMean(entries)).toBeLessThan(1.25);
  });

  it('prefers the failure domain of the entry among equal runners', () => {
    const choices = ['hall-a', 'hall-b', 'hall-b'].map((failureDomain, i) => ({
      runnerId: `r${i}`,
      failureDomain,
      openWork: 0,
      hasAdapter: true,
      isSuspect: false,
    }));
    for (const drawn of [0, 0.4, 0.99]) {
      const arrivals = {work: 0, random: () => drawn};
      const chosen = chooseRunner(choices, undefined, 'hall-a', arrivals);
      expect(chosen?.runnerId).toBe('r0');
    }
  });
});
