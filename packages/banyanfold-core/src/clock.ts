import {startTimer, type Timer} from './startTimer.js';

/**
 * The only source of time in the program, so that tests can replace it by a
 * virtual clock. All values are in milliseconds.
 */
export interface Clock {
  /** Monotonic time, unaffected by changes of the wall clock. */
  nowMs(): number;
  /** Wall-clock time since the epoch. */
  wallMs(): number;
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  setTimer: (delayMs, callback) => startTimer(delayMs, callback),
};

interface PendingTimer {
  dueMs: number;
  sequence: number;
  callback: () => void;
}

/** A clock for tests that advances only through `advance`. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private sequence = 0;
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly epochMs = 1_700_000_000_000) {}

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.epochMs + this.currentMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.sequence++,
      callback,
    };
    this.pending.add(timer);
    return {cancel: () => this.pending.delete(timer)};
  }

  /** Advances the time by `deltaMs` and runs the due timers in order. */
  async advance(deltaMs: number): Promise<void> {
    const endMs = this.currentMs + deltaMs;
    for (;;) {
      await flushMicrotasks();
      const next = this.nextDue(endMs);
      if (!next) break;
      this.pending.delete(next);
      this.currentMs = next.dueMs;
      next.callback();
    }
    this.currentMs = endMs;
    await flushMicrotasks();
  }

  private nextDue(endMs: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.dueMs > endMs) continue;
      if (!earliest || isBefore(timer, earliest)) earliest = timer;
    }
    return earliest;
  }
}

function isBefore(a: PendingTimer, b: PendingTimer): boolean {
  if (a.dueMs !== b.dueMs) return a.dueMs < b.dueMs;
  return a.sequence < b.sequence;
}

/** Runs the promise callbacks of a timer before the next timer. */
function flushMicrotasks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Resolves after `delayMs` on the given clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(delayMs, resolve);
  });
}
