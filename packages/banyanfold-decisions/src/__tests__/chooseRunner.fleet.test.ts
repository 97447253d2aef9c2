import {describe, expect, it} from 'vitest';
import {
  chooseRunner,
  waterLevel,
  type ConcurrentArrivals,
} from '../chooseRunner.js';

const ENTRIES = 68;
const DOMAINS = 6;
/** Delay until entries know of each other's requests, in ms. */
const EXCHANGE_DELAY_MS = 350;
/** Prompts that arrive at 60 per second within that time. */
const PROMPTS_PER_DELAY = 21;
/** Work of one prompt, and of the prefix that it shares with others. */
const PROMPT_WORK = 9;
const SHARED_WORK = 6.3;
/** Thousands of prompt tokens that a runner reads per ms. */
const WORK_READ_PER_MS = 0.038;

interface Result {
  /** Prompts at the busiest runner, relative to the mean of all. */
  busiestToMean: number;
  /** Share of the prompts that went to their preferred runner. */
  preferred: number;
}

/** Deterministic generator, so that runs are repeatable. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/**
 * Simulates 60 prompts per second for one model from many entries. Each entry
 * sees its own requests immediately, and those of others after the exchange
 * delay.
 */
function simulate(
  startWork: number[],
  countsArrivals: boolean,
  prompts = 60,
): Result {
  const random = randomOf(7);
  const open = [...startWork];
  const visible = [...startWork];
  const ownSinceExchange = new Map<number, number[]>();
  const sent = open.map(() => 0);
  let preferred = 0;
  const stepMs = 1000 / 60;
  for (let i = 0; i < prompts; i++) {
    if (
      Math.floor((i * stepMs) / EXCHANGE_DELAY_MS) !==
      Math.floor(((i - 1) * stepMs) / EXCHANGE_DELAY_MS)
    ) {
      for (const [index, work] of open.entries()) visible[index] = work;
      ownSinceExchange.clear();
    }
    for (const [index, work] of open.entries()) {
      open[index] = Math.max(0, work - WORK_READ_PER_MS * stepMs);
    }
    const entry = Math.floor(random() * ENTRIES);
    const own = ownSinceExchange.get(entry) ?? open.map(() => 0);
    const choices = open.map((_work, index) => ({
      runnerId: `r${index}`,
      failureDomain: `d${index % DOMAINS}`,
      openWork: visible[index]! + own[index]!,
      hasAdapter: true,
      isSuspect: false,
    }));
    const affinity = {key: `m/${i % 44}`, sharedWork: SHARED_WORK};
    const arrivals: ConcurrentArrivals | undefined = countsArrivals
      ? {work: (60 * PROMPT_WORK * EXCHANGE_DELAY_MS) / 1000, random}
      : undefined;
    const domain = `d${entry % DOMAINS}`;
    const chosen = chooseRunner(choices, affinity, domain, arrivals)!.runnerId;
    const idle = choices.map(choice => ({...choice, openWork: 0}));
    if (chooseRunner(idle, affinity, domain)!.runnerId === chosen) preferred++;
    const index = Number(chosen.slice(1));
    open[index]! += PROMPT_WORK;
    own[index]! += PROMPT_WORK;
    ownSinceExchange.set(entry, own);
    sent[index]! += 1;
  }
  const busiestToMean = Math.max(...sent) / (prompts / sent.length);
  return {busiestToMean, preferred: preferred / prompts};
}

describe('chooseRunner over a large fleet', () => {
  it('does not send all prompts to a copy that was just loaded', () => {
    // Guards against all entries choosing the same copy. Five runners have 60
    // units of work open when a sixth copy is loaded. Every entry sees it idle
    // and learns of the others' requests after a third of a second. Without
    // counting concurrent arrivals, all prompts go to it.
    const work = [60, 60, 60, 60, 60, 0];
    expect(simulate(work, false, PROMPTS_PER_DELAY).busiestToMean).toBe(
      work.length,
    );
    expect(simulate(work, true, PROMPTS_PER_DELAY).busiestToMean).toBeLessThan(
      4,
    );
  });

  it('keeps prompts at their preferred runners while loads are equal', () => {
    const {busiestToMean, preferred} = simulate([20, 20, 20, 20, 20, 20], true);
    expect(preferred).toBeGreaterThan(0.8);
    expect(busiestToMean).toBeLessThan(2);
  });
});

describe('waterLevel', () => {
  it('fills the least loaded first, up to one level', () => {
    expect(waterLevel([0, 10, 50], 0)).toBe(0);
    expect(waterLevel([0, 10, 50], 20)).toBe(15);
    expect(waterLevel([50, 0, 10], 150)).toBe(70);
    expect(waterLevel([5], 3)).toBe(8);
  });
});
