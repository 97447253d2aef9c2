import type {Clock, Logger} from '@banyanfold/core';
import type {RunnerStart} from '../types.js';

interface Backoff {
  /** Identifies the start of the runner that asked for it. */
  bornMs: number;
  untilMs: number;
}

/**
 * Longest pause that a runner is believed to ask for. A longer one is taken for
 * an error, because it would shut the runner out for good.
 */
export const MAX_BACKOFF_MS = 300_000;

/**
 * Pauses that runners have asked this process for in responses with 503. A
 * runner asks each process by itself, so they aren't reported to other entries.
 */
export class RunnerBackoffs {
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly deps: {clock: Clock; logger: Logger}) {}

  /**
   * Records a pause, counted from now. A shorter one doesn't end a longer one
   * that was asked for before.
   *
   * @example backoffs.record({runnerId: 'i-1', bornMs: 0}, 3_000)
   */
  record({runnerId, bornMs}: RunnerStart, forMs: number): void {
    const {clock, logger} = this.deps;
    if (forMs > MAX_BACKOFF_MS) {
      logger.warn('runner-backoff-ignored', {runner: runnerId, forMs});
      return;
    }
    const nowMs = clock.nowMs();
    const last = this.backoffs.get(runnerId);
    // A response from before a restart may arrive after one from after it.
    if (last && last.bornMs > bornMs) return;
    const isSameStart = last?.bornMs === bornMs;
    const untilMs = nowMs + forMs;
    if (isSameStart && untilMs <= last.untilMs) return;
    this.backoffs.set(runnerId, {bornMs, untilMs});
    if (isSameStart && last.untilMs > nowMs) return;
    logger.info('runner-backoff', {
      runner: runnerId,
      forMs: Math.round(forMs),
      source: 'response',
    });
  }

  /**
   * Time until the runner takes requests again, in ms; 0 if it takes them, also
   * because it has restarted since it asked for a pause.
   *
   * @example backoffs.remainingMs({runnerId: 'i-1', bornMs: 0}) // 2900
   */
  remainingMs({runnerId, bornMs}: RunnerStart): number {
    const backoff = this.backoffs.get(runnerId);
    if (backoff?.bornMs !== bornMs) return 0;
    return Math.max(0, backoff.untilMs - this.deps.clock.nowMs());
  }

  /** Drops pauses that are over. */
  prune(): void {
    const nowMs = this.deps.clock.nowMs();
    for (const [runnerId, {untilMs}] of this.backoffs) {
      if (untilMs <= nowMs) this.backoffs.delete(runnerId);
    }
  }
}
