import type {Clock, Timer} from '@banyanfold/core';

/**
 * Does something at an interval, counted from the end of the time before.
 *
 * @returns what ends it.
 * @example const stop = repeatEvery(clock, 500, () => states.judge());
 */
export function repeatEvery(
  clock: Clock,
  intervalMs: number,
  work: () => void,
): () => void {
  let timer: Timer;
  const arm = () => {
    timer = clock.setTimer(intervalMs, () => {
      work();
      arm();
    });
  };
  arm();
  return () => timer.cancel();
}
