import type {Clock} from '@banyanfold/core';
import {decidePromptWindow, type StreamPace} from '@banyanfold/decisions';

/** One request that waits for its prompt's turn. */
interface Waiting {
  priority: number;
  startedMs: number;
  /** True when it may go, false when it is over. */
  settle(mayGo: boolean): void;
}

interface GateState {
  window: number;
  /** When each prompt that is unread there was sent. */
  unread: Set<{sentMs: number}>;
  /** By priority, within one in order of coming. */
  waiting: Waiting[];
}

/** A turn that was given, or that is waited for. */
export interface PromptTurn {
  /** Settles with false when it was given back before it came. */
  come: Promise<boolean>;
  /** Takes the turn now, over the window, if it has not come. */
  goAhead(): void;
  /** The prompt is read, or will not be. Idempotent. */
  giveBack(): void;
}

/** In ms; half of the prompts at busy runners are read within 0.1 s, few after 1 s. */
const STALLED_MS = 800;
/** Before any stream has told of its pauses; a window grows and shrinks fast. */
const FIRST_WINDOW = 4;

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
  enter(runnerId: string, priority: number, startedMs: number): PromptTurn {
    const state = this.of(runnerId);
    const turn = {sentMs: 0};
    let isOver = false;
    let waiting: Waiting | undefined;
    const come = new Promise<boolean>(resolve => {
      const settle = (mayGo: boolean) => {
        turn.sentMs = this.clock.nowMs();
        if (mayGo) state.unread.add(turn);
        resolve(mayGo);
      };
      waiting = {priority, startedMs, settle};
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
      if (!state.unread.delete(turn)) this.drop(state, waiting!);
      this.letIn(state);
    };
    const goAhead = () => {
      const at = state.waiting.indexOf(waiting!);
      if (at < 0) return;
      state.waiting.splice(at, 1);
      waiting!.settle(true);
    };
    this.letIn(state);
    return {come, giveBack, goAhead};
  }

  /**
   * Its window is full of prompts that it has not read for long: it hangs, or
   * its queue is long. What waits for it would leave with them.
   */
  isStalled(runnerId: string): boolean {
    const state = this.states.get(runnerId);
    if (!state || state.unread.size < Math.floor(state.window)) return false;
    const [oldest] = state.unread;
    return this.clock.nowMs() - oldest!.sentMs > STALLED_MS;
  }

  notePace(runnerId: string, pace: StreamPace): void {
    const state = this.of(runnerId);
    state.window = decidePromptWindow(state.window, pace);
    this.letIn(state);
  }

  /** Forgets runners that are gone and that nobody waits for. */
  keepOnly(isKnown: (runnerId: string) => boolean): void {
    for (const [runnerId, {unread, waiting}] of this.states) {
      const isInUse = unread.size > 0 || waiting.length > 0;
      if (!isInUse && !isKnown(runnerId)) this.states.delete(runnerId);
    }
  }

  private letIn(state: GateState): void {
    while (state.unread.size < Math.floor(state.window)) {
      const next = state.waiting.shift();
      if (!next) return;
      next.settle(true);
    }
  }

  private drop(state: GateState, waiting: Waiting): void {
    const at = state.waiting.indexOf(waiting);
    if (at >= 0) state.waiting.splice(at, 1);
    waiting.settle(false);
  }

  private of(runnerId: string): GateState {
    let state = this.states.get(runnerId);
    if (!state) {
      state = {window: FIRST_WINDOW, unread: new Set(), waiting: []};
      this.states.set(runnerId, state);
    }
    return state;
  }
}
