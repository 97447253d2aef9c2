import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {VirtualClock} from '@banyanfold/core';
import {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {createLogService} from '../createLogService.js';
import {createVmListService} from '../createVmListService.js';

const APPENDED = {firstOffset: 4, lastOffset: 4, appendedAtMs: 9};
const PAGE = {firstOffset: 1, nextOffset: 1, nowMs: 5, records: []};
const VMS = {asOfMs: 5, vms: []};

const cleanups: Array<() => Promise<unknown>> = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function serve(listener: RequestListener) {
  let requests = 0;
  const server: Server = createServer((request, response) => {
    requests++;
    listener(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const dispatcher = new Agent({connections: 1});
  cleanups.push(
    () => dispatcher.destroy(),
    () => new Promise(resolve => server.close(resolve)),
  );
  const {port} = server.address() as AddressInfo;
  const clock = new VirtualClock();
  const options = {url: `http://127.0.0.1:${port}`, clock, dispatcher};
  return {
    clock,
    log: createLogService({...options, timeoutMs: 1_000}),
    vmList: createVmListService({...options, timeoutMs: 1_000}),
    port,
    count: () => requests,
  };
}

function respondWith(status: number, body: unknown): RequestListener {
  return (request, response) => {
    request.resume();
    response.writeHead(status).end(JSON.stringify(body));
  };
}

const breakConnection: RequestListener = request => {
  request.on('data', () => request.socket.destroy());
};

const breakResponse: RequestListener = (request, response) => {
  request.resume();
  response.writeHead(200, {'content-length': '500'}).write('{"first');
  setImmediate(() => response.destroy());
};

const FAULTS: Array<[string, RequestListener, string]> = [
  ['a refusal', respondWith(503, {}), 'log-unavailable'],
  ['a bad request', respondWith(400, {}), 'log-unavailable'],
  ['an internal error', respondWith(500, {}), 'append-unknown'],
  ['a gateway timeout', respondWith(504, {}), 'append-unknown'],
  ['a response of another shape', respondWith(200, {ok: 1}), 'append-unknown'],
  ['a connection broken after the request', breakConnection, 'append-unknown'],
  ['a connection broken in the response', breakResponse, 'append-unknown'],
];

/*
 * If the request may have arrived, the record may be in the log, and reporting
 * "not run" would be wrong. Only a refusal or a failure to connect proves that
 * nothing was appended. In addition, no library may retry the request.
 */
describe('createLogService.append', () => {
  it.each(FAULTS)('after %s', async (_name, listener, code) => {
    const {log, port, count} = await serve(listener);
    const error = (await log.append('claims', [{}]))._unsafeUnwrapErr();
    const {step, peer} = error;
    expect([error.code, step, peer]).toEqual([
      code,
      'append-claims',
      `log 127.0.0.1:${port}`,
    ]);
    expect(count()).toBe(1);
  });

  it('after no connection', async () => {
    const {port} = await serve(respondWith(200, APPENDED));
    for (const cleanup of cleanups.splice(0)) await cleanup();
    const log = createLogService({url: `http://127.0.0.1:${port}`});
    const error = (await log.append('claims', [{}]))._unsafeUnwrapErr();
    expect(error.code).toBe('log-unavailable');
  });

  it('after its timeout', async () => {
    let arrived: () => void = () => {};
    const arrival = new Promise<void>(resolve => (arrived = resolve));
    const {log, clock} = await serve(request => {
      request.resume().on('end', arrived);
    });
    const appending = log.append('claims', [{}]);
    await arrival;
    await clock.advance(1_001);
    expect((await appending)._unsafeUnwrapErr().code).toBe('append-unknown');
  });

  it('when a reused connection breaks, sends nothing twice', async () => {
    const sockets = new Set<Socket>();
    const {log, count} = await serve((request, response) => {
      const isFirst = !sockets.has(request.socket);
      sockets.add(request.socket);
      if (isFirst) return respondWith(200, APPENDED)(request, response);
      return breakConnection(request, response);
    });
    expect((await log.append('claims', [{}]))._unsafeUnwrap()).toEqual(
      APPENDED,
    );
    const error = (await log.append('claims', [{}]))._unsafeUnwrapErr();
    expect([error.code, count()]).toEqual(['append-unknown', 2]);
  });
});

describe('createLogService.read', () => {
  it('sends the requests that the log expects, and reports errors', async () => {
    const urls: Array<string | undefined> = [];
    const {log} = await serve((request, response) => {
      urls.push(request.url);
      respondWith(urls.length === 1 ? 200 : 500, PAGE)(request, response);
    });
    const options = {fromOffset: 7, limit: 2, waitMs: 30};
    expect((await log.read('config', options))._unsafeUnwrap()).toEqual(PAGE);
    const failed = await log.read('config', {fromOffset: 1});
    expect(failed._unsafeUnwrapErr().code).toBe('log-unavailable');
    expect(urls).toMatchInlineSnapshot(`
      [
        "/streams/config/records?from=7&limit=2&waitMs=30",
        "/streams/config/records?from=1",
      ]
    `);
  });
});

describe('createVmListService.read', () => {
  it('reads the list, or reports a failure', async () => {
    const responses = [respondWith(200, VMS), respondWith(200, {vms: 'none'})];
    const {vmList} = await serve((request, response) => {
      responses.shift()?.(request, response);
    });
    expect((await vmList.read())._unsafeUnwrap()).toEqual(VMS);
    const failed = await vmList.read();
    expect(failed._unsafeUnwrapErr().code).toBe('vm-list-unavailable');
  });
});
