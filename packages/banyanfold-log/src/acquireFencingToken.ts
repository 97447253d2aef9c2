import type {BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import {appendOnce} from './appendOnce.js';
import {STREAMS, type LogService} from './types.js';

export interface FencingTokenOptions {
  log: LogService;
  vmId: string;
  /** A new one for each try, for example a random UUID. */
  nonce: string;
}

/**
 * Gets a fencing number: the offset of a record in the `fences` stream. The
 * log hands out each offset once and in rising order, so a later holder always
 * has a higher number, without anything kept on a disk. A record that arrives
 * after its answer was given up is a number nobody uses.
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
