import {BanyanfoldError, type Clock} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {AppendResponse, LogService, StreamName} from './types.js';

export interface BatchAppenderOptions {
  log: LogService;
  stream: StreamName;
  clock: Clock;
  /** How long the first value waits for others. */
  lingerMs?: number;
  maxBatchSize?: number;
  /** Values beyond this are refused at once. */
  maxPending?: number;
}

export const DEFAULT_BATCH_OPTIONS = {
  lingerMs: 4,
  maxBatchSize: 200,
  maxPending: 2_000,
} as const;

type Settle = (result: Result<number, BanyanfoldError>) => void;

interface Waiting {
  value: unknown;
  settle: Settle;
}

/**
 * Appends values of many callers in few calls, one call in flight: the log
 * takes several hundred appends a second, and a call may carry many records.
 * A lost answer is `append-unknown` for every caller of that call.
 *
 * @example
 * const appender = new BatchAppender({log, stream: 'claims', clock});
 * const offset = await appender.append(claim);
 */
export class BatchAppender {
  private readonly options: Required<BatchAppenderOptions>;
  private waiting: Waiting[] = [];
  private isScheduled = false;

  constructor(options: BatchAppenderOptions) {
    this.options = {...DEFAULT_BATCH_OPTIONS, ...options};
  }

  /** @returns the value's own offset, or `log-unavailable`, `append-unknown`. */
  append(value: unknown): ResultAsync<number, BanyanfoldError> {
    if (this.waiting.length >= this.options.maxPending) {
      const full = this.fail('log-unavailable', 'too many appends wait');
      return new ResultAsync(Promise.resolve(err(full)));
    }
    const settled = new Promise<Result<number, BanyanfoldError>>(settle => {
      this.waiting.push({value, settle});
    });
    this.schedule();
    return new ResultAsync(settled);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock, lingerMs} = this.options;
    clock.setTimer(lingerMs, () => void this.flush());
  }

  private async flush(): Promise<void> {
    const {log, stream, maxBatchSize} = this.options;
    const batch = this.waiting.splice(0, maxBatchSize);
    const values = batch.map(({value}) => value);
    const answer = await log.append(stream, values);
    this.settleAll(batch, answer);
    this.isScheduled = false;
    if (this.waiting.length > 0) this.schedule();
  }

  private settleAll(
    batch: Waiting[],
    answer: Result<AppendResponse, BanyanfoldError>,
  ): void {
    batch.forEach(({settle}, index) => {
      settle(
        answer.andThen(given => this.offsetAt(given, index, batch.length)),
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
    return err(this.fail('append-unknown', message));
  }

  private fail(code: string, message: string): BanyanfoldError {
    const step = `append-${this.options.stream}`;
    return new BanyanfoldError(code, message, {step, peer: 'log'});
  }
}
