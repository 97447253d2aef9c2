import {readJsonBody, type BodyLimits} from '@banyanfold/core';
import type {Dispatcher} from 'undici';
import {
  HEADERS,
  loadDigestSchema,
  type LoadDigest,
  type Outcome,
} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

/** Hop-by-hop and internal headers, which are not forwarded to the caller. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  HEADERS.attemptId,
  HEADERS.load,
]);

/** Errors before a connection was established: no byte was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** An agent's answer whose attempt id matches; the body is not yet read. */
export interface AttemptAnswer {
  kind: 'answered';
  status: number;
  headers: Record<string, string>;
  isStream: boolean;
  body: Dispatcher.ResponseData['body'];
}

/** A refusal by the agent. */
export interface AttemptRefusal {
  kind: 'refused';
  status: number;
  headers: Record<string, string>;
  outcome: Outcome;
  code: string;
  message: string;
  retryAfterMs: number | undefined;
}

/** No answer, or an answer to another attempt. */
export interface AttemptFailure {
  kind: 'failed';
  /** True if no byte of the request can have been sent. */
  neverSent: boolean;
  reason: string;
}

export type AttemptResponse = AttemptAnswer | AttemptRefusal | AttemptFailure;

/**
 * Classifies an agent's response by its headers. The body of a refusal is read,
 * that of an answer is left to the caller.
 */
export async function readAttemptResponse(
  attemptId: string,
  response: Dispatcher.ResponseData,
  limits: BodyLimits,
): Promise<AttemptResponse> {
  const headers = flattenHeaders(response.headers);
  if (headers[HEADERS.attemptId] !== attemptId) {
    // The answer belongs to another attempt, so the connection is closed too.
    response.body.on('error', () => {}).destroy();
    return {kind: 'failed', neverSent: false, reason: 'wrong-echo'};
  }
  const outcome = headers[HEADERS.outcome];
  if (outcome !== undefined) {
    return readRefusal(response, headers, outcome, limits);
  }
  return {
    kind: 'answered',
    status: response.statusCode,
    headers,
    isStream: isEventStream(headers),
    body: response.body,
  };
}

/** Returns the headers of an agent's answer that are sent to the caller. */
export function forwardableHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!UNFORWARDED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}

/** Parses the load header of an answer; undefined if absent or invalid. */
export function parseLoadDigest(
  headers: Record<string, string>,
): LoadDigest | undefined {
  const text = headers[HEADERS.load];
  if (text === undefined) return undefined;
  try {
    return loadDigestSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/**
 * Classifies the error of a failed call by whether a byte may have been sent.
 */
export function failureFromError(error: unknown): AttemptFailure {
  const {code, syscall, name} = error as {
    code?: string;
    syscall?: string;
    name?: string;
  };
  const connecting = syscall === undefined || syscall === 'connect';
  const neverSent =
    connecting && code !== undefined && CONNECT_ERROR_CODES.has(code);
  return {kind: 'failed', neverSent, reason: code ?? name ?? 'error'};
}

async function readRefusal(
  response: Dispatcher.ResponseData,
  headers: Record<string, string>,
  outcome: string,
  limits: BodyLimits,
): Promise<AttemptRefusal> {
  const read = readJsonBody(response.body, limits);
  const body = (await read.catch(() => undefined)) as
    | {error?: {message?: string; code?: string}; retryAfterMs?: number}
    | undefined;
  return {
    kind: 'refused',
    status: response.statusCode,
    headers,
    outcome: outcome === 'not-run' ? 'not-run' : 'unknown',
    code: String(body?.error?.code ?? 'refused'),
    message: String(body?.error?.message ?? 'the agent refused'),
    retryAfterMs: body?.retryAfterMs || parseRetryAfterMs(headers),
  };
}

function parseRetryAfterMs(
  headers: Record<string, string>,
): number | undefined {
  const seconds = Number(headers[HEADERS.retryAfter] ?? 0);
  return seconds > 0 ? seconds * MS_PER_SECOND : undefined;
}

function flattenHeaders(
  headers: Dispatcher.ResponseData['headers'],
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value;
  }
  return flat;
}

function isEventStream(headers: Record<string, string>): boolean {
  return headers['content-type']?.startsWith('text/event-stream') === true;
}
