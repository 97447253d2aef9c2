import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {FairShares} from '../callers/fairShares.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {RequestHandler} from '../requests/requestHandler.js';
import type {RoutePolicy} from '../types.js';

// Guards against names that callers make up and that entries and the holder
// would remember forever, until they run out of memory.
it('the demand for a model counts if the configuration has the model', async () => {
  const clock = new VirtualClock();
  const isEnabled = () => false;
  const demand = new DemandMeter();
  const forecast: string[] = [];
  const engine = {kvCapacityTokens: 10_000, models: new Map([['m1', {}]])};
  const context = {
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    options: DEFAULT_OPTIONS,
    random: () => 0,
    fairShares: new FairShares({clock, random: () => 0, isEnabled}),
    view: {
      lowestPriority: 1,
      currentConfig: {services: new Map([['drafting', {engine}]])},
    },
    demand,
    workForecast: {note: (model: string) => forecast.push(model)},
    isDraining: () => false,
    drainDeadlineMs: () => undefined,
    suspects: {verdictOf: () => undefined},
    viewFreshness: {untilFresh: () => Promise.resolve()},
    retryBudgetOf: () => ({recordRequest: () => {}}),
  } as unknown as GatewayContext;
  const handle = (model: string, service: string) =>
    new RequestHandler({
      context,
      request: {headers: {}} as IncomingMessage,
      response: new EventEmitter() as ServerResponse,
      decoded: {
        request: {
          model,
          promptTokens: 10,
          maxOutputTokens: 2,
          promptParts: [],
        },
        passedHeaders: [],
      },
      route: {
        name: 'letter',
        kind: 'streaming',
        priority: 0,
        services: [{service, weight: 1}],
        timeoutMs: 2_000,
        targetMs: 500,
      } as unknown as RoutePolicy,
      identity: {
        decide: () => {
          throw new Error('end of the test');
        },
      } as never,
      organisation: undefined,
      body: Buffer.alloc(0),
      startedMs: 0,
    }).run();
  const names = ['m1', 'made-up', 'constructor', 'm10'];
  for (const model of names) {
    for (const service of ['drafting', 'desk']) {
      await expect(handle(model, service)).rejects.toThrow('end of the test');
    }
  }
  expect(demand.take().map(({model}) => model)).toEqual(['m1']);
  expect(forecast).toEqual(['m1']);
});
