import {sleep, type Clock, type Logger} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {EngineClient} from '../engine/engineClient.js';
import type {CancelState} from '../engine/engineSchemas.js';

const RETRY_CAP_MS = 2_000;

/** How a canceller is built. */
export interface EngineCancellerOptions {
  engine: Pick<EngineClient, 'cancel'>;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** After this long a request that was sent can't arrive any more. */
  orderLateBoundMs: number;
}

/**
 * Ends requests at the engine, and says when their KV cache is free.
 *
 * A cancel gets lost like anything else. Were the memory counted as free then,
 * the next requests would be admitted into memory that is in use. So it goes
 * again until it is answered. An engine that doesn't know a request which it
 * never answered may get it yet, so the memory of that stays counted until it
 * can't be under way any more.
 */
export class EngineCanceller {
  private stopped = false;

  constructor(private readonly options: EngineCancellerOptions) {}

  stop(): void {
    this.stopped = true;
  }

  /** Cancels; resolves to the engine's answer, or undefined when stopped. */
  async cancel(engineRequestId: string): Promise<CancelState | undefined> {
    const {engine, clock, random, logger} = this.options;
    const backoff = new Backoff({capMs: RETRY_CAP_MS, random});
    while (!this.stopped) {
      const answer = await engine.cancel(engineRequestId);
      if (answer.isOk()) {
        const state = answer.value;
        logger.info('cancel', {engineRequest: engineRequestId, state});
        return state;
      }
      await sleep(clock, backoff.nextDelayMs());
    }
    return undefined;
  }

  /** Cancels again after the time in which the request may still arrive. */
  async cancelAfterLateBound(engineRequestId: string): Promise<void> {
    await sleep(this.options.clock, this.options.orderLateBoundMs);
    await this.cancel(engineRequestId);
  }
}
