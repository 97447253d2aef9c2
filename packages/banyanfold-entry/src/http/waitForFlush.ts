import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';

/** How long a caller may go without reading from its answer. */
export interface StallLimit {
  clock: Clock;
  stallMs: number;
}

/**
 * Resolves once the caller has read what was written, or has disconnected. A
 * caller that stalls for too long is disconnected, because its answer would
 * hold memory here and a slot of an accelerator indefinitely.
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
