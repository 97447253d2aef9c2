import {sleep, type Clock, type Logger} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {EngineClient} from '../engine/engineClient.js';
import type {CancelState} from '../engine/engineSchemas.js';

const MAX_RETRY_DELAY_MS = 2_000;

/** Options of an `EngineCanceller`. */
export interface EngineCancellerOptions {
  engine: Pick<EngineClient, 'cancel'>;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** A request that was sent can't arrive at the engine later than this. */
  orderLateBoundMs: number;
}

/**
 * Cancels requests at the engine and reports when their KV cache is free.
 *
 * A cancel can be lost. If its memory were then counted as free, new requests
 * would be admitted into memory that is still in use, so a cancel is retried
 * until the engine responds. A request that the engine never responded to and
 * doesn't know may still be in transit, so its memory stays reserved until it
 * can no longer arrive.
 */
export class EngineCanceller {
  private stopped = false;

  constructor(private readonly options: EngineCancellerOptions) {}

  stop(): void {
    this.stopped = true;
  }

  /** Retries until the engine responds; undefined if stopped before. */
  async cancel(engineRequestId: string): Promise<CancelState | undefined> {
    const {engine, clock, random, logger} = this.options;
    const backoff = new Backoff({capMs: MAX_RETRY_DELAY_MS, random});
    while (!this.stopped) {
      const result = await engine.cancel(engineRequestId);
      if (result.isOk()) {
        const state = result.value;
        logger.info('cancel', {engineRequest: engineRequestId, state});
        return state;
      }
      await sleep(clock, backoff.nextDelayMs());
    }
    return undefined;
  }

  /** Cancels again once the request can no longer arrive at the engine. */
  async cancelAfterLateBound(engineRequestId: string): Promise<void> {
    await sleep(this.options.clock, this.options.orderLateBoundMs);
    await this.cancel(engineRequestId);
  }
}
