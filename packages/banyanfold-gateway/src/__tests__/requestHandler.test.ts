import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {FairShares} from '../callers/fairShares.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {RequestHandler} from '../requests/requestHandler.js';
import type {DecodedRequest, RoutePolicy} from '../types.js';

// Guards against a timer that ends the request a second time: the exception
// that its second response causes would end the process.
it('leaves nothing behind if its handling throws', async () => {
  const clock = new VirtualClock();
  const fairShares = new FairShares({
    clock,
    random: () => 0,
    isEnabled: () => true,
  });
  const response = Object.assign(new EventEmitter(), {
    writableFinished: false,
    responses: 0,
    writeHead() {
      this.responses += 1;
    },
    end() {
      this.writableFinished = true;
    },
  });
  const context = {
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    options: DEFAULT_OPTIONS,
    random: () => 0,
    fairShares,
    isDraining: () => false,
    drainDeadlineMs: () => undefined,
    suspects: {verdictOf: () => undefined},
    viewFreshness: {untilFresh: () => Promise.resolve()},
    retryBudgetOf: () => ({recordRequest: () => {}}),
  } as unknown as GatewayContext;
  const handler = new RequestHandler({
    context,
    request: {headers: {}} as IncomingMessage,
    response: response as unknown as ServerResponse,
    decoded: {
      request: {promptTokens: 0, maxOutputTokens: 0, promptParts: []},
    } as unknown as DecodedRequest,
    route: {
      name: 'letter',
      kind: 'plain',
      priority: 0,
      services: [{service: 'letters', weight: 1}],
      timeoutMs: 2_000,
      targetMs: 500,
    } as unknown as RoutePolicy,
    identity: {
      decide: () => {
        throw new Error('unexpected failure');
      },
    } as never,
    organisation: undefined,
    body: Buffer.alloc(0),
    startedMs: 0,
  });
  await expect(handler.run()).rejects.toThrow('unexpected failure');
  expect(fairShares.ownBacklogs()).toEqual({});
  await clock.advance(5_000);
  expect(response.responses).toBe(0);
});
