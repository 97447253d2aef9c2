import type {Clock, Timer} from '@banyanfold/core';

/**
 * Calls a function repeatedly, with an interval between the end of one call and
 * the start of the next.
 *
 * @returns a function that stops the repetition.
 * @example const stop = repeatEvery(clock, 500, () => connections.closeIdle());
 */
export function repeatEvery(
  clock: Clock,
  intervalMs: number,
  callback: () => void,
): () => void {
  let timer: Timer;
  const schedule = () => {
    timer = clock.setTimer(intervalMs, () => {
      callback();
      schedule();
    });
  };
  schedule();
  return () => timer.cancel();
}
