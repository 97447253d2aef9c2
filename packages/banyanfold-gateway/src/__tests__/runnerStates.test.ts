import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {workOf} from '../requests/workOf.js';
import {RunnerStates, type StartedWork} from '../runners/runnerStates.js';

const RUNNER = 'i-1';
const READ = {aheadWork: 0, tookMs: 20};

function newStates(): RunnerStates {
  return new RunnerStates(
    new VirtualClock(),
    new MemoryLogger(),
    DEFAULT_OPTIONS,
  );
}

function workWith(promptTokens: number, outputTokens: number): StartedWork {
  const work = workOf({requests: 1, promptTokens, outputTokens});
  return {priority: 1, model: 'm1', adapter: 'm1/a1', work};
}

const SOUND = workWith(450, 17);

describe('the open work of a runner', () => {
  // Guards against work that stays at a runner, and has all later requests
  // refused, after the request that it was counted for.
  it.each([
    [-1_000_000, 40],
    [1_000_000_000, 1_000_000_000],
    [200, 1e15],
    [900, -1_000_000],
    [0.1, 0.2],
  ])('is zero once requests with %d,%d tokens have ended', (prompt, output) => {
    const states = newStates();
    const sound = states.recordStart(RUNNER, 'desk', SOUND);
    const odd = states.recordStart(RUNNER, 'desk', workWith(prompt, output));
    sound.markRead(READ);
    sound.end();
    odd.markRead(READ);
    odd.end();
    expect(states.openWork(RUNNER)).toBe(0);
    expect(states.openRequests(RUNNER)).toBe(0);
    expect(states.ownOpenWork()).toEqual({});
    expect(states.ownModelsInUse()).toEqual({});
    expect(states.ownAdaptersInUse()).toEqual({});
  });

  // Guards against a request that is taken out of the sums twice, which would
  // hide the work of the others.
  it('loses a request once only', () => {
    const states = newStates();
    const first = states.recordStart(RUNNER, 'desk', SOUND);
    const second = states.recordStart(RUNNER, 'desk', SOUND);
    first.markRead(READ);
    first.markRead(READ);
    expect(states.openWork(RUNNER)).toBeCloseTo(0.484);
    first.end();
    first.end();
    first.markRead(READ);
    expect(states.openWork(RUNNER)).toBe(0.467);
    expect(states.openRequests(RUNNER)).toBe(1);
    second.end();
    expect(states.openWork(RUNNER)).toBe(0);
  });
});
