import {createHash} from 'node:crypto';

/** Hexadecimal digits that are kept: 64 bits, so that two never meet by chance. */
const FINGERPRINT_DIGITS = 16;

/** What reaches the runner each time that a caller sends a request again. */
export interface FingerprintInput {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Buffer;
}

/**
 * Names a request by what stays the same when its caller sends it again; each
 * sending has another request id. The caller's address is no part of it: a
 * runner never gets it, so it can't be why one crashes, and a caller may show
 * several. With it, each sending from another address passed for a new request.
 *
 * @example
 * fingerprintOf({method: 'GET', host: 'a', target: '/x',
 *   body: Buffer.alloc(0)}) // 16 hexadecimal digits
 */
export function fingerprintOf(content: FingerprintInput): string {
  const {method, host, target, body} = content;
  const hash = createHash('sha256');
  // No part holds a line feed, so that parts can't be taken for one another.
  hash.update(`${method}\n${host}\n${target}\n`);
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS);
}
