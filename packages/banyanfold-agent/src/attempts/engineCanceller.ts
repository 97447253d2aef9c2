import {sleep, type Clock, type Logger} from '@banyanfold/core';
import {Backoff} from '@banyanfold/platform';
import type {EngineClient} from '../engine/engineClient.js';

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
 * A cancel gets lost like anything else. Were its memory counted as free then,
 * the next requests would be admitted into memory that is in use. So it goes
 * again until it is answered. An engine that doesn't know the request may get
 * it yet, so the memory stays counted until it can't be under way any more.
 */
export class EngineCanceller {
  private stopped = false;

  constructor(private readonly options: EngineCancellerOptions) {}

  stop(): void {
    this.stopped = true;
  }

  /** Resolves when the engine can't be running the request any more. */
  async cancel(engineRequestId: string): Promise<void> {
    const {engine, clock, random, logger, orderLateBoundMs} = this.options;
    const backoff = new Backoff({capMs: RETRY_CAP_MS, random});
    const endMs = clock.nowMs() + orderLateBoundMs;
    while (!this.stopped) {
      const answer = await engine.cancel(engineRequestId);
      const state = answer.unwrapOr(undefined);
      const isPast = clock.nowMs() >= endMs;
      if (state === 'cancelled' || state === 'finished') break;
      if (state === 'unknown' && isPast) break;
      await sleep(clock, backoff.nextDelayMs());
    }
    logger.info('cancel', {engineRequest: engineRequestId});
  }
}
