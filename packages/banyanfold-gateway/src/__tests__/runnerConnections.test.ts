import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {RunnerConnection} from '../runners/runnerConnections.js';

/**
 * A runner whose responses have no length; that to `/reset` ends with a reset.
 */
const RUNNER = `
  const net = require('node:net');
  const {parentPort} = require('node:worker_threads');
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', bytes => {
      socket.write('HTTP/1.1 200 OK\\r\\n\\r\\npart');
      if (String(bytes).startsWith('GET /reset')) socket.resetAndDestroy();
      else socket.end(' and rest');
    });
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
/** Long enough for another thread to answer a request that has been sent. */
const BUSY_MS = 100;

let runner: Worker;
let port: number;

beforeEach(async () => {
  runner = new Worker(RUNNER, {eval: true});
  [port] = (await once(runner, 'message')) as [number];
});

afterEach(() => runner.terminate());

/** Whether a response ended cleanly that arrived while this thread was busy. */
async function endsCleanly(path: string): Promise<boolean> {
  const connection = new RunnerConnection(`127.0.0.1:${port}`, DEFAULT_OPTIONS);
  const isClean = await new Promise<boolean>(resolve => {
    connection.dispatch(
      {method: 'GET', path},
      {
        onRequestStart: () => setImmediate(stayBusy),
        onResponseStart: () => {},
        onResponseData: () => {},
        onResponseEnd: () => resolve(connection.endedCleanly()),
        onResponseError: () => resolve(false),
      },
    );
  });
  connection.destroy();
  return isClean;
}

function stayBusy(): void {
  const endMs = performance.now() + BUSY_MS;
  while (performance.now() < endMs);
}

describe('RunnerConnection', () => {
  it('distinguishes a response that was reset from a complete one', async () => {
    // The last bytes and the reset are both ready when this thread reads. The
    // runtime then reports an ordinary end, and the client library a complete
    // response. The caller has to get a failure instead of a truncated
    // response.
    expect(await endsCleanly('/reset')).toBe(false);
    expect(await endsCleanly('/whole')).toBe(true);
  });
});
