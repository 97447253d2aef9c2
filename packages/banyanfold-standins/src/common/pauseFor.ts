import {sleep, type Clock} from '@banyanfold/core';

/** Waits, and with no delay goes on in the same turn. */
export async function pauseFor(clock: Clock, delayMs: number): Promise<void> {
  if (delayMs > 0) await sleep(clock, delayMs);
}
