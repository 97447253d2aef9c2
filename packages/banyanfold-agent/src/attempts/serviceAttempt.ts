import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {readBody} from '@banyanfold/core';
import {Agent, request, type Dispatcher} from 'undici';
import {isNotSent} from '../engine/engineClient.js';
import type {AttemptHeaders} from './attemptHeaders.js';
import type {AttemptContext} from './attemptContext.js';
import {commonHeaders} from './responseHeaders.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {WholeResponseBuffer} from './wholeResponseBuffer.js';

/** HTTP defines no status above this one. */
const MAX_STATUS = 599;

/** Headers of the service's response that are forwarded to the caller. */
const FORWARDED_RESPONSE_HEADERS = ['content-type', 'retry-after', 'location'];

const SERVICE_RESPONSE_LOST: Refusal = {
  code: 'answer-lost',
  outcome: 'unknown',
  message: "the service's answer was lost after the call was sent",
};

/** A call to a plain service as received from the entry. */
export interface ServiceAttemptInput {
  url: string;
  headers: AttemptHeaders;
  incoming: IncomingHttpHeaders;
  body: Buffer;
  res: ServerResponse;
}

/**
 * Creates a dispatcher that sends each call at most once. Some calls must not
 * run twice. A client that finds its kept-alive connection closed may retry on
 * its own, or can't tell whether the call arrived. Without keep-alive and
 * pipelining there is no retry, and a failed connect proves that nothing was
 * sent.
 */
export function createServiceDispatcher(timeoutMs: number): Agent {
  return new Agent({
    pipelining: 0,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
}

/**
 * Returns the URL of a call, or undefined if its path leaves the service's base
 * path: `..` in a caller's path would reach paths that operators did not
 * publish.
 *
 * @example serviceUrl('http://h:1/api', 'cases?x=1') // 'http://h:1/api/cases?x=1'
 */
export function serviceUrl(base: string, path: string): string | undefined {
  const root = base.endsWith('/') ? base : `${base}/`;
  const url = `${root}${path}`;
  if (!URL.canParse(url)) return undefined;
  const isInside = new URL(url).href.startsWith(new URL(root).href);
  return isInside ? url : undefined;
}

/** Calls a plain service once and retains its response for the entry. */
export async function runServiceAttempt(
  context: AttemptContext,
  dispatcher: Dispatcher,
  input: ServiceAttemptInput,
): Promise<void> {
  const {registry, clock, settings, metrics, logger} = context;
  const {attemptId, requestId} = input.headers;
  const buffer = new WholeResponseBuffer({
    clock,
    resumeWindowMs: settings.resumeWindowMs,
    commonHeaders: () => commonHeaders(attemptId, context),
    // The call takes effect whether or not a reader waits for its response.
    onAbandoned: () => {},
  });
  registry.retainResponse(attemptId, buffer);
  buffer.attach(input.res, 0);
  const result = await callOnce();
  registry.finish(attemptId);
  clock.setTimer(settings.resumeWindowMs, () =>
    registry.dropResponse(attemptId),
  );
  metrics.count('agent_service_calls_total', {result});
  logger.info('service-call', {attempt: attemptId, request: requestId, result});

  async function callOnce(): Promise<string> {
    // Interim heads would extend the timeout of the dispatcher.
    const abort = new AbortController();
    const timer = clock.setTimer(settings.serviceTimeoutMs, () =>
      abort.abort(),
    );
    try {
      const response = await request(input.url, {
        method: 'POST',
        dispatcher,
        signal: abort.signal,
        reset: true,
        headers: toServiceHeaders(input),
        body: input.body,
      });
      timer.cancel();
      if (response.statusCode > MAX_STATUS) {
        await response.body.dump();
        throw new Error(`invalid status ${response.statusCode}`);
      }
      const body = await readBody(response.body, {
        clock,
        maxBytes: settings.maxAnswerBytes,
        timeoutMs: settings.serviceTimeoutMs,
      });
      const headers = toForwardedHeaders(response.headers);
      buffer.complete({status: response.statusCode, headers, body});
      return 'answered';
    } catch (error) {
      timer.cancel();
      const reader = buffer.fail();
      const refusal = toRefusal(error);
      if (refusal.outcome === 'not-run') registry.refuse(attemptId);
      const load = context.loadHeader();
      if (reader) sendRefusal(reader, refusal, {attemptId, load});
      return refusal.code;
    }
  }
}

function toRefusal(error: unknown): Refusal {
  if (!isNotSent(error)) return SERVICE_RESPONSE_LOST;
  return {
    code: 'service-unreachable',
    outcome: 'not-run',
    message: 'the service took no connection',
    retryAfterMs: 1_000,
  };
}

function toServiceHeaders(input: ServiceAttemptInput): Record<string, string> {
  const {requestId, idempotencyKey} = input.headers;
  const contentType = input.incoming['content-type'] ?? 'application/json';
  const headers: Record<string, string> = {
    'content-type': contentType,
    'x-request-id': requestId,
  };
  if (idempotencyKey) headers['idempotency-key'] = idempotencyKey;
  return headers;
}

function toForwardedHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_RESPONSE_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}
