import type {ServerResponse} from 'node:http';
import {HEADERS, type Outcome} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

interface ErrorKind {
  status: number;
  /** OpenAI's error type. */
  type: string;
}

/** The errors that callers can receive, by code. */
export const API_ERRORS = {
  invalid_request: {status: 400, type: 'invalid_request_error'},
  invalid_idempotency_key: {status: 400, type: 'invalid_request_error'},
  invalid_api_key: {status: 401, type: 'authentication_error'},
  not_allowed: {status: 403, type: 'permission_error'},
  not_found: {status: 404, type: 'invalid_request_error'},
  model_not_found: {status: 404, type: 'invalid_request_error'},
  method_not_allowed: {status: 405, type: 'invalid_request_error'},
  key_in_progress: {status: 409, type: 'conflict_error'},
  key_outcome_unknown: {status: 409, type: 'conflict_error'},
  key_already_finished: {status: 409, type: 'conflict_error'},
  body_too_large: {status: 413, type: 'invalid_request_error'},
  key_reused: {status: 422, type: 'invalid_request_error'},
  too_many_requests: {status: 429, type: 'rate_limit_error'},
  internal: {status: 500, type: 'server_error'},
  outcome_unknown: {status: 502, type: 'server_error'},
  not_ready: {status: 503, type: 'server_error'},
  overloaded: {status: 503, type: 'server_error'},
  no_copy: {status: 503, type: 'server_error'},
  all_busy: {status: 503, type: 'server_error'},
  no_runner: {status: 503, type: 'server_error'},
  agent_refused: {status: 503, type: 'server_error'},
  unreachable: {status: 503, type: 'server_error'},
  log_unavailable: {status: 503, type: 'server_error'},
  deadline_exceeded: {status: 504, type: 'server_error'},
} satisfies Record<string, ErrorKind>;

/**
 * Conflicts that a retry can't resolve. Client libraries retry every 409 unless
 * a header forbids it.
 */
const FINAL_CONFLICTS: ReadonlySet<string> = new Set([
  'key_outcome_unknown',
  'key_already_finished',
]);

export type ApiErrorCode = keyof typeof API_ERRORS;

export interface ApiErrorOptions {
  outcome?: Outcome;
  /** When the caller may retry; omitted if that is unknown. */
  retryAfterMs?: number;
}

/** An error that is sent to the caller as the final answer. */
export class ApiError extends Error {
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;

  constructor(
    readonly code: ApiErrorCode,
    message: string,
    options: ApiErrorOptions = {},
  ) {
    super(message);
    this.name = 'ApiError';
    this.outcome = options.outcome ?? 'not-run';
    this.retryAfterMs = options.retryAfterMs;
  }

  get status(): number {
    return API_ERRORS[this.code].status;
  }

  /** The body in OpenAI's error format, extended by the outcome. */
  toBody(): string {
    const {type} = API_ERRORS[this.code];
    return JSON.stringify({
      error: {message: this.message, type, code: this.code},
      outcome: this.outcome,
      retryAfterMs: this.retryAfterMs,
    });
  }

  toHeaders(): Record<string, string> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      [HEADERS.outcome]: this.outcome,
    };
    if (FINAL_CONFLICTS.has(this.code)) headers[HEADERS.shouldRetry] = 'false';
    if (this.retryAfterMs !== undefined) {
      const seconds = Math.ceil(this.retryAfterMs / MS_PER_SECOND);
      headers[HEADERS.retryAfter] = String(Math.max(1, seconds));
      headers[HEADERS.retryAfterMs] = String(Math.ceil(this.retryAfterMs));
    }
    return headers;
  }
}

/** Sends an error, unless the response has already begun. */
export function writeApiError(res: ServerResponse, error: ApiError): void {
  if (res.headersSent || res.destroyed) return;
  const body = error.toBody();
  res.writeHead(error.status, {
    ...error.toHeaders(),
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}
