import type {BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import {appendOnce} from './appendOnce.js';
import {STREAMS, type LogService} from './types.js';

export interface FencingTokenOptions {
  log: LogService;
  vmId: string;
  /** Unique for each attempt, for example a random UUID. */
  nonce: string;
}

/**
 * Acquires a fencing token, which is the offset of a new record in the `fences`
 * stream. The log assigns each offset once and in increasing order, so a later
 * holder always has a higher token, without local storage. A record that is
 * appended after its caller timed out is a token that nobody uses.
 *
 * @example
 * const fencing = await acquireFencingToken({log, vmId, nonce: randomUUID()});
 */
export function acquireFencingToken({
  log,
  vmId,
  nonce,
}: FencingTokenOptions): ResultAsync<number, BanyanfoldError> {
  const value = {kind: 'fence', vmId, nonce};
  return appendOnce({log, stream: STREAMS.fences, value});
}
