import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '@banyanfold/core';
import {CONNECTION_CUT, refuse, type Answer, type Refusal} from './refusal.js';

const MS_PER_SECOND = 1000;

export interface ListenOptions {
  host?: string;
  /** 0 takes a free port. */
  port?: number;
  logger?: Logger;
}

/** A request with its body read. */
export interface StandinRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: IncomingMessage['headers'];
  /** The JSON of the body, its text when it is no JSON, or undefined. */
  body: unknown;
  /** The groups of the route's pattern. */
  params: Record<string, string>;
  response: ServerResponse;
}

/** A handler that answered by itself (a stream) gives this. */
export const ANSWERED = Symbol('answered');

export type Handler = (
  request: StandinRequest,
) => Promise<Answer<unknown>> | Answer<unknown>;

export interface Route {
  method: string;
  /** Matched against the whole path; named groups become `params`. */
  pattern: RegExp;
  /** The status of a good answer; 200 unless said. */
  status?: number;
  handle: Handler;
}

export interface HttpServerOptions extends ListenOptions {
  routes: Route[];
  /** Called before each answer, for headers that are on all of them. */
  beforeAnswer?: (response: ServerResponse) => void;
}

/** The thin HTTP server under each stand-in. */
export class HttpServer {
  private readonly server: Server;

  constructor(private readonly options: HttpServerOptions) {
    this.server = createServer((request, response) => {
      response.on('error', () => response.destroy());
      void this.serve(request, response).catch(error => {
        this.options.logger?.error('standin-failed', {error: String(error)});
        response.destroy();
      });
    });
  }

  async start(): Promise<{port: number}> {
    const {host = '127.0.0.1', port = 0} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return {port: (this.server.address() as AddressInfo).port};
  }

  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://standin');
    const method = incoming.method ?? 'GET';
    const body = await readBody(incoming);
    const found = this.findRoute(method, url.pathname);
    if (!found) {
      this.answer(response, refuse(404, 'no-such-path'), 404);
      return;
    }
    const answer = await found.route.handle({
      method,
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body,
      params: found.params,
      response,
    });
    this.answer(response, answer, found.route.status ?? 200);
  }

  private findRoute(method: string, path: string) {
    for (const route of this.options.routes) {
      if (route.method !== '*' && route.method !== method) continue;
      const match = route.pattern.exec(path);
      if (match) return {route, params: decodeGroups(match.groups)};
    }
    return undefined;
  }

  private answer(
    response: ServerResponse,
    answer: Answer<unknown>,
    status: number,
  ): void {
    if (answer.isErr()) {
      this.sendRefusal(response, answer.error);
      return;
    }
    if (answer.value === ANSWERED) return;
    this.sendJson(response, status, answer.value ?? {});
  }

  private sendRefusal(response: ServerResponse, refusal: Refusal): void {
    if (refusal.status === CONNECTION_CUT) {
      response.destroy();
      return;
    }
    if (refusal.retryAfterMs !== undefined) {
      const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
      response.setHeader('retry-after', String(seconds));
    }
    const body = {code: refusal.code, ...refusal.detail};
    this.sendJson(response, refusal.status, body);
  }

  private sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
  ): void {
    this.options.beforeAnswer?.(response);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}

async function readBody(incoming: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  const text = Buffer.concat(parts).toString('utf8');
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch {
    return text;
  }
}

function decodeGroups(
  groups: Record<string, string> | undefined,
): Record<string, string> {
  const params: Record<string, string> = {};
  for (const [name, value] of Object.entries(groups ?? {})) {
    if (value !== undefined) params[name] = decodeURIComponent(value);
  }
  return params;
}
