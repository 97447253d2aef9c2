import {createHash} from 'node:crypto';

/** Hexadecimal digits that are kept: 64 bits, so that two never meet by chance. */
const FINGERPRINT_DIGITS = 16;

/** What a caller repeats when it sends the same request again. */
export interface RepeatedContent {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  /** Address of the caller, without its port. */
  caller: string;
  body: Buffer;
}

/**
 * Names a request by what stays the same when its caller sends it again; each
 * sending has another request id.
 *
 * @example
 * fingerprintOf({method: 'GET', host: 'a', target: '/x', caller: '10.0.0.1',
 *   body: Buffer.alloc(0)}) // 16 hexadecimal digits
 */
export function fingerprintOf(content: RepeatedContent): string {
  const {method, host, target, caller, body} = content;
  const hash = createHash('sha256');
  // No part holds a line feed, so that parts can't be taken for one another.
  hash.update(`${method}\n${host}\n${target}\n${caller}\n`);
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS);
}
