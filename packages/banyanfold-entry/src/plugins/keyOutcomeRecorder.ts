import {sleep, type BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import type {EntryContext} from '../context.js';

const RETRY_MS = 2000;

type Append = () => ResultAsync<unknown, BanyanfoldError>;

/**
 * Brings what came of keys to the log, however long that is out: a claim that
 * was lodged in an outage would otherwise stay "outcome unknown" for all who
 * ask another entry. The records are idempotent, so they may be repeated.
 */
export class KeyOutcomeRecorder {
  private readonly inFlight = new Set<Promise<unknown>>();
  private stopped = false;

  constructor(private readonly context: EntryContext) {}

  /** Appends now or later; resolves to whether it got there. */
  async record(append: Append): Promise<boolean> {
    const {clock, logger, random, settings} = this.context;
    const endMs = clock.nowMs() + settings.keyHorizonMs;
    for (;;) {
      const failure = await this.tryOnce(append);
      if (!failure) return true;
      if (this.stopped || clock.nowMs() > endMs) {
        const {code, step, peer} = failure;
        logger.error('key-outcome-lost', {code, step, peer});
        return false;
      }
      await sleep(clock, RETRY_MS * (1 + random()));
    }
  }

  /** Waits for the tries that are on their way; makes no further ones. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.inFlight);
  }

  private async tryOnce(append: Append): Promise<BanyanfoldError | undefined> {
    const outcome = append().match(
      () => undefined,
      error => error,
    );
    this.inFlight.add(outcome);
    const failure = await outcome;
    this.inFlight.delete(outcome);
    return failure;
  }
}
