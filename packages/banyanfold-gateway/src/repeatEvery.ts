import {
  summarizeError,
  type Clock,
  type Logger,
  type Timer,
} from '@banyanfold/core';

export interface RepeatOptions {
  clock: Clock;
  logger: Logger;
  /** Names the work in the log. */
  step: string;
  /** Time between the end of one call and the start of the next. */
  intervalMs: number;
}

/** Of a series of failures, those whose number is a power of it are logged. */
const LOGGED_POWERS_OF = 10;

/**
 * Calls a function repeatedly. A failure is logged and doesn't end the
 * repetition, nor the process.
 *
 * @returns a function that stops the repetition.
 * @example
 * const stop = repeatEvery(
 *   {clock, logger, step: 'close-idle', intervalMs: 500},
 *   () => connections.closeIdle(),
 * );
 */
export function repeatEvery(
  {clock, logger, step, intervalMs}: RepeatOptions,
  callback: () => void,
): () => void {
  let timer: Timer;
  let failures = 0;
  const run = () => {
    try {
      callback();
      failures = 0;
    } catch (thrown) {
      failures += 1;
      const error = summarizeError(thrown);
      if (isPower(failures)) {
        logger.error('background-failed', {step, failures, error});
      }
    }
    schedule();
  };
  const schedule = () => {
    timer = clock.setTimer(intervalMs, run);
  };
  schedule();
  return () => timer.cancel();
}

function isPower(count: number): boolean {
  return Number.isInteger(Math.log10(count) / Math.log10(LOGGED_POWERS_OF));
}
