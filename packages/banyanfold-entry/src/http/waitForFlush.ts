import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';

/** How long a caller may keep its answer waiting. */
export interface StallLimit {
  clock: Clock;
  stallMs: number;
}

/**
 * Resolves once the caller has taken what was written, or is gone. A caller
 * that takes nothing for too long is cut off: its answer holds memory here and
 * a place at an accelerator, and it would hold them for ever.
 */
export function waitForFlush(
  res: ServerResponse,
  event: 'drain' | 'finish',
  {clock, stallMs}: StallLimit,
): Promise<void> {
  if (res.destroyed || res.writableFinished) return Promise.resolve();
  return new Promise(resolve => {
    const timer = clock.setTimer(stallMs, () => res.destroy());
    const settle = () => {
      timer.cancel();
      res.off(event, settle);
      res.off('close', settle);
      resolve();
    };
    res.once(event, settle);
    res.once('close', settle);
  });
}
