import type {Clock, Logger} from '@banyanfold/core';
import type {SealResult} from '@banyanfold/protocol';
import type {AttemptRegistry} from './attemptRegistry.js';

/** How a sealer is built. */
export interface AttemptSealerOptions {
  clock: Clock;
  logger: Logger;
  registry: AttemptRegistry;
  /** How long after the start an unnamed incarnation may be an earlier one. */
  graceMs: number;
  isOwnIncarnation(incarnation: number): boolean;
}

/**
 * Answers whether an attempt has started, and keeps it from starting.
 *
 * An attempt that this process never met may have run in the one before it.
 * `never-started` would then be a lie, and the caller would send a request
 * again that has run. So it is said only of attempts that were meant for this
 * process: the seal names the incarnation, or comes long after the start.
 */
export class AttemptSealer {
  private readonly startMs: number;

  constructor(private readonly options: AttemptSealerOptions) {
    this.startMs = options.clock.nowMs();
  }

  seal(attemptId: string, incarnation?: number): SealResult['state'] {
    const isKnown = this.options.registry.has(attemptId);
    const sealed = this.options.registry.seal(attemptId);
    const isOurs = isKnown || this.isMeantForUs(incarnation);
    const state = isOurs ? sealed : 'unknown';
    this.options.logger.info('seal', {attempt: attemptId, incarnation, state});
    return state;
  }

  private isMeantForUs(incarnation: number | undefined): boolean {
    const {clock, graceMs, isOwnIncarnation} = this.options;
    if (incarnation !== undefined) return isOwnIncarnation(incarnation);
    return clock.nowMs() - this.startMs >= graceMs;
  }
}
