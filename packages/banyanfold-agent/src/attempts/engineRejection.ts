import {readBody, type BodyLimits} from '@banyanfold/core';
import type {EngineResponse} from '../engine/engineClient.js';
import type {Refusal} from './refusal.js';

const MAX_MESSAGE_CHARS = 500;
const RETRY_AFTER_MS = 1_000;

/**
 * Statuses with which an engine rejects a request without running it. After any
 * other error status the request may have run.
 */
const NOT_RUN_CODE_BY_STATUS: Record<number, Refusal['code']> = {
  400: 'engine-rejected',
  404: 'not-held',
  413: 'engine-rejected',
  422: 'engine-rejected',
  429: 'busy',
};

/** Converts an error response of the engine into a refusal. */
export async function readEngineRefusal(
  response: EngineResponse,
  limits: BodyLimits,
): Promise<Refusal> {
  const {statusCode} = response;
  const body = await readBody(response.body, limits).catch(() => '');
  const text = body.toString();
  const message =
    text.slice(0, MAX_MESSAGE_CHARS) || `the engine answered ${statusCode}`;
  const code = NOT_RUN_CODE_BY_STATUS[statusCode];
  if (!code) return {code: 'engine-failed', outcome: 'unknown', message};
  return {code, outcome: 'not-run', message, retryAfterMs: RETRY_AFTER_MS};
}

/** The refusal for a request that was not sent: it was never run. */
export function engineUnreachable(message: string): Refusal {
  return {
    code: 'engine-unreachable',
    outcome: 'not-run',
    message,
    retryAfterMs: RETRY_AFTER_MS,
  };
}

export const ENGINE_RESPONSE_LOST: Refusal = {
  code: 'answer-lost',
  outcome: 'unknown',
  message: "the engine's answer was lost or is not this request's",
};
