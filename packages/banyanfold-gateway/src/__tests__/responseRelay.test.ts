import {VirtualClock} from '@banyanfold/core';
import type {Dispatcher} from 'undici';
import {expect, it} from 'vitest';
import {
  ResponseRelay,
  type ResponseRelayOptions,
} from '../requests/responseRelay.js';
import type {RunnerConnection} from '../runners/runnerConnections.js';

// Guards against a 503 for a request that a runner had, when memory has to be
// freed between the end of its attempt and the record of the result.
it('tells that the request may have run as soon as an attempt has broken off', async () => {
  let handler: Dispatcher.DispatchHandler | undefined;
  const connection = {
    established: true,
    dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => {
      handler = given;
    },
    destroy: () => {},
  };
  const relay = new ResponseRelay({
    context: {clock: new VirtualClock()},
    route: {},
    response: {},
    decoded: {},
    startedMs: 0,
  } as unknown as ResponseRelayOptions);
  const ended = relay.relay(
    connection as unknown as RunnerConnection,
    {method: 'GET', target: '/', headers: [], body: Buffer.alloc(0)},
    {
      runnerId: 'i-1',
      onResponseInfo: () => {},
      onFirstByte: () => {},
      onResponse: () => {},
      beforeEvents: () => {},
    },
  );
  handler!.onResponseError!(
    undefined as unknown as Dispatcher.DispatchController,
    new Error('reset'),
  );
  expect(relay.isSent).toBe(true);
  expect(relay.cancel()).toBe(true);
  expect((await ended).kind).toBe('broken');
});
