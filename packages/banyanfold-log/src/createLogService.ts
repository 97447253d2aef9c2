import {systemClock, type Clock} from '@banyanfold/core';
import type {Dispatcher} from 'undici';
import {callJson} from './httpJson.js';
import {
  appendResponseSchema,
  logPageSchema,
  type LogService,
  type StreamName,
} from './types.js';

/** Connection options of a platform service. */
export interface ServiceOptions {
  /** For example `http://127.0.0.1:8300`. */
  url: string;
  clock?: Clock;
  /** The timeout of a whole call. The wait of a long poll is added to it. */
  timeoutMs?: number;
  dispatcher?: Dispatcher;
}

export const DEFAULT_SERVICE_TIMEOUT_MS = 3_000;

/**
 * Creates a client of the platform log. It never retries an append: after a
 * lost response the record may be in the log, and a retry would append a
 * duplicate. `appendOnce` searches the log in that case.
 *
 * @example
 * const log = createLogService({url: 'http://127.0.0.1:8300'});
 * await log.append('fences', [{vmId: 'agent-1', nonce: randomUUID()}]);
 */
export function createLogService(options: ServiceOptions): LogService {
  const {clock = systemClock, timeoutMs = DEFAULT_SERVICE_TIMEOUT_MS} = options;
  const base = options.url.replace(/\/$/, '');
  const peer = `log ${new URL(base).host}`;
  const recordsUrl = (stream: StreamName) =>
    `${base}/streams/${encodeURIComponent(stream)}/records`;
  return {
    append: (stream, values) =>
      callJson({
        method: 'POST',
        url: recordsUrl(stream),
        body: {records: values},
        schema: appendResponseSchema,
        place: {step: `append-${stream}`, peer},
        clock,
        timeoutMs,
        dispatcher: options.dispatcher,
        notExecutedCode: 'log-unavailable',
        outcomeUnknownCode: 'append-unknown',
      }),
    read: (stream, {fromOffset, limit, waitMs = 0, signal}) => {
      const query = new URLSearchParams({from: String(fromOffset)});
      if (limit !== undefined) query.set('limit', String(limit));
      if (waitMs > 0) query.set('waitMs', String(waitMs));
      return callJson({
        method: 'GET',
        url: `${recordsUrl(stream)}?${query}`,
        schema: logPageSchema,
        place: {step: `read-${stream}`, peer},
        clock,
        timeoutMs: timeoutMs + waitMs,
        signal,
        dispatcher: options.dispatcher,
        notExecutedCode: 'log-unavailable',
        outcomeUnknownCode: 'log-unavailable',
      });
    },
  };
}
