import {BanyanfoldError} from '@banyanfold/core';
import {err, errAsync, ok, okAsync, ResultAsync, type Result} from 'neverthrow';
import type {LogService, StreamName} from './types.js';

/** A value that can be told from all others, also when it was sent twice. */
export interface NoncedValue {
  nonce: string;
}

export interface AppendOnceOptions<T extends NoncedValue = NoncedValue> {
  log: LogService;
  stream: StreamName;
  value: T;
  /**
   * The search for a lost record begins here: an offset that the log had not
   * passed before the append. Left out, the whole stream is searched.
   */
  fromOffset?: number;
  /**
   * The code when an answer was lost and the record isn't in the log.
   * `log-unavailable`, the default, is for those who cope with a record that
   * arrives after the search, as a delayed packet can.
   */
  notFoundCode?: 'log-unavailable' | 'append-unknown';
}

const SEARCH_PAGE_LIMIT = 500;

/**
 * Appends a value with a nonce. When the answer is lost it reads the log for
 * the nonce before it decides, and never appends a second time.
 *
 * @returns the record's offset; or `log-unavailable`: it isn't in the log as
 *     far as that could be read; or `append-unknown`: the log couldn't be
 *     read either.
 * @example
 * const offset = await appendOnce({log, stream: 'fences',
 *   value: {kind: 'fence', vmId, nonce: randomUUID()}});
 */
export function appendOnce<T extends NoncedValue>(
  options: AppendOnceOptions<T>,
): ResultAsync<number, BanyanfoldError> {
  const {log, stream, value} = options;
  return log
    .append(stream, [value])
    .map(({firstOffset}) => firstOffset)
    .orElse(error => {
      if (error.code !== 'append-unknown') return errAsync(error);
      return findLost(options, error);
    });
}

function findLost(
  options: AppendOnceOptions,
  lost: BanyanfoldError,
): ResultAsync<number, BanyanfoldError> {
  const {notFoundCode = 'log-unavailable'} = options;
  return findNonce(options).andThen(offset => {
    if (offset !== undefined) return okAsync(offset);
    const message = `${lost.message}; the record is not in the log`;
    const {step, peer} = lost;
    return errAsync(
      new BanyanfoldError(notFoundCode, message, {step, peer}, {cause: lost}),
    );
  });
}

/** Reads to the end of the stream as it is now. */
function findNonce(
  options: AppendOnceOptions,
): ResultAsync<number | undefined, BanyanfoldError> {
  return new ResultAsync(searchPages(options));
}

async function searchPages({
  log,
  stream,
  value,
  fromOffset = 1,
}: AppendOnceOptions): Promise<Result<number | undefined, BanyanfoldError>> {
  let position = fromOffset;
  let endOffset: number | undefined;
  for (;;) {
    const page = await log.read(stream, {
      fromOffset: position,
      limit: SEARCH_PAGE_LIMIT,
    });
    if (page.isErr()) {
      const {message, step, peer} = page.error;
      const place = {step, peer};
      const options = {cause: page.error};
      return err(
        new BanyanfoldError('append-unknown', message, place, options),
      );
    }
    const {records, nextOffset} = page.value;
    const found = records.find(record => hasNonce(record.value, value.nonce));
    if (found) return ok(found.offset);
    endOffset ??= nextOffset;
    position = (records.at(-1)?.offset ?? nextOffset - 1) + 1;
    if (position >= endOffset) return ok(undefined);
  }
}

function hasNonce(value: unknown, nonce: string): boolean {
  if (typeof value !== 'object' || value === null) return false;
  return 'nonce' in value && value.nonce === nonce;
}
