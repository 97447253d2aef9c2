import {createHash} from 'node:crypto';
import type {PromptPart} from '../types.js';

/** Hexadecimal digits that are kept; 64 bits make collisions negligible. */
const FINGERPRINT_DIGITS = 16;
/** Ids of prompt parts that are used as they are; others are hashed. */
const IS_PLAIN_PART_ID = /^[\w-]{1,32}$/;
/** Further parts of a longer prompt are not recorded. */
const MAX_SHARED_PARTS = 32;
const PART_PREFIX = 'part/';

/** The parts of a request that stay the same when its caller retries it. */
export interface FingerprintInput {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  /** The model, with its adapter; undefined for a plain service. */
  model?: string;
  promptParts: readonly PromptPart[];
  body: Buffer;
}

/**
 * Identifies a request across retries of its caller, which use a new request id
 * each time. The caller's address is not included: runners never receive it, so
 * it can't cause a crash, and a caller may use several. If it were included,
 * each retry from another address would count as a new request.
 *
 * The model and the prompt parts are included because runners read the prompt
 * from them: requests with the same body may differ in nothing else.
 *
 * @example
 * fingerprintOf({method: 'GET', host: 'a', target: '/x', promptParts: [],
 *   body: Buffer.alloc(0)}) // 16 hexadecimal digits
 */
export function fingerprintOf(content: FingerprintInput): string {
  const {method, host, target, model = '', promptParts, body} = content;
  const partIds = promptParts.map(({partId}) => partId).join(',');
  const hash = createHash('sha256');
  // No field contains a line feed, so the separator is unambiguous.
  hash.update(`${method}\n${host}\n${target}\n${model}\n${partIds}\n`);
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/**
 * Identifies a prompt part in all requests whose prompts hold it.
 *
 * @example
 * partFingerprint('5c1e07a2') // 'part/5c1e07a2'
 */
export function partFingerprint(partId: string): string {
  if (IS_PLAIN_PART_ID.test(partId)) return PART_PREFIX + partId;
  const hash = createHash('sha256').update(partId).digest('hex');
  return `${PART_PREFIX}~${hash.slice(0, FINGERPRINT_DIGITS)}`;
}

/**
 * Identifies the prompt parts that a request shares with others: all but the
 * last, which belongs to the request or its session.
 *
 * @example
 * sharedPartFingerprints([{partId: 'a1', tokens: 9}, {partId: 'b2', tokens: 4}])
 * // ['part/a1']
 */
export function sharedPartFingerprints(
  promptParts: readonly PromptPart[],
): string[] {
  const shared = promptParts.slice(0, -1).slice(0, MAX_SHARED_PARTS);
  return [...new Set(shared.map(({partId}) => partFingerprint(partId)))];
}

/** Whether a fingerprint stands for a prompt part. */
export function isPartFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}
