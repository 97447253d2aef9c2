import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {repeatEvery} from '../repeatEvery.js';

const INTERVAL_MS = 100;

describe('repeatEvery', () => {
  // Guards against periodic work that ends, with or without its process, after
  // one failure.
  it('goes on after failures and logs some of them', async () => {
    const clock = new VirtualClock();
    const logger = new MemoryLogger();
    let calls = 0;
    const stop = repeatEvery(
      {clock, logger, step: 'plan', intervalMs: INTERVAL_MS},
      () => {
        calls += 1;
        if (calls > 1) throw new Error('no plan');
      },
    );
    await clock.advance(INTERVAL_MS * 26);
    expect(calls).toBe(26);
    expect(logger.lines.map(line => /failures=(\d+)/.exec(line)?.[1])).toEqual([
      '1',
      '10',
    ]);
    stop();
    await clock.advance(INTERVAL_MS * 5);
    expect(calls).toBe(26);
  });
});
