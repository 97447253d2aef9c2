import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {bearerKey, secretsEqual} from '@banyanfold/core';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {AgentRouter} from './agentContract.js';
import type {EntryRouter} from './entryContract.js';
import {PATHS} from './headers.js';

const MAX_CONTROL_BODY_BYTES = 1_048_576;
const UNAUTHORIZED = 401;

/** What a control interface is served from. */
export interface ControlServerOptions {
  router: AgentRouter | EntryRouter;
  /** Any of these keys is let in. */
  keys: readonly string[];
}

/**
 * Serves a router at `/trpc` to those who have one of the keys.
 *
 * @example
 * const control = createControlHandler({router, keys: [internalKey]});
 * http.createServer((req, res) => control(req, res));
 */
export function createControlHandler(
  options: ControlServerOptions,
): RequestListener {
  const handle = createHTTPHandler({
    router: options.router,
    basePath: `${PATHS.trpc}/`,
    maxBodySize: MAX_CONTROL_BODY_BYTES,
  });
  return (req: IncomingMessage, res: ServerResponse) => {
    if (hasKey(req, options.keys)) return handle(req, res);
    res.writeHead(UNAUTHORIZED, {'content-type': 'application/json'});
    res.end('{"error":{"message":"unauthorized"}}');
  };
}

function hasKey(req: IncomingMessage, keys: readonly string[]): boolean {
  const given = bearerKey(req.headers.authorization);
  if (given === undefined) return false;
  let found = false;
  for (const key of keys) {
    if (secretsEqual(given, key)) found = true;
  }
  return found;
}
