import type {Clock} from '@banyanfold/core';
import {decidePromptWindow, type StreamPace} from '@banyanfold/decisions';

/** What the order of the requests that wait for a permit depends on. */
export interface PromptRank {
  /** 0 is the most urgent. */
  priority: number;
  /** Start of the request. Of two with the same priority the older goes first. */
  startedMs: number;
  /**
   * The organisation asks for more than its share. Within a priority, such
   * requests go after all others, which would otherwise wait behind its excess.
   */
  isOverShare?: boolean;
}

/** A request that waits for a permit. */
interface Waiter extends PromptRank {
  /**
   * Called with true when the permit is granted, with false when it is released
   * before.
   */
  resolve(isGranted: boolean): void;
}

interface GateState {
  window: number;
  /**
   * Permits of the prompts that were sent and are not read yet, oldest first.
   */
  unread: Set<{sentMs: number}>;
  /** In the order of {@link PromptRank}. */
  waiters: Waiter[];
}

/** A permit to send a prompt, granted or pending. */
export interface PromptPermit {
  /** Resolves to false if the permit is released before it is granted. */
  granted: Promise<boolean>;
  /** Grants a pending permit now, beyond the window. */
  grantNow(): void;
  /**
   * Releases the permit once the prompt is read or the request has ended.
   * Idempotent.
   */
  release(): void;
}

/**
 * In ms. Busy runners read half of the prompts within 0.1 s, and few after 1 s.
 */
const STALL_MS = 800;
/** Used until a stream reports its pauses. A window adapts quickly. */
const INITIAL_WINDOW = 4;

/**
 * Limits the number of unread prompts that an entry has at each runner. The
 * other requests wait here, the most urgent first, where they can still be
 * refused or go to another runner.
 */
export class PromptGate {
  private readonly states = new Map<string, GateState>();

  constructor(private readonly clock: Clock) {}

  /**
   * Requests a permit at a runner.
   *
   * @example gate.acquire('i-7f3a', {priority: 1, startedMs: clock.nowMs()})
   */
  acquire(runnerId: string, rank: PromptRank): PromptPermit {
    const state = this.getOrCreate(runnerId);
    const sent = {sentMs: 0};
    let isReleased = false;
    let waiter: Waiter | undefined;
    const granted = new Promise<boolean>(resolve => {
      const settle = (isGranted: boolean) => {
        sent.sentMs = this.clock.nowMs();
        if (isGranted) state.unread.add(sent);
        resolve(isGranted);
      };
      waiter = {...rank, resolve: settle};
      const laterIndex = state.waiters.findIndex(
        other => compareRanks(other, rank) > 0,
      );
      const index = laterIndex < 0 ? state.waiters.length : laterIndex;
      state.waiters.splice(index, 0, waiter);
    });
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      if (!state.unread.delete(sent)) this.removeWaiter(state, waiter!);
      this.grantNext(state);
    };
    const grantNow = () => {
      const index = state.waiters.indexOf(waiter!);
      if (index < 0) return;
      state.waiters.splice(index, 1);
      waiter!.resolve(true);
    };
    this.grantNext(state);
    return {granted, release, grantNow};
  }

  /**
   * Whether the window of a runner is full and its oldest prompt has been
   * unread for long. The runner hangs or has a long queue, and requests that
   * wait for it would time out.
   */
  isStalled(runnerId: string): boolean {
    const state = this.states.get(runnerId);
    if (!state || state.unread.size < Math.floor(state.window)) return false;
    const [oldest] = state.unread;
    return this.clock.nowMs() - oldest!.sentMs > STALL_MS;
  }

  recordPace(runnerId: string, pace: StreamPace): void {
    const state = this.getOrCreate(runnerId);
    state.window = decidePromptWindow(state.window, pace);
    this.grantNext(state);
  }

  /** Drops the state of removed runners that no request uses. */
  prune(isKnown: (runnerId: string) => boolean): void {
    for (const [runnerId, {unread, waiters}] of this.states) {
      const isInUse = unread.size > 0 || waiters.length > 0;
      if (!isInUse && !isKnown(runnerId)) this.states.delete(runnerId);
    }
  }

  private grantNext(state: GateState): void {
    while (state.unread.size < Math.floor(state.window)) {
      const next = state.waiters.shift();
      if (!next) return;
      next.resolve(true);
    }
  }

  private removeWaiter(state: GateState, waiter: Waiter): void {
    const index = state.waiters.indexOf(waiter);
    if (index >= 0) state.waiters.splice(index, 1);
    waiter.resolve(false);
  }

  private getOrCreate(runnerId: string): GateState {
    let state = this.states.get(runnerId);
    if (!state) {
      state = {window: INITIAL_WINDOW, unread: new Set(), waiters: []};
      this.states.set(runnerId, state);
    }
    return state;
  }
}

/** Returns a positive number if `a` goes after `b`. */
function compareRanks(a: PromptRank, b: PromptRank): number {
  const {isOverShare: isAOver = false} = a;
  const {isOverShare: isBOver = false} = b;
  return (
    a.priority - b.priority ||
    Number(isAOver) - Number(isBOver) ||
    a.startedMs - b.startedMs
  );
}
