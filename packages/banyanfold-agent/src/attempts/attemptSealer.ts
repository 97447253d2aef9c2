import type {Clock, Logger} from '@banyanfold/core';
import type {SealResult} from '@banyanfold/protocol';
import type {AttemptRegistry} from './attemptRegistry.js';

/** Options of an `AttemptSealer`. */
export interface AttemptSealerOptions {
  clock: Clock;
  logger: Logger;
  registry: AttemptRegistry;
  /**
   * For this long after the start, a seal that names no incarnation may refer
   * to an attempt of an earlier one.
   */
  graceMs: number;
  isOwnIncarnation(incarnation: number): boolean;
}

/**
 * Reports whether an attempt has started, and prevents it from starting later.
 *
 * An attempt that this process never received may have run in the previous one.
 * `never-started` would then be false, and the caller would repeat a request
 * that has run. It is therefore returned only for attempts sent to this
 * process: the seal names its incarnation or arrives long after the start.
 */
export class AttemptSealer {
  private readonly startedAtMs: number;

  constructor(private readonly options: AttemptSealerOptions) {
    this.startedAtMs = options.clock.nowMs();
  }

  seal(attemptId: string, incarnation?: number): SealResult['state'] {
    const isRegistered = this.options.registry.has(attemptId);
    const sealed = this.options.registry.seal(attemptId);
    const isForThisProcess =
      isRegistered || this.targetsThisProcess(incarnation);
    const state = isForThisProcess ? sealed : 'unknown';
    this.options.logger.info('seal', {attempt: attemptId, incarnation, state});
    return state;
  }

  private targetsThisProcess(incarnation: number | undefined): boolean {
    const {clock, graceMs, isOwnIncarnation} = this.options;
    if (incarnation !== undefined) return isOwnIncarnation(incarnation);
    return clock.nowMs() - this.startedAtMs >= graceMs;
  }
}
