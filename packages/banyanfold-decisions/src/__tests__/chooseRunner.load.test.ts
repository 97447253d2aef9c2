import {describe, expect, it} from 'vitest';
import {
  chooseRunner,
  DEFAULT_CHOOSE_RUNNER_OPTIONS,
  type ChooseRunnerOptions,
} from '../chooseRunner.js';

const RUNNERS = ['r1', 'r2', 'r3', 'r4'];
/** Thousands of prompt tokens that a runner reads per ms. */
const WORK_READ_PER_MS = 0.038;
const SHARED_WORK = 6.3;
const OWN_WORK = 2.9;
const TARGET_MS = 800;
/** Age of an entry's state of the work of other entries. */
const STATE_AGE_MS = 250;

interface LoadOptions {
  requestsPerSecond: number;
  durationMs: number;
  /** Share of the requests that belong to one group of prompts. */
  burstShare: number;
  groups: number;
  options?: ChooseRunnerOptions;
}

interface SimulatedRunner {
  freeAtMs: number;
  cached: Set<string>;
  /**
   * Interval from which the work waits at the runner until it has been read.
   */
  queued: Array<{fromMs: number; toMs: number; work: number}>;
}

/** Simulates requests one after the other; returns the share within target. */
function simulate({
  requestsPerSecond,
  durationMs: forMs,
  burstShare,
  groups,
  options = DEFAULT_CHOOSE_RUNNER_OPTIONS,
}: LoadOptions): number {
  const runners = new Map<string, SimulatedRunner>(
    RUNNERS.map(id => [id, {freeAtMs: 0, cached: new Set(), queued: []}]),
  );
  const stepMs = 1000 / requestsPerSecond;
  let inTarget = 0;
  let requested = 0;
  for (let nowMs = 0; nowMs < forMs; nowMs += stepMs) {
    requested += 1;
    const isBurst = requested % Math.round(1 / burstShare) === 0;
    const group = isBurst ? 'burst' : `g${requested % groups}`;
    const visibleMs = nowMs - STATE_AGE_MS;
    const choices = RUNNERS.map(runnerId => ({
      runnerId,
      failureDomain: 'hall-a',
      openWork: waitingWorkAt(runners.get(runnerId)!, visibleMs),
      hasAdapter: true,
      isSuspect: false,
    }));
    const affinity = {key: group, sharedWork: SHARED_WORK};
    const {runnerId} = chooseRunner(
      choices,
      affinity,
      'hall-a',
      undefined,
      options,
    )!;
    const runner = runners.get(runnerId)!;
    const isCached = runner.cached.has(group);
    runner.cached.add(group);
    const work = OWN_WORK + (isCached ? 0 : SHARED_WORK);
    const startMs = Math.max(nowMs, runner.freeAtMs);
    runner.freeAtMs = startMs + work / WORK_READ_PER_MS;
    runner.queued.push({fromMs: nowMs, toMs: runner.freeAtMs, work});
    if (runner.freeAtMs - nowMs <= TARGET_MS) inTarget += 1;
  }
  return inTarget / requested;
}

function waitingWorkAt({queued}: SimulatedRunner, atMs: number): number {
  return queued
    .filter(({fromMs, toMs}) => fromMs <= atMs && toMs > atMs)
    .reduce((sum, {work}) => sum + work, 0);
}

function withSlack(slackWork: number): ChooseRunnerOptions {
  return {...DEFAULT_CHOOSE_RUNNER_OPTIONS, slackWork};
}

describe('chooseRunner under load', () => {
  it('keeps first tokens in target while one group of prompts bursts', () => {
    // Guards against a bound that is too wide. At 32 requests per second and
    // four runners, half of the requests share one prompt, about as many as one
    // runner can read. Bounded by what the cache saves, the burst spreads and
    // 94% are in target. With a bound that is wider by 21,000 tokens, it queues
    // at one runner after the other: 83%.
    const load = {
      requestsPerSecond: 32,
      durationMs: 20_000,
      burstShare: 0.5,
      groups: 40,
    };
    const share = simulate(load);
    expect(share).toBeGreaterThan(0.9);
    expect(share - simulate({...load, options: withSlack(24)})).toBeGreaterThan(
      0.05,
    );
  });

  it('keeps shared prompts where they are cached while none is hot', () => {
    // Guards against the loss of affinity. At 24 requests per second in 40
    // groups, choosing the least loaded runner makes every runner read every
    // shared prefix, and 64% are in target; with affinity 92% are.
    const load = {
      requestsPerSecond: 24,
      durationMs: 20_000,
      burstShare: 0.02,
      groups: 40,
    };
    const share = simulate(load);
    expect(share).toBeGreaterThan(0.88);
    const leastLoaded = simulate({
      ...load,
      options: withSlack(0.1 - SHARED_WORK),
    });
    expect(share - leastLoaded).toBeGreaterThan(0.1);
  });
});
