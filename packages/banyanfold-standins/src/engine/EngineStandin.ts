import {ok} from 'neverthrow';
import {z} from 'zod';
import {HttpStandin} from '../common/HttpStandin.js';
import type {Route} from '../common/httpServer.js';
import {outageRefusal} from '../common/outage.js';
import {refuse} from '../common/refusal.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {EngineState, type EngineContext} from './EngineState.js';
import {inferenceRoutes} from './inferenceRoutes.js';
import {kvExportSchema} from './kvTransfer.js';
import {engineFaultsSchema, engineOptionsSchema} from './options.js';
import type {EngineOrderInput} from './orders.js';

export const engineStandinSchema = engineOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: engineFaultsSchema.prefault({})})
  .strict();

export type EngineStandinOptions = z.input<typeof engineStandinSchema>;

const ACCEPTED = 202;

const kvRequestSchema = z.object({requestId: z.string()});

/** A model engine over HTTP. */
export class EngineStandin extends HttpStandin<
  typeof engineFaultsSchema,
  EngineState
> {
  constructor(
    options: EngineStandinOptions = {},
    context: ServerContext & EngineContext = {},
  ) {
    const settings = engineStandinSchema.parse(options);
    const {logger, weights} = context;
    const state = new EngineState(settings, {...logTruth(context), weights});
    const routes = [...inferenceRoutes(state), ...engineRoutes(state)];
    super(state, {
      ...settings,
      logger,
      beforeAnswer: response => {
        response.setHeader('x-engine-now-ms', String(state.nowMs()));
      },
      routes: routes.map(route => whenReachable(state, route)),
    });
  }
}

/** Holds a request while the engine is paused and refuses in an outage. */
function whenReachable(state: EngineState, route: Route): Route {
  return {
    ...route,
    handle: async request => {
      await state.gate.whenAwake();
      const refusal = outageRefusal(state.faults.get().outage);
      if (refusal) return refusal;
      return route.handle(request);
    },
  };
}

function engineRoutes(state: EngineState): Route[] {
  return [
    {method: 'GET', pattern: /^\/report$/, handle: () => ok(state.report())},
    {
      method: 'POST',
      pattern: /^\/orders$/,
      status: ACCEPTED,
      handle: ({body}) => state.order(body as EngineOrderInput),
    },
    {
      method: 'GET',
      pattern: /^\/cache-events$/,
      handle: ({query}) =>
        ok(state.cacheEvents(Number(query.get('from') ?? 1) || 1)),
    },
    {
      method: 'POST',
      pattern: /^\/kv\/export$/,
      handle: ({body}) => {
        const request = kvRequestSchema.safeParse(body);
        if (!request.success) return refuse(400, 'bad-request');
        return state.exportKv(request.data.requestId);
      },
    },
    {
      method: 'POST',
      pattern: /^\/kv\/import$/,
      handle: ({body}) => {
        const request = kvExportSchema.safeParse(body);
        if (!request.success) return refuse(400, 'bad-request');
        return state.importKv(request.data);
      },
    },
  ];
}
