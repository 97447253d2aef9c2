import {MemoryLogger, VirtualClock} from '@banyanfold/core';

/** A small seeded generator, so that a run can be repeated. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** A UUIDv7 made at a time; `serial` tells keys of one time apart. */
export function keyMadeAt(keyMs: number, serial = 0): string {
  const time = keyMs.toString(16).padStart(12, '0');
  const tail = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** What the parts under test are built on. */
export function createBasics(seed = 1) {
  const clock = new VirtualClock();
  return {clock, logger: new MemoryLogger(), random: createRandom(seed)};
}

/** Runs a promise while the virtual clock moves, for `forMs` at most. */
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
  if (!isDone) throw new Error('it did not settle on the virtual clock');
  return promise;
}
