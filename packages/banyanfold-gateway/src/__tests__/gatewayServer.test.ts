import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryLogger, Metrics, systemClock} from '@banyanfold/core';
import net from 'node:net';
import {ok} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {GatewayServer} from '../gatewayServer.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {HeldBytes} from '../resources/heldBytes.js';

const ROUTE_TIMEOUT_MS = 300;

let server: GatewayServer;
let logger: MemoryLogger;
let thrown: unknown[];
let isConfigConfirmed: boolean;
let hasRoute: boolean;
let refreshes: number;
let isLate: boolean;
let isReady: boolean;
let hasDescriptors: boolean;
let heldBytes: HeldBytes;
let decoded: {request: {deadlineMs?: number}} | undefined;

const recordThrown = (error: unknown) => thrown.push(error);

beforeEach(async () => {
  logger = new MemoryLogger();
  thrown = [];
  isConfigConfirmed = true;
  hasRoute = true;
  refreshes = 0;
  isLate = false;
  isReady = true;
  hasDescriptors = true;
  decoded = undefined;
  heldBytes = new HeldBytes({
    clock: systemClock,
    logger,
    metrics: new Metrics(),
    boundBytes: 10_000,
    options: {...DEFAULT_OPTIONS, stalledAfterMs: 50},
  });
  process.on('unhandledRejection', recordThrown);
  server = new GatewayServer({
    logger,
    metrics: new Metrics(),
    view: {
      get isReady() {
        return isReady;
      },
      currentConfig: undefined,
      onChange: () => {
        isReady = true;
        return () => {};
      },
      findRoute: () =>
        hasRoute ? {name: 'letter', timeoutMs: ROUTE_TIMEOUT_MS} : undefined,
      isConfigConfirmed: () => isConfigConfirmed,
    },
    refreshConfig: () => {
      refreshes += 1;
    },
    codec: {
      decodeRequest: () => {
        if (decoded) return ok(decoded);
        throw new Error('unexpected failure');
      },
    },
    backlog: {
      addCaller: () => {},
      shouldRefuse: () => isLate,
      ownDelayMs: 2_000,
    },
    heldBytes,
    descriptors: {
      addCaller: () => {},
      countRequestsBy: () => {},
      canServe: () => hasDescriptors,
    },
    random: () => 0,
    isDraining: () => false,
    options: {...DEFAULT_OPTIONS, unreadBodyMs: 100},
    clock: systemClock,
  } as unknown as GatewayContext);
  await server.listen(0, '127.0.0.1');
});

afterEach(() => {
  process.off('unhandledRejection', recordThrown);
  server.server.closeAllConnections();
  server.stopAccepting();
});

function open(): net.Socket {
  const {port} = server.server.address() as AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  return socket;
}

function closeOf(socket: net.Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}

function sendRequest(): Promise<number | undefined> {
  const {port} = server.server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const request = http.get(
      {port, host: '127.0.0.1', path: '/letter/x'},
      response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
      },
    );
    request.on('error', reject);
  });
}

describe('GatewayServer', () => {
  it('survives an unexpected error while handling a request', async () => {
    // Guards against one request ending entry after entry and interrupting all
    // their callers: its handling throws, the process exits, and the caller
    // retries at the next entry.
    expect(await sendRequest()).toBe(502);
    expect(await sendRequest()).toBe(502);
    expect(thrown).toEqual([]);
    const logged = logger.lines.filter(line => line.includes('request-failed'));
    expect(logged).toHaveLength(2);
    expect(logged[0]).toContain('unexpected failure');
  });

  it('responds with 404 if there is no route', async () => {
    hasRoute = false;
    expect(await sendRequest()).toBe(404);
  });

  it('refuses a request that it would serve too late', async () => {
    // Guards against a 503 for a request that goes on to a runner: one that is
    // handled gets 502 here.
    isLate = true;
    expect(await sendRequest()).toBe(503);
    const logged = logger.lines.filter(line => line.includes('event=refuse'));
    expect(logged).toHaveLength(1);
    expect(logged[0]).toContain('retryAfterMs=2000');
    isLate = false;
    expect(await sendRequest()).toBe(502);
  });

  // Guards against a final refusal for a route that was just added.
  it('responds with 503 if a newer configuration may have the route', async () => {
    hasRoute = false;
    isConfigConfirmed = false;
    expect(await sendRequest()).toBe(503);
    expect(refreshes).toBe(1);
  });

  // Guards against an exception, which ends the process, when memory is freed
  // by a refused request that was sent behind an earlier one.
  it('frees the memory of a refused request that is pipelined', async () => {
    hasRoute = false;
    decoded = {request: {}};
    // Until the first request waits for it, so that only that one waits.
    isReady = false;
    const socket = open();
    const body = 'x'.repeat(4_999);
    const second = `POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n${body}`;
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.write(`GET /a HTTP/1.1\r\nhost: a\r\n\r\n${second}`);
    await expect.poll(() => received).toMatch(/^HTTP\/1.1 404 /);
    await expect.poll(() => heldBytes.heldBytes).toBeGreaterThan(4_000);
    const response = new http.ServerResponse(new http.IncomingMessage(socket));
    await expect.poll(() => heldBytes.admit(response, 5_000)).toBeDefined();
    await expect.poll(() => received).toMatch(/HTTP\/1.1 503 /);
    expect(heldBytes.heldBytes).toBe(0);
    socket.destroy();
  });

  // Guards against discarded requests that are handled and counted for ever.
  it('handles no request that is beyond those that may be sent ahead', async () => {
    hasRoute = false;
    const socket = open();
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(500));
    await closeOf(socket);
    expect([...received.matchAll(/HTTP\/1.1 404 /g)]).toHaveLength(1);
    await expect.poll(() => server.openRequests).toBe(0);
  });

  // Guards against answers of the runtime to requests before their turn.
  it.each([
    ['100-continue', /^HTTP\/1.1 100 [^]*HTTP\/1.1 404 /],
    ['other', /^HTTP\/1.1 417 /],
  ])('answers only requests in turn that expect %s', async (value, answer) => {
    hasRoute = false;
    decoded = {request: {}};
    process.once('uncaughtException', recordThrown);
    const socket = open();
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    const head = `POST /a HTTP/1.1\r\nhost: a\r\nexpect: ${value}\r\n`;
    socket.write(`${head}content-length: 1\r\n\r\nx`.repeat(500));
    await closeOf(socket);
    process.off('uncaughtException', recordThrown);
    expect(received).toMatch(answer);
    expect([...received.matchAll(/HTTP\/1.1 [^1]/g)]).toHaveLength(1);
    await expect.poll(() => server.openRequests).toBe(0);
    expect(thrown).toEqual([]);
  });

  // Guards against an answer of the runtime itself, which overtakes others.
  it('responds with 400 to a request without a host', async () => {
    const socket = open();
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.write('GET /a HTTP/1.1\r\n\r\n');
    await closeOf(socket);
    expect(received).toMatch(/^HTTP\/1.1 400 /);
  });

  // Guards against callers that keep a connection by a body without an end.
  it('closes the connection of a refused request whose body goes on', async () => {
    isLate = true;
    const socket = open();
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx');
    await closeOf(socket);
    expect(received).toMatch(/^HTTP\/1.1 503 /);
    expect(received).toMatch(/^connection: keep-alive\r$/im);
  });

  it('keeps the connection of a refused request whose body ends', async () => {
    isLate = true;
    const socket = open();
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n';
    socket.write(`${head}x`);
    await expect.poll(() => received).toContain('503');
    socket.write(`x${head}xx`);
    await expect
      .poll(() => [...received.matchAll(/HTTP\/1.1 503 /g)].length)
      .toBe(2);
    socket.destroy();
  });

  // Guards against a new connection for each refusal of a request without a
  // body, which costs a late process more than the refusal itself.
  it('keeps the connection of a request without a body that it refuses', async () => {
    isLate = true;
    const {port} = server.server.address() as AddressInfo;
    const agent = new http.Agent({keepAlive: true});
    const response = await new Promise<http.IncomingMessage>(resolve => {
      http.get({port, host: '127.0.0.1', path: '/', agent}, resolve);
    });
    expect(response.statusCode).toBe(503);
    expect(response.headers.connection).toBe('keep-alive');
    agent.destroy();
  });

  // Guards against callers that stop sending and keep the descriptors that are
  // reserved for refusals.
  it('refuses without descriptors although a body does not arrive', async () => {
    hasDescriptors = false;
    const {port} = server.server.address() as AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx');
    await closed;
    expect(received).toMatch(/^HTTP\/1.1 503 /);
  });

  // Guards against callers that are answered only once their body has ended, or
  // never, with a reason and a time to return that are wrong.
  it.each([
    ["its route's", undefined],
    ["the caller's", 100],
  ])(
    'responds with 504 to a body that takes longer than %s time',
    async (_name, deadlineMs) => {
      decoded = {request: {deadlineMs}};
      const {port} = server.server.address() as AddressInfo;
      const socket = net.connect(port, '127.0.0.1');
      let received = '';
      socket.on('data', bytes => (received += String(bytes)));
      const closed = new Promise(resolve => socket.once('close', resolve));
      socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx');
      await closed;
      expect(received).toMatch(/^HTTP\/1.1 504 /);
      expect(received).not.toContain('retry-after');
    },
  );
});
