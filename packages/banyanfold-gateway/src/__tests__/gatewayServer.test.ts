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

const noteThrown = (error: unknown) => thrown.push(error);

beforeEach(async () => {
  logger = new MemoryLogger();
  thrown = [];
  isConfigConfirmed = true;
  hasRoute = true;
  refreshes = 0;
  process.on('unhandledRejection', noteThrown);
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
        throw new Error('what nobody foresaw');
      },
    },
    isLeaving: () => false,
  } as unknown as GatewayContext);
  await server.listen(0, '127.0.0.1');
});

afterEach(() => {
  process.off('unhandledRejection', noteThrown);
  server.server.closeAllConnections();
  server.stopAccepting();
});

function ask(): Promise<number | undefined> {
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
  it('outlives a request that an error in its handling meets', async () => {
    // All callers of one entry after the other are cut off: the handling of one
    // request throws what nobody foresaw, the process ends by it, and the caller
    // sends the request again, to the next entry.
    expect(await ask()).toBe(502);
    expect(await ask()).toBe(502);
    expect(thrown).toEqual([]);
    const told = logger.lines.filter(line => line.includes('request-failed'));
    expect(told).toHaveLength(2);
    expect(told[0]).toContain('what nobody foresaw');
  });

  it('tells a caller that there is no route', async () => {
    hasRoute = false;
    expect(await ask()).toBe(404);
  });

  // Guards against a caller that is sent away for good from a route just added.
  it('asks a caller to come back while it cannot know of new routes', async () => {
    hasRoute = false;
    isConfigConfirmed = false;
    expect(await ask()).toBe(503);
    expect(refreshes).toBe(1);
  });
});
