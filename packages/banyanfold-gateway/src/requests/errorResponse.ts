import type {ServerResponse} from 'node:http';

const MS_PER_SECOND = 1000;

/** What the gateway itself answers, with what each promises the caller. */
export const ERROR_STATUS = {
  /** Has not run and never will. */
  notRun: 503,
  /** A runner failed or fell silent; it may have run. */
  unknown: 502,
  /** Time ran out; it may have run. */
  timeout: 504,
  unauthorized: 401,
  noRoute: 404,
  tooLarge: 413,
  headTooLarge: 431,
  /** Over the usage cap; has not run and never will. */
  overCap: 429,
} as const;

export interface ErrorResponse {
  status: number;
  reason: string;
  /** When the caller may come back, for what has not run. */
  retryAfterMs?: number;
}

/** Ends a request with an answer of the gateway's own. */
export function sendErrorResponse(
  response: ServerResponse,
  {status, reason, retryAfterMs}: ErrorResponse,
  closeConnection: boolean,
): void {
  const body = JSON.stringify({error: {code: reason}});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
  }
  if (closeConnection) headers['connection'] = 'close';
  response.writeHead(status, headers);
  response.end(body);
}
