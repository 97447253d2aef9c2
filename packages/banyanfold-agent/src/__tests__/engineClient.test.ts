import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {EngineClient} from '../engine/engineClient.js';

const PIECE_MS = 20;
const PIECES = {fast: Buffer.alloc(65_536, 'x'), slow: Buffer.from('x')};

let server: http.Server;
let engine: EngineClient;
let pace: keyof typeof PIECES;

/** Sends a body that ends when its connection is closed. */
function sendEndless(response: http.ServerResponse): void {
  response.writeHead(200, {'content-type': 'application/json'});
  response.write('{"a":"');
  const timer = setInterval(() => {
    if (!response.writableNeedDrain) response.write(PIECES[pace]);
  }, PIECE_MS);
  response.once('close', () => clearInterval(timer));
}

beforeEach(async () => {
  server = http.createServer((request, response) => {
    request.resume();
    sendEndless(response);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  engine = new EngineClient({
    url: `http://127.0.0.1:${port}`,
    clock: systemClock,
    requestTimeoutMs: 300,
    streamIdleTimeoutMs: 300,
    wholeAnswerTimeoutMs: 300,
  });
});

afterEach(async () => {
  await engine.close();
  server.closeAllConnections();
  server.close();
});

// Guards against calls that never end, as each byte begins a timeout anew, and
// against a process whose memory an engine fills.
describe.each(['fast', 'slow'] as const)(
  'EngineClient, if the engine answers without end, %s',
  given => {
    beforeEach(() => {
      pace = given;
    });

    it('fails to read its report', async () => {
      expect((await engine.report()).isErr()).toBe(true);
    });

    it('takes the answer to an order for lost', async () => {
      const order = {} as Parameters<EngineClient['order']>[0];
      expect(await engine.order(order)).toEqual({kind: 'answer-lost'});
    });

    it('fails to cancel a stream', async () => {
      expect((await engine.cancel('r1')).isErr()).toBe(true);
    });
  },
);
