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

export interface ClaimNotesOptions {
  appender: BatchAppender;
  clock: Clock;
  logger: Logger;
  random: () => number;
  owner: string;
  bodyLimitBytes: number;
}

const MAX_ATTEMPTS = 5;

/**
 * Appends what an owner has to say about its key. Both kinds of record are
 * idempotent, so unlike a claim they may be appended again after a failure.
 */
export class ClaimNotes {
  constructor(private readonly options: ClaimNotesOptions) {}

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
    return new ResultAsync(this.repeatAppend(record));
  }

  private async repeatAppend(
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
