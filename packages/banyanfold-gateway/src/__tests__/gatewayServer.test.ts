import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryLogger, Metrics, systemClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {GatewayServer} from '../gatewayServer.js';

let server: GatewayServer;
let logger: MemoryLogger;
let thrown: unknown[];

const noteThrown = (error: unknown) => thrown.push(error);

beforeEach(async () => {
  logger = new MemoryLogger();
  thrown = [];
  process.on('unhandledRejection', noteThrown);
  server = new GatewayServer({
    clock: systemClock,
    logger,
    metrics: new Metrics(),
    view: {
      isReady: true,
      onChange: () => () => {},
      route: () => ({name: 'letter'}),
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
});
