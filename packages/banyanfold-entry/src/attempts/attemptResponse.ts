import type {Dispatcher} from 'undici';
import {
  HEADERS,
  loadDigestSchema,
  type LoadDigest,
  type Outcome,
} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

/** Headers that are this hop's own and are never passed on. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  HEADERS.attemptId,
  HEADERS.load,
]);

/** Failures before a connection stood: no byte of a request was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** An agent's answer whose head was checked. */
export interface AttemptAnswer {
  kind: 'answered';
  status: number;
  headers: Record<string, string>;
  isStream: boolean;
  body: Dispatcher.ResponseData['body'];
}

/** A refusal in the agent's own words. */
export interface AttemptRefusal {
  kind: 'refused';
  status: number;
  headers: Record<string, string>;
  outcome: Outcome;
  code: string;
  message: string;
  retryAfterMs: number | undefined;
}

/** No answer, or one that can't be trusted. */
export interface AttemptFailure {
  kind: 'failed';
  /** True when it is proved that no byte of the request was sent. */
  neverSent: boolean;
  reason: string;
}

export type AttemptResponse = AttemptAnswer | AttemptRefusal | AttemptFailure;

/** Checks the head of an agent's answer to an attempt. */
export async function readAttemptResponse(
  attemptId: string,
  response: Dispatcher.ResponseData,
): Promise<AttemptResponse> {
  const headers = flattenHeaders(response.headers);
  if (headers[HEADERS.attemptId] !== attemptId) {
    // A crossed or late answer. Its connection can't be trusted either.
    response.body.on('error', () => {}).destroy();
    return {kind: 'failed', neverSent: false, reason: 'wrong-echo'};
  }
  const outcome = headers[HEADERS.outcome];
  if (outcome !== undefined) {
    return readRefusal(response, headers, outcome);
  }
  return {
    kind: 'answered',
    status: response.statusCode,
    headers,
    isStream: isEventStream(headers),
    body: response.body,
  };
}

/** The headers of an agent's answer that the caller gets. */
export function forwardableHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!UNFORWARDED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}

/** The load that rides on an answer, or undefined when it can't be read. */
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

/** What a failed call proves. */
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
): Promise<AttemptRefusal> {
  const body = (await response.body.json().catch(() => undefined)) as
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
