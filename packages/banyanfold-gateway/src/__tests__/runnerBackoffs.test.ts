import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {MAX_BACKOFF_MS, RunnerBackoffs} from '../runners/runnerBackoffs.js';

const START = {runnerId: 'r1', bornMs: 5};

let clock: VirtualClock;
let logger: MemoryLogger;
let backoffs: RunnerBackoffs;

beforeEach(() => {
  clock = new VirtualClock();
  logger = new MemoryLogger();
  backoffs = new RunnerBackoffs({clock, logger});
});

describe('RunnerBackoffs', () => {
  it('keeps a pause until its end', async () => {
    backoffs.record(START, 3_000);
    await clock.advance(2_999);
    expect(backoffs.remainingMs(START)).toBe(1);
    await clock.advance(1);
    expect(backoffs.remainingMs(START)).toBe(0);
    expect(backoffs.remainingMs({...START, runnerId: 'r2'})).toBe(0);
  });

  // Guards against a response that was under way ending a pause too early.
  it('keeps the pause that ends last', async () => {
    backoffs.record(START, 3_000);
    await clock.advance(100);
    backoffs.record(START, 1_000);
    expect(backoffs.remainingMs(START)).toBe(2_900);
    backoffs.record(START, 4_000);
    expect(backoffs.remainingMs(START)).toBe(4_000);
  });

  // Guards against a faulty value that shuts a runner out for good.
  it('ignores a pause that is too long to be true', () => {
    backoffs.record(START, MAX_BACKOFF_MS + 1);
    expect(backoffs.remainingMs(START)).toBe(0);
    backoffs.record(START, MAX_BACKOFF_MS);
    expect(backoffs.remainingMs(START)).toBe(MAX_BACKOFF_MS);
  });

  // Guards against a pause that outlasts the start of the runner that asked.
  it('keeps a pause for one start of the runner', () => {
    const restarted = {...START, bornMs: START.bornMs + 1};
    backoffs.record(START, 3_000);
    expect(backoffs.remainingMs(restarted)).toBe(0);
    backoffs.record(restarted, 1_000);
    backoffs.record(START, 5_000);
    expect(backoffs.remainingMs(restarted)).toBe(1_000);
  });

  // Guards against a log line for each of many requests that were under way.
  it('logs a pause once', async () => {
    for (let i = 0; i < 5; i++) {
      backoffs.record(START, 3_000);
      await clock.advance(10);
    }
    await clock.advance(5_000);
    backoffs.prune();
    backoffs.record(START, 250);
    expect(logger.lines.map(line => line.replace(/.*event=/, ''))).toEqual([
      'runner-backoff runner=r1 forMs=3000 source=response',
      'runner-backoff runner=r1 forMs=250 source=response',
    ]);
  });
});
