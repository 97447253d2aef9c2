import type {ServerResponse} from 'node:http';
import {formatRetryAfter} from './retryAfter.js';

/** Status codes of the gateway's own responses, and what each guarantees. */
export const ERROR_STATUS = {
  /** The request has not run and never will. */
  notRun: 503,
  /** A runner failed or stopped responding; the request may have run. */
  unknown: 502,
  /** The deadline passed; the request may have run. */
  timeout: 504,
  /** A header has a value that can't be true; the request has not run. */
  invalid: 400,
  unauthorized: 401,
  noRoute: 404,
  tooLarge: 413,
  /** The `Expect` header asks for what isn't known; the request has not run. */
  unknownExpectation: 417,
  headTooLarge: 431,
  /** The usage cap is exceeded; the request has not run and never will. */
  overCap: 429,
} as const;

/** Statuses that promise callers that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether callers take the status for a promise that the request has not run. A
 * runner's failure with such a status must not be forwarded.
 *
 * @example promisesNotRun(503) // true
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

export interface ErrorResponse {
  status: number;
  reason: string;
  /** When the caller may retry, for a request that has not run. */
  retryAfterMs?: number;
  /** The header that is invalid. */
  field?: string;
  /** For people. */
  message?: string;
}

/** Ends a request with an error response of the gateway itself. */
export function sendErrorResponse(
  response: ServerResponse,
  {status, reason, retryAfterMs, field, message}: ErrorResponse,
  closeConnection: boolean,
): void {
  const body = JSON.stringify({error: {code: reason, field, message}});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = formatRetryAfter(retryAfterMs);
  }
  if (closeConnection) headers['connection'] = 'close';
  response.writeHead(status, headers);
  response.end(body);
}
