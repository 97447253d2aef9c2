import type {Clock} from '@banyanfold/core';
import {decideWindow, type StreamPace} from '@banyanfold/decisions';

/** One request that waits for its prompt's turn. */
interface Waiter {
  priority: number;
  startedMs: number;
  /** True when it may go, false when it is over. */
  resolve(isGranted: boolean): void;
}

interface GateState {
  window: number;
  /** When each prompt that is unread there was sent. */
  unread: Set<{sentMs: number}>;
  /** By priority, within one in order of coming. */
  waiting: Waiter[];
}

/** A turn that was given, or that is waited for. */
export interface PromptPermit {
  /** Settles with false when it was given back before it came. */
  granted: Promise<boolean>;
  /** Takes the turn now, over the window, if it has not come. */
  grantNow(): void;
  /** The prompt is read, or will not be. Idempotent. */
  release(): void;
}

/** In ms; half of the prompts at busy runners are read within 0.1 s, few after 1 s. */
const STALL_MS = 800;
/** Before any stream has told of its pauses; a window grows and shrinks fast. */
const INITIAL_WINDOW = 4;

/**
 * Lets an entry have only so many prompts unread at each runner; the rest wait
 * here, the most urgent first, where their callers can still be refused or go to
 * another runner.
 */
export class PromptGate {
  private readonly states = new Map<string, GateState>();

  constructor(private readonly clock: Clock) {}

  /**
   * Waits for a turn at a runner.
   *
   * @param startedMs when the request came; of two alike the older one goes first.
   */
  acquire(runnerId: string, priority: number, startedMs: number): PromptPermit {
    const state = this.getOrCreate(runnerId);
    const turn = {sentMs: 0};
    let isOver = false;
    let waiting: Waiter | undefined;
    const come = new Promise<boolean>(resolve => {
      const settle = (mayGo: boolean) => {
        turn.sentMs = this.clock.nowMs();
        if (mayGo) state.unread.add(turn);
        resolve(mayGo);
      };
      waiting = {priority, startedMs, resolve: settle};
      const after = state.waiting.findIndex(
        other =>
          other.priority > priority ||
          (other.priority === priority && other.startedMs > startedMs),
      );
      const at = after < 0 ? state.waiting.length : after;
      state.waiting.splice(at, 0, waiting);
    });
    const giveBack = () => {
      if (isOver) return;
      isOver = true;
      if (!state.unread.delete(turn)) this.removeWaiter(state, waiting!);
      this.grantNext(state);
    };
    const goAhead = () => {
      const at = state.waiting.indexOf(waiting!);
      if (at < 0) return;
      state.waiting.splice(at, 1);
      waiting!.resolve(true);
    };
    this.grantNext(state);
    return {granted: come, release: giveBack, grantNow: goAhead};
  }

  /**
   * Its window is full of prompts that it has not read for long: it hangs, or
   * its queue is long. What waits for it would leave with them.
   */
  isStalled(runnerId: string): boolean {
    const state = this.states.get(runnerId);
    if (!state || state.unread.size < Math.floor(state.window)) return false;
    const [oldest] = state.unread;
    return this.clock.nowMs() - oldest!.sentMs > STALL_MS;
  }

  recordPace(runnerId: string, pace: StreamPace): void {
    const state = this.getOrCreate(runnerId);
    state.window = decideWindow(state.window, pace);
    this.grantNext(state);
  }

  /** Forgets runners that are gone and that nobody waits for. */
  prune(isKnown: (runnerId: string) => boolean): void {
    for (const [runnerId, {unread, waiting}] of this.states) {
      const isInUse = unread.size > 0 || waiting.length > 0;
      if (!isInUse && !isKnown(runnerId)) this.states.delete(runnerId);
    }
  }

  private grantNext(state: GateState): void {
    while (state.unread.size < Math.floor(state.window)) {
      const next = state.waiting.shift();
      if (!next) return;
      next.resolve(true);
    }
  }

  private removeWaiter(state: GateState, waiting: Waiter): void {
    const at = state.waiting.indexOf(waiting);
    if (at >= 0) state.waiting.splice(at, 1);
    waiting.resolve(false);
  }

  private getOrCreate(runnerId: string): GateState {
    let state = this.states.get(runnerId);
    if (!state) {
      state = {window: INITIAL_WINDOW, unread: new Set(), waiting: []};
      this.states.set(runnerId, state);
    }
    return state;
  }
}
