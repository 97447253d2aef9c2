import {
  sleep,
  type BanyanfoldError,
  type Clock,
  type Logger,
} from '@banyanfold/core';
import {ResultAsync, type Result} from 'neverthrow';
import {Backoff} from './backoff.js';
import type {BatchAppender} from './batchAppender.js';
import type {
  FinishedRecord,
  FinishedRun,
  ReleasedRecord,
} from './claimRecords.js';

export interface ClaimUpdateAppenderOptions {
  appender: BatchAppender;
  clock: Clock;
  logger: Logger;
  random: () => number;
  owner: string;
  bodyLimitBytes: number;
}

const MAX_ATTEMPTS = 5;

/**
 * Appends the `finished` and `released` records of keys that this process owns.
 * Both are idempotent, so unlike a claim they are retried after a failure.
 */
export class ClaimUpdateAppender {
  constructor(private readonly options: ClaimUpdateAppenderOptions) {}

  finish(
    key: string,
    {status, body}: FinishedRun,
  ): ResultAsync<number, BanyanfoldError> {
    const {owner, bodyLimitBytes} = this.options;
    const isKept =
      body !== undefined && Buffer.byteLength(body) <= bodyLimitBytes;
    const kept = isKept ? {body} : {};
    return this.append({kind: 'finished', key, owner, status, ...kept});
  }

  release(
    key: string,
    claimOffset: number,
  ): ResultAsync<number, BanyanfoldError> {
    return this.append({kind: 'released', key, claimOffset});
  }

  private append(
    record: FinishedRecord | ReleasedRecord,
  ): ResultAsync<number, BanyanfoldError> {
    return new ResultAsync(this.appendWithRetries(record));
  }

  private async appendWithRetries(
    record: FinishedRecord | ReleasedRecord,
  ): Promise<Result<number, BanyanfoldError>> {
    const {appender, clock, logger, random} = this.options;
    const backoff = new Backoff({random});
    for (let attempt = 1; ; attempt++) {
      const offset = await appender.append(record);
      if (offset.isOk()) return offset;
      const {code, step, peer} = offset.error;
      const {kind} = record;
      logger.warn('claim-note-failed', {kind, code, step, peer, attempt});
      if (attempt === MAX_ATTEMPTS) return offset;
      await sleep(clock, backoff.nextDelayMs());
    }
  }
}
