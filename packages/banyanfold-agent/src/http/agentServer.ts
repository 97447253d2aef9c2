import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  BanyanfoldError,
  bearerKey,
  secretsEqual,
  type Logger,
  type Metrics,
} from '@banyanfold/core';
import {HEADERS, PATHS} from '@banyanfold/protocol';

/**
 * Longer than clients keep an idle connection, so that they close it first. If
 * this server closed it while a request is in transit, the outcome would be
 * unknown.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;

/** Dependencies and request handlers of an `AgentServer`. */
export interface AgentServerOptions {
  internalKey: string;
  logger: Logger;
  metrics: Metrics;
  control: RequestListener;
  attempt(path: string, req: IncomingMessage, res: ServerResponse): unknown;
  resume(
    input: {
      attemptId: string;
      requestId: string;
      afterSeq: number;
    },
    res: ServerResponse,
  ): unknown;
  health(): {ok: boolean} & Record<string, unknown>;
  isLeaving(): boolean;
}

type Handler = (
  path: string,
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** The HTTP server of an agent. */
export class AgentServer {
  private readonly server: Server;
  private readonly attemptResponses = new Set<ServerResponse>();

  constructor(private readonly options: AgentServerOptions) {
    this.server = createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /**
   * Binds the port exclusively.
   *
   * @throws BanyanfoldError `port-in-use` if another process uses the port, for
   *     example an agent on this VM, even a paused one; else `listen-failed`.
   */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (error: NodeJS.ErrnoException) => {
        reject(toListenError(error, host, port));
      });
      this.server.listen({host, port, exclusive: true}, () => resolve());
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Responses to attempts and resumes that entries have not been sent whole. */
  get openResponseCount(): number {
    return this.attemptResponses.size;
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    // Without a listener, a write to a connection that just broke would
    // terminate the process.
    res.on('error', () => res.destroy());
    if (this.options.isLeaving()) res.setHeader('connection', 'close');
    const url = req.url ?? '/';
    const path = url.split('?')[0] ?? '/';
    const handler = this.findHandler(req.method ?? 'GET', path);
    if (handler) handler(url, req, res);
    else sendJson(res, NOT_FOUND, {error: {message: 'no such path'}});
  }

  private findHandler(method: string, path: string): Handler | undefined {
    if (path.startsWith(`${PATHS.trpc}/`)) {
      return (_path, req, res) => this.options.control(req, res);
    }
    if (path.startsWith(PATHS.attempt)) return this.attemptHandlers[method];
    if (method !== 'GET') return undefined;
    return this.publicHandlers[path];
  }

  private readonly publicHandlers: Record<string, Handler> = {
    '/healthz': (_path, _req, res) => {
      const health = this.options.health();
      sendJson(res, health.ok ? 200 : 503, health);
    },
    '/metrics': (_path, _req, res) => {
      res.writeHead(200, {'content-type': 'text/plain; charset=utf-8'});
      res.end(this.options.metrics.render());
    },
  };

  private readonly attemptHandlers: Record<string, Handler> = {
    POST: this.requireInternalKey((url, req, res) =>
      this.options.attempt(url.slice(PATHS.attempt.length), req, res),
    ),
    GET: this.requireInternalKey((url, req, res) =>
      this.options.resume(
        {
          attemptId: decodeURIComponent(url.slice(PATHS.attempt.length)),
          requestId: headerValue(req, HEADERS.requestId),
          afterSeq: parseLastEventId(headerValue(req, HEADERS.lastEventId)),
        },
        res,
      ),
    ),
  };

  /** Rejects requests without the internal key. */
  private requireInternalKey(
    handle: (url: string, req: IncomingMessage, res: ServerResponse) => unknown,
  ): Handler {
    return (url, req, res) => {
      const presentedKey = bearerKey(req.headers.authorization) ?? '';
      if (!secretsEqual(presentedKey, this.options.internalKey)) {
        res.setHeader(HEADERS.outcome, 'not-run');
        sendJson(res, UNAUTHORIZED, {error: {message: 'unauthorized'}});
        return;
      }
      this.attemptResponses.add(res);
      res.once('close', () => this.attemptResponses.delete(res));
      const run = async () => handle(url, req, res);
      run().catch((error: unknown) => {
        const {logger} = this.options;
        logger.error('request-failed', {url, error: String(error)});
        res.destroy();
      });
    };
  }
}

/** Parses `Last-Event-ID`, with or without the attempt id before the number. */
function parseLastEventId(lastEventId: string): number {
  const seq = Number(lastEventId.split('/').at(-1));
  return Number.isInteger(seq) && seq > 0 ? seq : 0;
}

function headerValue(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

function toListenError(
  error: NodeJS.ErrnoException,
  host: string,
  port: number,
): BanyanfoldError {
  const isPortInUse = error.code === 'EADDRINUSE';
  return new BanyanfoldError(
    isPortInUse ? 'port-in-use' : 'listen-failed',
    isPortInUse
      ? 'the port is in use; only one agent may run per engine'
      : error.message,
    {step: 'listen', peer: `self ${host}:${port}`},
    {cause: error},
  );
}
