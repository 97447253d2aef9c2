import {soundDelayMs, startTimer, type Timer} from './startTimer.js';

/**
 * The only source of time in the program, so that tests can replace it by a
 * virtual clock. All values are in milliseconds.
 */
export interface Clock {
  /** Monotonic time, unaffected by changes of the wall clock. */
  nowMs(): number;
  /** Wall-clock time since the epoch. */
  wallMs(): number;
  /** Takes any delay; see {@link soundDelayMs}. */
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
  isCancelled: boolean;
}

/** A clock for tests that advances only through `advance`. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private sequence = 0;
  /** A binary heap, the timer that is due first at its root. */
  private readonly pending: PendingTimer[] = [];

  constructor(private readonly epochMs = 1_700_000_000_000) {}

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.epochMs + this.currentMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.currentMs + soundDelayMs(delayMs),
      sequence: this.sequence++,
      callback,
      isCancelled: false,
    };
    this.add(timer);
    return {
      cancel: () => {
        timer.isCancelled = true;
      },
    };
  }

  /** Advances the time by `deltaMs` and runs the due timers in order. */
  async advance(deltaMs: number): Promise<void> {
    const endMs = this.currentMs + deltaMs;
    for (;;) {
      await flushMicrotasks();
      const next = this.takeDue(endMs);
      if (!next) break;
      this.currentMs = next.dueMs;
      next.callback();
    }
    this.currentMs = endMs;
    await flushMicrotasks();
  }

  private takeDue(endMs: number): PendingTimer | undefined {
    for (;;) {
      const [first] = this.pending;
      if (!first || first.dueMs > endMs) return undefined;
      this.removeFirst();
      if (!first.isCancelled) return first;
    }
  }

  private add(timer: PendingTimer): void {
    const {pending} = this;
    let at = pending.push(timer) - 1;
    while (at > 0) {
      const parentAt = (at - 1) >> 1;
      const parent = pending[parentAt]!;
      if (isBefore(parent, timer)) break;
      pending[at] = parent;
      at = parentAt;
    }
    pending[at] = timer;
  }

  private removeFirst(): void {
    const {pending} = this;
    const last = pending.pop()!;
    if (pending.length === 0) return;
    let at = 0;
    for (;;) {
      let childAt = 2 * at + 1;
      const right = pending[childAt + 1];
      if (right && isBefore(right, pending[childAt]!)) childAt += 1;
      const child = pending[childAt];
      if (!child || isBefore(last, child)) break;
      pending[at] = child;
      at = childAt;
    }
    pending[at] = last;
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
