import {createHash} from 'node:crypto';

const SHORT_DIGEST_LENGTH = 8;

/**
 * Returns the SHA-256 digest that identifies a caller's key. The key itself is
 * not stored, so that it can't leak into a log line, an error or a metric.
 *
 * @example keyDigestOf('k7b2ex5w').length // 64
 */
export function keyDigestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Shortens a digest for log lines, where it still distinguishes keys.
 *
 * @example shortDigest(keyDigestOf('k7b2ex5w')).length // 8
 */
export function shortDigest(digest: string): string {
  return digest.slice(0, SHORT_DIGEST_LENGTH);
}
