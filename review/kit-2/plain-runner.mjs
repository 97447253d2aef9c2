// A stand-in of a runner of a plain service.
import http from 'node:http';
import {sleep} from './kit.mjs';

const HEARTBEAT_MS = 1_200;

/** Answers each request after some work; `answer` may answer otherwise. */
export class PlainRunner {
  ran = [];

  constructor({id, service, ip, store, workMs = 15, answer}) {
    this.options = {id, service, ip, store, workMs, answer};
  }

  /** Starts at its address, at first one with a free port. */
  async start() {
    const {ip} = this.options;
    const port = this.address ? Number(this.address.split(':')[1]) : 0;
    this.born = Date.now();
    this.beat = 0;
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise(done => this.server.listen(port, ip, done));
    this.address = `${ip}:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  register() {
    this.beat += 1;
    const {store, id, service} = this.options;
    store.put('keyed.servers', id, {
      service,
      address: this.address,
      zone: 'hall-a',
      version: '1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      born: this.born,
      sequence: this.beat,
    });
  }

  async handle(request, response) {
    const {id, workMs, answer} = this.options;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const requestId = request.headers['request-id'];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'instance-id': id, 'not-executed': '1'});
      return response.end();
    }
    if (requestId === undefined) {
      response.writeHead(400, {'not-executed': '1'});
      return response.end();
    }
    this.ran.push({requestId, method: request.method, url: request.url});
    await sleep(workMs);
    const headers = {
      'request-id': requestId,
      'server-stamp': `s.${requestId}`,
      'server-load': '1,0,6',
    };
    if (answer) return answer(request, response, headers);
    const body = 'x'.repeat(800);
    response.writeHead(200, {...headers, 'content-length': body.length});
    return response.end(body);
  }
}

/**
 * Sends a request on a channel of its own, as a requester does; resolves to the
 * status, or 'none' if there was no answer within the time that it waits.
 */
export function ask(entry, {method = 'GET', path, headers, waitMs, body}) {
  return new Promise(resolve => {
    const startedMs = performance.now();
    const done = status => {
      clearTimeout(timer);
      resolve({status, tookMs: performance.now() - startedMs});
      request.destroy();
    };
    const request = http.request(
      {
        host: entry.ip,
        port: entry.ports[0],
        path,
        method,
        agent: false,
        headers,
      },
      response => {
        response.resume();
        response.on('end', () => done(response.statusCode));
        response.on('error', () => done('cut off'));
      },
    );
    const timer = setTimeout(() => done('none'), waitMs);
    request.on('error', () => done('none'));
    request.end(body);
  });
}

/** The config of a service with a route of each plain kind. */
export function deskConfig(service, host) {
  const route = (name, type) => ({
    name,
    hostname: host,
    path_prefix: `/${name}/`,
    timeout_ms: 800,
    target_latency_ms: 100,
    priority: 2,
    max_attempts: type === 'idempotent' ? 2 : 1,
    route_type: type,
    service,
  });
  return {
    version: 3,
    routes: [route('status', 'idempotent'), route('lodge', 'non_idempotent')],
    services: [{name: service}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
  };
}
