import {MemoryLogger, VirtualClock} from '@banyanfold/core';

/** A seeded random number generator for reproducible runs. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/**
 * Creates a UUIDv7 for a time. `serial` distinguishes keys of the same time.
 */
export function keyMadeAt(keyMs: number, serial = 0): string {
  const time = keyMs.toString(16).padStart(12, '0');
  const tail = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** Creates the clock, logger and random generator for the code under test. */
export function createTestDependencies(seed = 1) {
  const clock = new VirtualClock();
  return {clock, logger: new MemoryLogger(), random: createRandom(seed)};
}

/** Advances the virtual clock until a promise settles, by `forMs` at most. */
export async function settle<T>(
  clock: VirtualClock,
  promise: PromiseLike<T>,
  forMs = 10_000,
): Promise<T> {
  let isDone = false;
  void Promise.resolve(promise).then(() => (isDone = true));
  const STEP_MS = 10;
  for (let passedMs = 0; passedMs < forMs && !isDone; passedMs += STEP_MS) {
    await clock.advance(STEP_MS);
  }
  if (!isDone) throw new Error('the promise did not settle in time');
  return promise;
}
