import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {sleep, systemClock} from '@banyanfold/core';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {EngineClient} from '../engine/engineClient.js';
import type {EngineOrder} from '../engine/engineSchemas.js';

const LIMIT_MS = 5_000;
/** Until the connection can carry the next request. */
const REST_MS = 30;
const ORDER: EngineOrder = {
  orderId: 'o1',
  kind: 'set-role',
  artifact: '',
  bytes: 0,
  role: 'any',
  fencing: 1,
};

let server: http.Server;
let engine: EngineClient;
let answers: Array<{status: number; body: object}>;

/** Sends each response again when its connection carries the next request. */
beforeEach(async () => {
  const copies = new Map<Socket, string>();
  server = http.createServer((request, response) => {
    request.resume().once('end', () => {
      const {socket} = request;
      socket.write(copies.get(socket) ?? '');
      const {status, body} = answers.shift()!;
      const text = JSON.stringify(body);
      response.writeHead(status, {'content-length': text.length}).end(text);
      copies.set(
        socket,
        `HTTP/1.1 ${status} -\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
      );
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  engine = new EngineClient({
    url: `http://127.0.0.1:${port}`,
    clock: systemClock,
    requestTimeoutMs: LIMIT_MS,
    streamIdleTimeoutMs: LIMIT_MS,
    wholeAnswerTimeoutMs: LIMIT_MS,
  });
});

afterEach(async () => {
  await engine.close();
  server.closeAllConnections();
  server.close();
});

// Guards against freeing the memory of a request that the engine still runs, on
// a late copy of the answer to another cancel.
it('takes no copy of an answer for that to the next cancel', async () => {
  answers = [
    {status: 404, body: {}},
    {status: 200, body: {state: 'cancelled'}},
  ];
  expect((await engine.cancel('r1'))._unsafeUnwrap()).toBe('unknown');
  await sleep(systemClock, REST_MS);
  expect((await engine.cancel('r2'))._unsafeUnwrap()).toBe('cancelled');
});

// Guards against an agent that stops its orders on a late copy of the refusal of
// an earlier one.
it('takes no copy of an answer for that to the next order', async () => {
  answers = [
    {status: 409, body: {code: 'stale-fencing', highestFencing: 9}},
    {status: 202, body: {orderId: 'o1', receivedAtMs: 1}},
  ];
  expect((await engine.order(ORDER)).kind).toBe('stale-fencing');
  await sleep(systemClock, REST_MS);
  expect((await engine.order(ORDER)).kind).toBe('accepted');
});
