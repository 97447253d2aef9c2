import type {Socket} from 'node:net';
import {HEADERS} from '@banyanfold/protocol';
import {afterEach, describe, expect, it} from 'vitest';
import {FakeEngine} from './fakeEngine.js';
import {readUntilCut, sendAttempt, startTestAgent} from './testAgent.js';

const STREAM_END = 'id: 1\ndata: [DONE]\n\n';

describe('EngineClient', () => {
  const stops: Array<() => Promise<void>> = [];
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  /** Sends two requests, one after the other; the connections they came on. */
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
    stops.push(target.stop);
    for (let sent = 0; sent < 2; sent++) {
      const {response} = await sendAttempt(target, {headers});
      await readUntilCut(response.body);
    }
    return new Set(sockets);
  }

  it('keeps its connections for requests that may be repeated', async () => {
    expect((await connectionsOf({})).size).toBe(1);
  });

  // A kept-alive connection that the engine closes just then loses a request,
  // and nobody knows whether it ran. One that may not be repeated can't be
  // sent again, so its caller would be told "unknown"; its own connection
  // either fails before anything is sent, or is open.
  it('opens one for each request that may not be repeated', async () => {
    const headers = {[HEADERS.idempotencyKey]: 'key'};
    expect((await connectionsOf(headers)).size).toBe(2);
  });
});
