import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {PATHS} from '@banyanfold/protocol';
import type {EntryContext} from '../context.js';
import {identifyCaller, requireConfig} from '../requests/acceptRequest.js';
import {parseCompletion, serviceMetadata} from '../requests/parseRequest.js';
import {ApiError, writeApiError} from './apiErrors.js';
import type {InferenceHandler} from './inference.js';
import {isReady} from './readiness.js';

const SERVICES_PREFIX = '/services/';
const OK = 200;
const UNAVAILABLE = 503;

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

interface Route {
  method: 'GET' | 'POST';
  handle: Handler;
}

export interface RoutesOptions {
  context: EntryContext;
  inference: InferenceHandler;
  control: RequestListener;
}

/** Creates the listener that serves every path of an entry. */
export function createRequestListener(options: RoutesOptions): RequestListener {
  const {context, control} = options;
  const routes = routeTable(options);
  return (req, res) => {
    context.lifecycle.responseOpened(res);
    const path = (req.url ?? '/').split('?', 1)[0]!;
    if (path === PATHS.trpc || path.startsWith(`${PATHS.trpc}/`)) {
      control(req, res);
      return;
    }
    const route = routes.get(path) ?? serviceRoute(options, path);
    serveRoute(route, req, res).catch((error: unknown) =>
      handleError(context, path, res, error),
    );
  };
}

function routeTable(options: RoutesOptions): Map<string, Route> {
  const {context} = options;
  return new Map<string, Route>([
    ['/healthz', {method: 'GET', handle: async (_req, res) => send(res, OK)}],
    ['/readyz', {method: 'GET', handle: readyz(context)}],
    ['/metrics', {method: 'GET', handle: metrics(context)}],
    ['/v1/models', {method: 'GET', handle: models(context)}],
    ...['v1/chat/completions', 'v1/completions'].map(
      (path): [string, Route] => [
        `/${path}`,
        {
          method: 'POST',
          handle: (req, res) =>
            options.inference.handle({
              req,
              res,
              path,
              readMetadata: parseCompletion,
            }),
        },
      ],
    ),
  ]);
}

function serviceRoute(
  {inference}: RoutesOptions,
  path: string,
): Route | undefined {
  if (!path.startsWith(SERVICES_PREFIX)) return undefined;
  const service = path.slice(SERVICES_PREFIX.length).split('/', 1)[0]!;
  if (service === '' || path.split('/').some(isDotSegment)) return undefined;
  return {
    method: 'POST',
    handle: (req, res) =>
      inference.handle({
        req,
        res,
        path: req.url!.slice(1),
        readMetadata: () => serviceMetadata(service),
      }),
  };
}

/** Rejected because `/services/a/../b` would leave the path of the service. */
function isDotSegment(segment: string): boolean {
  return /^(\.|%2e){1,2}$/i.test(segment);
}

async function serveRoute(
  route: Route | undefined,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (!route) throw new ApiError('not_found', 'there is no such path');
  if (req.method !== route.method) {
    throw new ApiError('method_not_allowed', `use ${route.method}`);
  }
  await route.handle(req, res);
}

function readyz(context: EntryContext): Handler {
  return async (_req, res) => {
    const ready = isReady(context);
    send(res, ready ? OK : UNAVAILABLE, ready ? 'ready\n' : 'not ready\n');
  };
}

function metrics(context: EntryContext): Handler {
  return async (_req, res) => send(res, OK, context.metrics.render());
}

function models(context: EntryContext): Handler {
  return async (req, res) => {
    const caller = context.callers.authenticate(req);
    const names = requireConfig(context).visibleNames(
      identifyCaller(req, caller),
    );
    const data = names.map(id => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'banyanfold',
    }));
    const body = JSON.stringify({object: 'list', data});
    send(res, OK, body, 'application/json');
  };
}

function send(
  res: ServerResponse,
  status: number,
  body = 'ok\n',
  contentType = 'text/plain; charset=utf-8',
): void {
  res.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

function handleError(
  context: EntryContext,
  path: string,
  res: ServerResponse,
  error: unknown,
): void {
  if (error instanceof ApiError) {
    const {code, outcome} = error;
    context.metrics.count('refusals_total', {code});
    context.logger.info('refused', {path, code, outcome});
    // The unread rest of the body would be parsed as the next request.
    if (error.code === 'body_too_large') res.setHeader('connection', 'close');
    writeApiError(res, error);
    return;
  }
  context.logger.error('internal-error', {
    step: 'serve',
    peer: 'caller',
    error: error instanceof Error ? (error.stack ?? error.message) : 'unknown',
  });
  const message = 'an internal error; see the log';
  writeApiError(res, new ApiError('internal', message, {outcome: 'unknown'}));
  if (!res.writableEnded) res.destroy();
}
