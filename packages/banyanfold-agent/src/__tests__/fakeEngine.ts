import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MODEL} from './testAgent.js';

const GIB = 1024 ** 3;

type Handler = (
  req: IncomingMessage,
  res: ServerResponse,
  requestId: string,
) => void;

export interface FakeEngineOptions {
  /** Handles a request whose body has been read. */
  onRequest: Handler;
  /** Handles a resume; the response is 404 if omitted. */
  onResume?: Handler;
}

/** An HTTP engine whose responses a test writes itself, byte by byte. */
export class FakeEngine {
  readonly requests: string[] = [];
  readonly cancelled: string[] = [];
  private readonly server = createServer((req, res) => {
    res.on('error', () => {});
    res.setHeader('x-engine-now-ms', String(Date.now()));
    req.resume().on('end', () => this.handle(req, res));
  });

  constructor(private readonly options: FakeEngineOptions) {}

  async start(): Promise<{port: number}> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return {port: (this.server.address() as AddressInfo).port};
  }

  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? '';
    if (url === '/report') return sendJson(res, 200, report());
    if (url === '/orders') {
      return sendJson(res, 202, {orderId: 'o', receivedAtMs: Date.now()});
    }
    if (url.startsWith('/cache-events')) {
      return sendJson(res, 200, {nextSeq: 1, events: []});
    }
    if (url.startsWith('/v1/streams/')) {
      return this.handleStream(req, res, url.split('/').at(-1) ?? '');
    }
    const requestId = String(req.headers['x-request-id']);
    this.requests.push(requestId);
    this.options.onRequest(req, res, requestId);
  }

  private handleStream(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
  ): void {
    if (req.method === 'DELETE') {
      this.cancelled.push(requestId);
      sendJson(res, 200, {state: 'cancelled'});
      return;
    }
    if (this.options.onResume) this.options.onResume(req, res, requestId);
    else sendJson(res, 404, {code: 'no-such-stream'});
  }
}

/** Formats one event as an engine sends it. */
export function event(seq: number, id: string, text: string): string {
  const choice = {index: 0, delta: {content: text}, finish_reason: null};
  const data = JSON.stringify({id, choices: [choice]});
  return `id: ${seq}\ndata: ${data}\n\n`;
}

/** Formats the event that finishes the only choice. */
export function finishEvent(seq: number, id: string): string {
  const choice = {index: 0, delta: {}, finish_reason: 'stop'};
  const data = JSON.stringify({id, choices: [choice]});
  return `id: ${seq}\ndata: ${data}\n\n`;
}

export function doneEvent(seq: number): string {
  return `id: ${seq}\ndata: [DONE]\n\n`;
}

export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

function report() {
  return {
    takenAtMs: Date.now() - 1,
    running: 0,
    queued: 0,
    kvUsedBytes: 0,
    kvCapacityBytes: 16 * GIB,
    memoryCapacityBytes: 80 * GIB,
    role: '',
    models: [{artifact: MODEL, bytes: GIB, state: 'loaded'}],
    highestFencing: 0,
  };
}
