import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {bearerKey, secretsEqual} from '@banyanfold/core';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {AgentRouter} from './agentContract.js';
import type {EntryRouter} from './entryContract.js';
import {PATHS} from './headers.js';

const MAX_CONTROL_BODY_BYTES = 1_048_576;
const UNAUTHORIZED = 401;

/** Router and accepted keys of a control interface. */
export interface ControlServerOptions {
  router: AgentRouter | EntryRouter;
  /** Keys that grant access. */
  keys: readonly string[];
}

/**
 * Creates a request listener that serves a router at `/trpc` to clients with
 * one of the keys. Others get status 401.
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
    if (isAuthorized(req, options.keys)) return handle(req, res);
    res.writeHead(UNAUTHORIZED, {'content-type': 'application/json'});
    res.end('{"error":{"message":"unauthorized"}}');
  };
}

function isAuthorized(req: IncomingMessage, keys: readonly string[]): boolean {
  const given = bearerKey(req.headers.authorization);
  if (given === undefined) return false;
  let found = false;
  for (const key of keys) {
    if (secretsEqual(given, key)) found = true;
  }
  return found;
}
