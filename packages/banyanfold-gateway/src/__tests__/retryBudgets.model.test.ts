import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryBudgets} from '../requests/retryBudgets.js';

const RETRY_RATIO = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 100;
const MS_PER_SECOND = 1000;
const SERVICE = 'desk';
const RUNS_PER_FLEET = 40;

/** Numbers of entries that the holder may tell, right or wrong. */
const TOLD_COUNTS = {
  never: () => undefined,
  right: (entries: number) => entries,
  one: () => 1,
  growing: (entries: number, nowMs: number) =>
    Math.max(1, Math.min(entries, Math.floor(nowMs / MS_PER_SECOND))),
  swinging: (entries: number, nowMs: number) =>
    Math.floor(nowMs / MS_PER_SECOND) % 2 ? 1 : entries,
  tooMany: (entries: number) => entries * 10,
} as const;
type ToldCount = keyof typeof TOLD_COUNTS;

/** Which entry gets the next request, of this many. */
const SPLITS = {
  even: (entries: number, random: number) => Math.floor(random * entries),
  one: () => 0,
  half: (entries: number, random: number) => Math.floor((random * entries) / 2),
  skewed: (entries: number, random: number) =>
    Math.floor(random ** 4 * entries),
} as const;
type Split = keyof typeof SPLITS;

interface Restart {
  atMs: number;
  /** Share of the entries that lose their state at that time. */
  share: number;
}

interface Play {
  entries: number;
  retrySlack: number;
  told: ToldCount;
  split: Split;
  /** Requests per second over all entries, in each phase. */
  phases: Array<{requestsPerSecond: number; lastsMs: number}>;
  /** Runners reject all requests from then on. */
  rejectingFromMs: number;
  /** How often runners reject each request that is retried. */
  rejections: number;
  restarts: Restart[];
  seed: number;
}

const playOf = (entries: number): fc.Arbitrary<Play> =>
  fc.record({
    entries: fc.constant(entries),
    retrySlack: fc.constantFrom(52, 96, 176),
    told: fc.constantFrom<ToldCount>(
      ...(Object.keys(TOLD_COUNTS) as ToldCount[]),
    ),
    split: fc.constantFrom<Split>(...(Object.keys(SPLITS) as Split[])),
    phases: fc.array(
      fc.record({
        requestsPerSecond: fc.constantFrom(0, 5, 60, 180, 600, 1_500),
        lastsMs: fc.integer({min: 200, max: 15_000}),
      }),
      {minLength: 1, maxLength: 4},
    ),
    rejectingFromMs: fc.integer({min: 0, max: 15_000}),
    rejections: fc.integer({min: 1, max: 6}),
    restarts: fc.array(
      fc.record({
        atMs: fc.integer({min: 0, max: 30_000}),
        share: fc.constantFrom(0.1, 0.5, 1),
      }),
      {maxLength: 8},
    ),
    seed: fc.integer(),
  });

/** Mulberry32, so that a seed reproduces the same play. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Entries that lose their budgets when they start again. */
class Fleet {
  private budgets: RetryBudgets[];

  constructor(
    private readonly play: Play,
    private readonly clock: VirtualClock,
    private readonly random: () => number,
  ) {
    this.budgets = Array.from({length: play.entries}, () => this.start());
  }

  pick(): RetryBudgets {
    const {split, entries} = this.play;
    return this.budgets[SPLITS[split](entries, this.random())]!;
  }

  restart(share: number): void {
    this.budgets = this.budgets.map(each =>
      this.random() < share ? this.start() : each,
    );
  }

  private start(): RetryBudgets {
    const {clock, random, play} = this;
    return new RetryBudgets({
      clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      retryRatio: RETRY_RATIO,
      retrySlack: play.retrySlack,
      retryWindowMs: WINDOW_MS,
      usedShare: 0.85,
      entryCount: () => TOLD_COUNTS[play.told](play.entries, clock.nowMs()),
      random,
    });
  }
}

/** Counts per step of the play, from which windows are summed. */
class StepCounts {
  private readonly sums = [0];

  push(count: number): void {
    this.sums.push(this.sums.at(-1)! + count);
  }

  /** Sum over steps from `from` up to but not including `to`. */
  between(from: number, to: number): number {
    const last = this.sums.length - 1;
    const at = (step: number) => this.sums[Math.min(last, Math.max(0, step))]!;
    return at(to) - at(from);
  }
}

/** Sends one request and retries it while the budget allows. */
function retriesOf(budgets: RetryBudgets, rejections: number): number {
  const budget = budgets.of(SERVICE);
  budget.recordAttempt();
  for (let retries = 0; retries < rejections; retries++) {
    if (budget.settle() < 1) return retries;
    budget.tryTake();
  }
  return rejections;
}

/** Returns the most retries of any window beyond what it allows. */
async function mostExcess(play: Play): Promise<number> {
  const {phases, restarts, rejectingFromMs, rejections, retrySlack} = play;
  const random = randomOf(play.seed);
  const clock = new VirtualClock();
  const fleet = new Fleet(play, clock, random);
  const requests = new StepCounts();
  const retries = new StepCounts();
  let steps = 0;
  let due = 0;
  for (const {requestsPerSecond, lastsMs} of phases) {
    for (let playedMs = 0; playedMs < lastsMs; playedMs += STEP_MS) {
      const nowMs = clock.nowMs();
      for (const {atMs, share} of restarts) {
        if (atMs >= nowMs && atMs < nowMs + STEP_MS) fleet.restart(share);
      }
      due += (requestsPerSecond * STEP_MS) / MS_PER_SECOND;
      const arrived = Math.floor(due);
      due -= arrived;
      let retried = 0;
      for (let i = 0; i < arrived; i++) {
        const isRejected = nowMs >= rejectingFromMs;
        retried += retriesOf(fleet.pick(), isRejected ? rejections : 0);
      }
      requests.push(arrived);
      retries.push(retried);
      steps += 1;
      await clock.advance(STEP_MS);
    }
  }
  const window = WINDOW_MS / STEP_MS;
  let excess = Number.NEGATIVE_INFINITY;
  for (let from = 0; from < steps; from++) {
    const counted = [0, window, window / 2].map(before =>
      requests.between(from - before, from - before + window),
    );
    const allowed = RETRY_RATIO * Math.max(...counted) + retrySlack;
    excess = Math.max(excess, retries.between(from, from + window) - allowed);
  }
  return excess;
}

describe('retries over all entries', () => {
  // Guards against shares of a budget that add up to more than the budget.
  it.each([6, 28, 70, 100, 300, 730])(
    'keep to what the deployment allows: %i entries',
    async entries => {
      await fc.assert(
        fc.asyncProperty(playOf(entries), async play => {
          expect(await mostExcess(play)).toBeLessThanOrEqual(0);
        }),
        {numRuns: RUNS_PER_FLEET, seed: 68},
      );
    },
  );
});
