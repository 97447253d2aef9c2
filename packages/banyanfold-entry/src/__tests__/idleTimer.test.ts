import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it, vi} from 'vitest';
import {IdleTimer} from '../attempts/idleTimer.js';

const IDLE_MS = 100;

function createWatch() {
  const clock = new VirtualClock();
  const onIdle = vi.fn();
  return {clock, onIdle, watch: new IdleTimer(clock, IDLE_MS, onIdle)};
}

describe('IdleTimer', () => {
  it('calls back once nothing was noted for a while', async () => {
    const {clock, onIdle} = createWatch();
    await clock.advance(IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    await clock.advance(IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });

  // Guards against streams that are given up after a stall of this process: its
  // timers run before it reads what has come in the meantime.
  it('hears what was read right after its time was over', async () => {
    const {clock, onIdle, watch} = createWatch();
    clock.setTimer(IDLE_MS, () => watch.recordActivity());
    await clock.advance(1.5 * IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    await clock.advance(IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });

  it('counts no time while it is paused', async () => {
    const {clock, onIdle, watch} = createWatch();
    watch.pause();
    await clock.advance(10 * IDLE_MS);
    expect(onIdle).not.toHaveBeenCalled();
    watch.recordActivity();
    await clock.advance(2 * IDLE_MS);
    expect(onIdle).toHaveBeenCalledTimes(1);
  });
});
