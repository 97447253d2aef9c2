import {describe, expect, it} from 'vitest';
import {
  chooseRunner,
  waterLevel,
  type ConcurrentArrivals,
} from '../chooseRunner.js';

const ENTRIES = 68;
const DOMAINS = 6;
/** What entries know of each other's requests is this old, in ms. */
const TOLD_MS = 350;
/** Prompts of 60 a second within that time. */
const UNHEARD_PROMPTS = 21;
/** Work of one prompt, and of the part that it shares with others. */
const PROMPT_WORK = 9;
const SHARED_WORK = 6.3;
/** Thousands of prompt tokens that a runner reads in a ms. */
const READ_PER_MS = 0.038;

interface Played {
  /** Most prompts of one runner, against the mean of all. */
  busiestToMean: number;
  /** Share of the prompts that went where their shared part is preferred. */
  preferred: number;
}

/** A small generator, so that a play repeats. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/**
 * Plays 60 prompts a second for one model from many entries. Each sees its own
 * requests at once, those of others when they are told.
 */
function play(startWork: number[], countsFlow: boolean, prompts = 60): Played {
  const random = randomOf(7);
  const open = [...startWork];
  const told = [...startWork];
  const sinceTold = new Map<number, number[]>();
  const sent = open.map(() => 0);
  let preferred = 0;
  const stepMs = 1000 / 60;
  for (let i = 0; i < prompts; i++) {
    if (
      Math.floor((i * stepMs) / TOLD_MS) !==
      Math.floor(((i - 1) * stepMs) / TOLD_MS)
    ) {
      for (const [k, work] of open.entries()) told[k] = work;
      sinceTold.clear();
    }
    for (const [k, work] of open.entries()) {
      open[k] = Math.max(0, work - READ_PER_MS * stepMs);
    }
    const entry = Math.floor(random() * ENTRIES);
    const own = sinceTold.get(entry) ?? open.map(() => 0);
    const choices = open.map((_work, k) => ({
      runnerId: `r${k}`,
      failureDomain: `d${k % DOMAINS}`,
      openWork: told[k]! + own[k]!,
      hasAdapter: true,
      isSuspect: false,
    }));
    const affinity = {key: `m/${i % 44}`, sharedWork: SHARED_WORK};
    const flow: ConcurrentArrivals | undefined = countsFlow
      ? {work: (60 * PROMPT_WORK * TOLD_MS) / 1000, random}
      : undefined;
    const domain = `d${entry % DOMAINS}`;
    const chosen = chooseRunner(choices, affinity, domain, flow)!.runnerId;
    const idle = choices.map(choice => ({...choice, openWork: 0}));
    if (chooseRunner(idle, affinity, domain)!.runnerId === chosen) preferred++;
    const k = Number(chosen.slice(1));
    open[k]! += PROMPT_WORK;
    own[k]! += PROMPT_WORK;
    sinceTold.set(entry, own);
    sent[k]! += 1;
  }
  const busiestToMean = Math.max(...sent) / (prompts / sent.length);
  return {busiestToMean, preferred: preferred / prompts};
}

describe('chooseRunner over a large fleet', () => {
  it('does not send all entries to the copy that has just come', () => {
    // Load: five runners have 60 open, and a copy of their model comes up at a
    // sixth. All entries see it idle, and none hears of the others' requests for
    // a third of a second; without counting those, all went to it.
    const work = [60, 60, 60, 60, 60, 0];
    expect(play(work, false, UNHEARD_PROMPTS).busiestToMean).toBe(work.length);
    expect(play(work, true, UNHEARD_PROMPTS).busiestToMean).toBeLessThan(4);
  });

  it('leaves prompts where their shared part is while runners are alike', () => {
    const {busiestToMean, preferred} = play([20, 20, 20, 20, 20, 20], true);
    expect(preferred).toBeGreaterThan(0.8);
    expect(busiestToMean).toBeLessThan(2);
  });
});

describe('waterLevel', () => {
  it('fills the least loaded first, all to one height', () => {
    expect(waterLevel([0, 10, 50], 0)).toBe(0);
    expect(waterLevel([0, 10, 50], 20)).toBe(15);
    expect(waterLevel([50, 0, 10], 150)).toBe(70);
    expect(waterLevel([5], 3)).toBe(8);
  });
});
