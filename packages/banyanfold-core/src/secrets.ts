import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER_PREFIX = 'Bearer ';

/** Compares secrets of any lengths in constant time. */
export function secretsEqual(given: string, expected: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(given), digest(expected));
}

/** Returns the key of an `authorization: Bearer` header, or undefined. */
export function bearerKey(header: string | undefined): string | undefined {
  if (!header?.startsWith(BEARER_PREFIX)) return undefined;
  return header.slice(BEARER_PREFIX.length);
}
