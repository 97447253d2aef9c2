import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {Agent, request, type Dispatcher} from 'undici';
import {isNotSent} from '../engine/engineClient.js';
import type {AttemptHeaders} from './attemptHeaders.js';
import type {AttemptContext} from './attemptContext.js';
import {commonHeaders} from './responseHeaders.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {WholeResponseBuffer} from './wholeResponseBuffer.js';

/** Headers of the service's answer that the caller gets. */
const FORWARDED_ANSWER_HEADERS = ['content-type', 'retry-after', 'location'];

const ANSWER_LOST: Refusal = {
  code: 'answer-lost',
  outcome: 'unknown',
  message: "the service's answer was lost after the call was sent",
};

/** A call to a plain service as it came. */
export interface ServiceAttemptInput {
  url: string;
  headers: AttemptHeaders;
  incoming: IncomingHttpHeaders;
  body: Buffer;
  res: ServerResponse;
}

/**
 * A dispatcher that sends each call once. Some calls must not run twice, and a
 * client that finds its kept-alive connection closed may send again by itself
 * or can't say whether the first sending arrived. With no connection kept and
 * nothing pipelined there is no second sending, and a failed connect proves
 * that there was no first.
 */
export function createServiceDispatcher(timeoutMs: number): Agent {
  return new Agent({
    pipelining: 0,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
}

/**
 * The URL of a call, or undefined when its path leads out of the service's own
 * paths: `..` in a caller's path would reach what operators did not publish.
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

/** Calls a plain service exactly once and keeps its answer for the entry. */
export async function runServiceAttempt(
  context: AttemptContext,
  dispatcher: Dispatcher,
  input: ServiceAttemptInput,
): Promise<void> {
  const {registry, clock, settings, metrics, logger} = context;
  const {attemptId, requestId} = input.headers;
  const record = new WholeResponseBuffer({
    clock,
    resumeWindowMs: settings.resumeWindowMs,
    commonHeaders: () => commonHeaders(attemptId, context),
    // The call has its effect whether or not somebody waits for its answer.
    onAbandoned: () => {},
  });
  registry.retainResponse(attemptId, record);
  record.attach(input.res, 0);
  const result = await callOnce();
  registry.finish(attemptId);
  clock.setTimer(settings.resumeWindowMs, () =>
    registry.dropResponse(attemptId),
  );
  metrics.count('agent_service_calls_total', {result});
  logger.info('service-call', {attempt: attemptId, request: requestId, result});

  async function callOnce(): Promise<string> {
    try {
      const answer = await request(input.url, {
        method: 'POST',
        dispatcher,
        reset: true,
        headers: forwardedHeaders(input),
        body: input.body,
      });
      const body = Buffer.from(await answer.body.arrayBuffer());
      const headers = answerHeaders(answer.headers);
      record.complete({status: answer.statusCode, headers, body});
      return 'answered';
    } catch (error) {
      const reader = record.fail();
      const refusal = refusalOf(error);
      if (refusal.outcome === 'not-run') registry.refuse(attemptId);
      const load = context.loadHeader();
      if (reader) sendRefusal(reader, refusal, {attemptId, load});
      return refusal.code;
    }
  }
}

function refusalOf(error: unknown): Refusal {
  if (!isNotSent(error)) return ANSWER_LOST;
  return {
    code: 'service-unreachable',
    outcome: 'not-run',
    message: 'the service took no connection',
    retryAfterMs: 1_000,
  };
}

function forwardedHeaders(input: ServiceAttemptInput): Record<string, string> {
  const {requestId, idempotencyKey} = input.headers;
  const contentType = input.incoming['content-type'] ?? 'application/json';
  const headers: Record<string, string> = {
    'content-type': contentType,
    'x-request-id': requestId,
  };
  if (idempotencyKey) headers['idempotency-key'] = idempotencyKey;
  return headers;
}

function answerHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_ANSWER_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}
