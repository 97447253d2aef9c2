import {systemClock, type Clock} from '@banyanfold/core';
import type {Dispatcher} from 'undici';
import {callJson} from './httpJson.js';
import {
  appendResponseSchema,
  logPageSchema,
  type LogService,
  type StreamName,
} from './types.js';

/** How a service of the platform is reached. */
export interface ServiceOptions {
  /** For example `http://127.0.0.1:8300`. */
  url: string;
  clock?: Clock;
  /** For a whole call; a long poll gets its wait on top. */
  timeoutMs?: number;
  dispatcher?: Dispatcher;
}

export const DEFAULT_SERVICE_TIMEOUT_MS = 3_000;

/**
 * A client of the platform's log. It never repeats an append by itself: when
 * an answer is lost the record may be in the log, and a second one would be a
 * second record. `appendOnce` finds out first.
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
        notDoneCode: 'log-unavailable',
        unknownCode: 'append-unknown',
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
        notDoneCode: 'log-unavailable',
        unknownCode: 'log-unavailable',
      });
    },
  };
}
