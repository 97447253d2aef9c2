import {createHash} from 'node:crypto';

const SHORT_DIGEST_LENGTH = 8;

/**
 * What a caller's key is known by. The key itself is kept nowhere, so that it
 * can't get into a log line, an error or a metric.
 *
 * @example keyDigestOf('k7b2ex5w').length // 64
 */
export function keyDigestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Enough of a digest for an operator to tell keys apart.
 *
 * @example shortDigest(keyDigestOf('k7b2ex5w')).length // 8
 */
export function shortDigest(digest: string): string {
  return digest.slice(0, SHORT_DIGEST_LENGTH);
}
