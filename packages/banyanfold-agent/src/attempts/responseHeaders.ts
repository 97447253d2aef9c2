import type {ServerResponse} from 'node:http';
import {HEADERS} from '@banyanfold/protocol';
import type {AttemptContext} from './attemptContext.js';

/** Headers that every response to an attempt carries. */
export function commonHeaders(
  attemptId: string,
  context: Pick<AttemptContext, 'loadHeader'>,
): Record<string, string> {
  return {
    [HEADERS.attemptId]: attemptId,
    [HEADERS.load]: context.loadHeader(),
  };
}

/** Sends the response headers of a stream. */
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
