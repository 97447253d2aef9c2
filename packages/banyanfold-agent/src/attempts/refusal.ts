import type {ServerResponse} from 'node:http';
import {HEADERS, type Outcome} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

/** HTTP status for each reason why an attempt ends without a response. */
const STATUS_BY_CODE = {
  'bad-request': 400,
  'engine-rejected': 400,
  unauthorized: 401,
  'unknown-service': 404,
  'unknown-attempt': 404,
  'wrong-incarnation': 409,
  sealed: 409,
  'duplicate-attempt': 409,
  'body-too-large': 413,
  busy: 429,
  'too-late': 429,
  cancelled: 499,
  'no-kv-memory': 503,
  leaving: 503,
  'not-held': 503,
  'engine-unreachable': 503,
  'service-unreachable': 503,
  'engine-failed': 502,
  'answer-lost': 502,
} as const;

export type RefusalCode = keyof typeof STATUS_BY_CODE;

export interface Refusal {
  code: RefusalCode;
  /** `not-run` only if it is certain that nothing ran. */
  outcome: Outcome;
  message: string;
  retryAfterMs?: number;
}

/** Header values that each refusal carries. */
export interface RefusalContext {
  attemptId: string;
  /** The load digest as JSON. */
  load: string;
}

/** Sends a refusal, or closes the connection if headers were sent already. */
export function sendRefusal(
  res: ServerResponse,
  refusal: Refusal,
  context: RefusalContext,
): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const {code, outcome, message, retryAfterMs = 0} = refusal;
  const type = outcome === 'unknown' ? 'outcome_unknown' : 'not_run';
  const body = JSON.stringify({
    error: {message, type, code},
    outcome,
    retryAfterMs,
  });
  res.writeHead(STATUS_BY_CODE[code], {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.attemptId]: context.attemptId,
    [HEADERS.load]: context.load,
    [HEADERS.outcome]: outcome,
    [HEADERS.retryAfter]: String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
  });
  res.end(body);
}
