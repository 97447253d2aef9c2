import {Agent, type Dispatcher} from 'undici';
import {
  HEADERS,
  PATHS,
  loadDigestSchema,
  type LoadDigest,
  type Outcome,
} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentState} from '../view/agentState.js';

const MS_PER_SECOND = 1000;

/** Headers that are this hop's own and are never passed on. */
const HEADERS_KEPT_BACK = new Set([
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

/** Which attempt is meant, and at which agent. */
export interface AttemptAddress {
  agent: AgentState;
  attemptId: string;
  signal: AbortSignal;
}

/** Comes back for an attempt's answer. */
export interface ResumeRequest extends AttemptAddress {
  requestId: string;
}

/** One attempt as it goes to an agent. */
export interface AttemptRequest extends AttemptAddress {
  /** `v1/chat/completions`, or `services/{service}/{path…}`. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
}

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

export type AttemptOpening = AttemptAnswer | AttemptRefusal | AttemptFailure;

/**
 * Sends attempts to agents over HTTP/1.1.
 *
 * Each request has a connection to itself (pipelining 1) and is sent once:
 * undici fails a request whose keep-alive connection broke instead of sending
 * it again, so no request that may not be repeated runs twice behind our back.
 */
export class AttemptTransport {
  private readonly dispatcher: Agent;

  constructor(private readonly settings: EntrySettings) {
    this.dispatcher = new Agent({
      pipelining: 1,
      connections: settings.attempts.connectionsPerAgent,
      connect: {timeout: settings.attempts.connectMs},
      // Deadlines come from the request's own budget, on the clock.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends an attempt and waits for the head of its answer. */
  async open(request: AttemptRequest): Promise<AttemptOpening> {
    return this.send(request, {
      method: 'POST',
      path: `${PATHS.attempt}${request.path}`,
      headers: request.headers,
      body: request.body,
    });
  }

  /** Asks for a stream's events after `lastSeq`, or for a whole answer. */
  async resume(
    request: ResumeRequest,
    lastSeq: number,
  ): Promise<AttemptOpening> {
    return this.send(request, {
      method: 'GET',
      path: `${PATHS.attempt}${request.attemptId}`,
      headers: {
        [HEADERS.lastEventId]: String(lastSeq),
        // An agent that was restarted asks the engine by both ids.
        [HEADERS.requestId]: request.requestId,
      },
    });
  }

  close(): Promise<void> {
    return this.dispatcher.destroy();
  }

  private async send(
    request: AttemptAddress,
    options: {
      method: 'GET' | 'POST';
      path: string;
      headers: Record<string, string>;
      body?: Buffer;
    },
  ): Promise<AttemptOpening> {
    const {host, port} = request.agent.vm;
    try {
      const response = await this.dispatcher.request({
        ...options,
        origin: `http://${host}:${port}`,
        headers: {
          ...options.headers,
          authorization: `Bearer ${this.settings.internalKey}`,
        },
        signal: request.signal,
      });
      return await this.readHead(request.attemptId, response);
    } catch (error) {
      return failureOf(error);
    }
  }

  private async readHead(
    attemptId: string,
    response: Dispatcher.ResponseData,
  ): Promise<AttemptOpening> {
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
}

/** The headers of an agent's answer that the caller gets. */
export function callerHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!HEADERS_KEPT_BACK.has(name)) passed[name] = value;
  }
  return passed;
}

/** The load that rides on an answer, or undefined when it can't be read. */
export function digestOf(
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

function failureOf(error: unknown): AttemptFailure {
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
    retryAfterMs: body?.retryAfterMs || retryAfterOf(headers),
  };
}

function retryAfterOf(headers: Record<string, string>): number | undefined {
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
