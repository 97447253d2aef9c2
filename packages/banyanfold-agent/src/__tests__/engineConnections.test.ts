import type {Socket} from 'node:net';
import {HEADERS} from '@banyanfold/protocol';
import {afterEach, describe, expect, it} from 'vitest';
import {FakeEngine} from './fakeEngine.js';
import {readUntilCut, sendAttempt, startTestAgent} from './testAgent.js';

const STREAM_END = 'id: 1\ndata: [DONE]\n\n';

describe('EngineClient', () => {
  const cleanups: Array<() => Promise<void>> = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) await cleanup();
  });

  /** Sends two requests in sequence and returns the connections they used. */
  async function connectionsOf(headers: Record<string, string>) {
    const sockets: Socket[] = [];
    const engine = new FakeEngine({
      onRequest: (req, res) => {
        sockets.push(req.socket);
        res.writeHead(200, {'content-type': 'text/event-stream'});
        res.end(STREAM_END);
      },
    });
    const target = await startTestAgent({fakeEngine: engine});
    cleanups.push(target.stop);
    for (let sent = 0; sent < 2; sent++) {
      const {response} = await sendAttempt(target, {headers});
      await readUntilCut(response.body);
    }
    return new Set(sockets);
  }

  it('reuses a connection for requests that may be repeated', async () => {
    expect((await connectionsOf({})).size).toBe(1);
  });

  // Guards against taking a late copy of a rejection for the answer to the next
  // request, which is then called not run although the engine runs it.
  it.each([
    ['without a request id', undefined, 200, undefined],
    ['with its request id', 'own', 502, 'unknown'],
  ])(
    'calls no request not run after a copy %s',
    async (_, name, status, outcome) => {
      const copies = new Map<Socket, string>();
      const engine = new FakeEngine({
        onRequest: (req, res, requestId) => {
          const copy = copies.get(req.socket);
          if (copy !== undefined) req.socket.write(copy);
          if (engine.requests.length > 1) {
            res.writeHead(200, {'content-type': 'text/event-stream'});
            res.end(STREAM_END);
            return;
          }
          const named = name && `x-request-id: ${requestId}\r\n`;
          const rest = `${named ?? ''}content-length: 0\r\n\r\n`;
          const rejection = `HTTP/1.1 429 Too Many Requests\r\n${rest}`;
          copies.set(req.socket, rejection);
          req.socket.write(rejection);
        },
      });
      const target = await startTestAgent({fakeEngine: engine});
      cleanups.push(target.stop);
      const first = await sendAttempt(target, {});
      expect(first.response.statusCode).toBe(429);
      await first.response.body.dump();
      const {response} = await sendAttempt(target, {});
      expect(response.statusCode).toBe(status);
      expect(response.headers[HEADERS.outcome]).toBe(outcome);
      await readUntilCut(response.body);
    },
  );

  // If the engine closes a kept-alive connection while a request is sent, it is
  // unknown whether the request ran. One that must not be repeated can't be
  // retried, so its caller would receive "unknown". A connection of its own
  // either fails before anything is sent, or is open.
  it('opens one for each request that must not be repeated', async () => {
    const headers = {[HEADERS.idempotencyKey]: 'key'};
    expect((await connectionsOf(headers)).size).toBe(2);
  });
});
