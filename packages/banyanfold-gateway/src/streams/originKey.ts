import {createHash} from 'node:crypto';

/** Callers choose their ids; longer ones are replaced by a digest. */
const MAX_ID_LENGTH = 64;

/**
 * Returns the key under which the origin of a stream is recorded.
 *
 * @example originKey('9c41d07be2a35f68') // '9c41d07be2a35f68'
 */
export function originKey(requestId: string): string {
  if (requestId.length <= MAX_ID_LENGTH) return requestId;
  return createHash('sha256').update(requestId).digest('hex');
}
