import {
  BanyanfoldError,
  runInBackground,
  type Clock,
  type Logger,
} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {AppendResponse, LogService, StreamName} from './types.js';

export interface BatchAppenderOptions {
  log: LogService;
  stream: StreamName;
  clock: Clock;
  logger: Logger;
  /** How long the first value of a batch waits for further values. */
  lingerMs?: number;
  maxBatchSize?: number;
  /** Further values are refused at once. */
  maxPending?: number;
}

export const DEFAULT_BATCH_OPTIONS = {
  lingerMs: 4,
  maxBatchSize: 200,
  maxPending: 2_000,
} as const;

type Settle = (result: Result<number, BanyanfoldError>) => void;

interface PendingAppend {
  value: unknown;
  settle: Settle;
}

/**
 * Batches the values of many callers into few calls, with one call in flight.
 * The log accepts several hundred appends per second, and each may carry many
 * records. A lost response is `append-unknown` for every caller in the batch.
 *
 * @example
 * const appender = new BatchAppender({log, stream: 'claims', clock, logger});
 * const offset = await appender.append(claim);
 */
export class BatchAppender {
  private readonly options: Required<BatchAppenderOptions>;
  private pending: PendingAppend[] = [];
  private isScheduled = false;

  constructor(options: BatchAppenderOptions) {
    this.options = {...DEFAULT_BATCH_OPTIONS, ...options};
  }

  /** @returns the value's offset, or `log-unavailable` or `append-unknown`. */
  append(value: unknown): ResultAsync<number, BanyanfoldError> {
    if (this.pending.length >= this.options.maxPending) {
      const full = this.createError(
        'log-unavailable',
        'too many pending appends',
      );
      return new ResultAsync(Promise.resolve(err(full)));
    }
    const settled = new Promise<Result<number, BanyanfoldError>>(settle => {
      this.pending.push({value, settle});
    });
    this.schedule();
    return new ResultAsync(settled);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock, lingerMs} = this.options;
    clock.setTimer(lingerMs, () => {
      const {logger, stream} = this.options;
      runInBackground({logger, step: 'append', peer: stream}, () =>
        this.flush(),
      );
    });
  }

  private async flush(): Promise<void> {
    const {log, stream, maxBatchSize} = this.options;
    const batch = this.pending.splice(0, maxBatchSize);
    const values = batch.map(({value}) => value);
    try {
      this.settleAll(batch, await log.append(stream, values));
    } finally {
      this.isScheduled = false;
      if (this.pending.length > 0) this.schedule();
    }
  }

  private settleAll(
    batch: PendingAppend[],
    appended: Result<AppendResponse, BanyanfoldError>,
  ): void {
    batch.forEach(({settle}, index) => {
      settle(
        appended.andThen(response =>
          this.offsetAt(response, index, batch.length),
        ),
      );
    });
  }

  private offsetAt(
    {firstOffset, lastOffset}: AppendResponse,
    index: number,
    size: number,
  ): Result<number, BanyanfoldError> {
    if (lastOffset - firstOffset + 1 === size) return ok(firstOffset + index);
    const message = `offsets ${firstOffset} to ${lastOffset} for ${size} values`;
    return err(this.createError('append-unknown', message));
  }

  private createError(code: string, message: string): BanyanfoldError {
    const step = `append-${this.options.stream}`;
    return new BanyanfoldError(code, message, {step, peer: 'log'});
  }
}
