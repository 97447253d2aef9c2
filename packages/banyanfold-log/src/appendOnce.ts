import {BanyanfoldError} from '@banyanfold/core';
import {err, errAsync, ok, okAsync, ResultAsync, type Result} from 'neverthrow';
import type {LogService, StreamName} from './types.js';

/** A value with a unique nonce, by which its record is found in the log. */
export interface NoncedValue {
  nonce: string;
}

export interface AppendOnceOptions<T extends NoncedValue = NoncedValue> {
  log: LogService;
  stream: StreamName;
  value: T;
  /**
   * The offset from which to search for a lost record. It must not be after the
   * end of the stream before the append. Defaults to the start of the stream.
   */
  fromOffset?: number;
  /**
   * The error code if the response was lost and the record is not in the log.
   * The default, `log-unavailable`, is for callers that tolerate a record that
   * is appended after the search, for example because of a delayed packet.
   */
  notFoundCode?: 'log-unavailable' | 'append-unknown';
}

const SEARCH_PAGE_LIMIT = 500;

/**
 * Appends a value with a nonce. If the response is lost, it searches the log
 * for the nonce. It never appends the value a second time.
 *
 * @returns the record's offset, or an error: `log-unavailable` (nothing was
 *     appended, or the search did not find the record; see `notFoundCode`) or
 *     `append-unknown` (the log could not be searched).
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
      return findLostRecord(options, error);
    });
}

function findLostRecord(
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

/** Searches the stream up to its current end. */
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
