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
 * Longer than clients keep an idle connection, so that they close it and not
 * this server while a request is on its way, whose outcome nobody would know.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;

/** Where a server sends requests on. */
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

  constructor(private readonly options: AgentServerOptions) {
    this.server = createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /**
   * Binds the port, which no other process may hold.
   *
   * @throws BanyanfoldError `port-in-use`: an agent runs on this VM already; a
   *     paused one holds the port too.
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

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    // Without a listener, a write to a connection that just broke would end
    // the process.
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
    return this.plainHandlers[path];
  }

  private readonly plainHandlers: Record<string, Handler> = {
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
    POST: this.guarded((url, req, res) =>
      this.options.attempt(url.slice(PATHS.attempt.length), req, res),
    ),
    GET: this.guarded((url, req, res) =>
      this.options.resume(
        {
          attemptId: decodeURIComponent(url.slice(PATHS.attempt.length)),
          requestId: textHeader(req, HEADERS.requestId),
          afterSeq: readSeq(textHeader(req, HEADERS.lastEventId)),
        },
        res,
      ),
    ),
  };

  /** Lets only those in who have the internal key. */
  private guarded(
    handle: (url: string, req: IncomingMessage, res: ServerResponse) => unknown,
  ): Handler {
    return (url, req, res) => {
      const given = bearerKey(req.headers.authorization) ?? '';
      if (!secretsEqual(given, this.options.internalKey)) {
        res.setHeader(HEADERS.outcome, 'not-run');
        sendJson(res, UNAUTHORIZED, {error: {message: 'unauthorized'}});
        return;
      }
      const run = async () => handle(url, req, res);
      run().catch((error: unknown) => {
        const {logger} = this.options;
        logger.error('request-failed', {url, error: String(error)});
        res.destroy();
      });
    };
  }
}

/** Reads `Last-Event-ID`, with or without the attempt id before the number. */
function readSeq(lastEventId: string): number {
  const seq = Number(lastEventId.split('/').at(-1));
  return Number.isInteger(seq) && seq > 0 ? seq : 0;
}

function textHeader(req: IncomingMessage, name: string): string {
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
  const isTaken = error.code === 'EADDRINUSE';
  return new BanyanfoldError(
    isTaken ? 'port-in-use' : 'listen-failed',
    isTaken
      ? 'another process holds the port; an agent must be alone beside its engine'
      : error.message,
    {step: 'listen', peer: `self ${host}:${port}`},
    {cause: error},
  );
}
