import type {ServerResponse} from 'node:http';
import {HEADERS} from '@banyanfold/protocol';
import type {AttemptContext} from './attemptContext.js';

/** What each answer of an attempt bears. */
export function commonHeaders(
  attemptId: string,
  context: Pick<AttemptContext, 'loadHeader'>,
): Record<string, string> {
  return {
    [HEADERS.attemptId]: attemptId,
    [HEADERS.load]: context.loadHeader(),
  };
}

/** Begins a stream's answer. */
export function writeStreamHeaders(
  res: ServerResponse,
  attemptId: string,
  context: Pick<AttemptContext, 'loadHeader'>,
): void {
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    ...commonHeaders(attemptId, context),
  });
  res.flushHeaders();
}
