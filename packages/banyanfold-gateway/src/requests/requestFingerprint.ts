import {createHash} from 'node:crypto';

/** Hexadecimal digits that are kept; 64 bits make collisions negligible. */
const FINGERPRINT_DIGITS = 16;

/** The parts of a request that stay the same when its caller retries it. */
export interface FingerprintInput {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Buffer;
}

/**
 * Identifies a request across retries of its caller, which use a new request id
 * each time. The caller's address is not included: runners never receive it, so
 * it can't cause a crash, and a caller may use several. If it were included,
 * each retry from another address would count as a new request.
 *
 * @example
 * fingerprintOf({method: 'GET', host: 'a', target: '/x',
 *   body: Buffer.alloc(0)}) // 16 hexadecimal digits
 */
export function fingerprintOf(content: FingerprintInput): string {
  const {method, host, target, body} = content;
  const hash = createHash('sha256');
  // No part contains a line feed, so the separator is unambiguous.
  hash.update(`${method}\n${host}\n${target}\n`);
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS);
}
