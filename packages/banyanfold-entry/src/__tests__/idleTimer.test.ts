import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it, vi} from 'vitest';
import {IdleTimer} from '../attempts/idleTimer.js';

const IDLE_MS = 100;

function createTimer() {
  const clock = new VirtualClock();
  const onIdle = vi.fn();
  return {clock, onIdle, idleTimer: new IdleTimer(clock, IDLE_MS, onIdle)};
}

describe('IdleTimer', () => {
  it('calls back after the idle time without activity', async () => {
    const {clock, onIdle} = createTimer();
    await clock.advance(IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    await clock.advance(IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });

  // Guards against breaking off active streams after a stall of this process,
  // when its timers run before it reads the pending input.
  it('counts activity right after the idle time is over', async () => {
    const {clock, onIdle, idleTimer} = createTimer();
    clock.setTimer(IDLE_MS, () => idleTimer.recordActivity());
    await clock.advance(1.5 * IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    await clock.advance(IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });

  it('counts no time while it is paused', async () => {
    const {clock, onIdle, idleTimer} = createTimer();
    idleTimer.pause();
    await clock.advance(10 * IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    idleTimer.recordActivity();
    await clock.advance(2 * IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });
});
