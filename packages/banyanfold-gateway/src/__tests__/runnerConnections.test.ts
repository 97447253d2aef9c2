import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {VirtualClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {
  RunnerConnection,
  RunnerConnections,
} from '../runners/runnerConnections.js';

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
  const connection = new RunnerConnection({
    connectionNumber: 1,
    address: `127.0.0.1:${port}`,
    clock: new VirtualClock(),
    options: DEFAULT_OPTIONS,
  });
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

describe('RunnerConnections', () => {
  it('closes the connection that has been idle longest', async () => {
    // Guards against closing connections that are in use, and against counts
    // that drift, so that callers are refused although descriptors are free.
    const clock = new VirtualClock();
    const connections = new RunnerConnections(clock, DEFAULT_OPTIONS);
    const server = http.createServer((_, response) => void response.end());
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port: at} = server.address() as AddressInfo;
    const address = `127.0.0.1:${at}`;
    const [first, second, third] = [0, 1, 2].map(() =>
      connections.acquire(address),
    );
    await Promise.all([first, second, third].map(c => useOnce(c!)));
    for (const connection of [first!, second!]) {
      connections.release(address, connection);
      await clock.advance(1);
    }
    expect([connections.openCount, connections.idleCount]).toEqual([3, 2]);
    expect(connections.closeLongestIdle(1)).toBe(1);
    expect([first, second, third].map(c => c!.closed)).toEqual([
      true,
      false,
      false,
    ]);
    expect([connections.openCount, connections.idleCount]).toEqual([2, 1]);
    expect(connections.closeLongestIdle(5)).toBe(1);
    third!.destroy();
    third!.destroy();
    expect([connections.openCount, connections.idleCount]).toEqual([0, 0]);
    server.close();
  });
});

function useOnce(connection: RunnerConnection): Promise<void> {
  return new Promise((resolve, reject) => {
    connection.dispatch(
      {method: 'GET', path: '/'},
      {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: () => {},
        onResponseEnd: () => resolve(),
        onResponseError: (_controller, error) => reject(error),
      },
    );
  });
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
