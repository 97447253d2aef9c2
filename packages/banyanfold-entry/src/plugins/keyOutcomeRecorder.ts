import {sleep, type BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import type {EntryContext} from '../context.js';

const RETRY_MS = 2000;

type Append = () => ResultAsync<unknown, BanyanfoldError>;

/**
 * Writes the outcomes of keys to the log and retries through log outages.
 * Without a record, the outcome of a request that ran during an outage would
 * stay unknown at all other entries. The records are idempotent, so a retry
 * is safe.
 */
export class KeyOutcomeRecorder {
  private readonly inFlight = new Set<Promise<unknown>>();
  private stopped = false;

  constructor(private readonly context: EntryContext) {}

  /**
   * Appends a record, with retries until `keyHorizonMs` have passed or the
   * recorder is stopped. Resolves to whether the record was appended.
   */
  async record(append: Append): Promise<boolean> {
    const {clock, logger, random, settings} = this.context;
    const deadlineMs = clock.nowMs() + settings.keyHorizonMs;
    for (;;) {
      const failure = await this.tryAppend(append);
      if (!failure) return true;
      if (this.stopped || clock.nowMs() > deadlineMs) {
        const {code, step, peer} = failure;
        logger.error('key-outcome-lost', {code, step, peer});
        return false;
      }
      await sleep(clock, RETRY_MS * (1 + random()));
    }
  }

  /** Waits for appends in flight and stops retrying. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.inFlight);
  }

  private async tryAppend(
    append: Append,
  ): Promise<BanyanfoldError | undefined> {
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
