import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryLogger, Metrics, systemClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {GatewayServer} from '../gatewayServer.js';

let server: GatewayServer;
let logger: MemoryLogger;
let thrown: unknown[];
let isConfigConfirmed: boolean;
let hasRoute: boolean;
let refreshes: number;
let isLate: boolean;

const recordThrown = (error: unknown) => thrown.push(error);

beforeEach(async () => {
  logger = new MemoryLogger();
  thrown = [];
  isConfigConfirmed = true;
  hasRoute = true;
  refreshes = 0;
  isLate = false;
  process.on('unhandledRejection', recordThrown);
  server = new GatewayServer({
    clock: systemClock,
    logger,
    metrics: new Metrics(),
    view: {
      isReady: true,
      onChange: () => () => {},
      findRoute: () => (hasRoute ? {name: 'letter'} : undefined),
      isConfigConfirmed: () => isConfigConfirmed,
    },
    refreshConfig: () => {
      refreshes += 1;
    },
    codec: {
      decodeRequest: () => {
        throw new Error('unexpected failure');
      },
    },
    backlog: {
      addCaller: () => {},
      shouldRefuse: () => isLate,
      ownDelayMs: 2_000,
    },
    random: () => 0,
    isDraining: () => false,
  } as unknown as GatewayContext);
  await server.listen(0, '127.0.0.1');
});

afterEach(() => {
  process.off('unhandledRejection', recordThrown);
  server.server.closeAllConnections();
  server.stopAccepting();
});

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
});
