import {ok} from 'neverthrow';
import {z} from 'zod';
import {HttpStandin} from '../common/HttpStandin.js';
import type {Route} from '../common/httpServer.js';
import {refuse} from '../common/refusal.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {WeightStoreState} from './WeightStoreState.js';
import {weightStoreFaultsSchema, weightStoreOptionsSchema} from './options.js';

export const weightStoreStandinSchema = weightStoreOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: weightStoreFaultsSchema.prefault({})})
  .strict();

export type WeightStoreStandinOptions = z.input<
  typeof weightStoreStandinSchema
>;

const loadSchema = z.object({artifact: z.string(), bytes: z.number().min(0)});

/** The weight store over HTTP. */
export class WeightStoreStandin extends HttpStandin<
  typeof weightStoreFaultsSchema,
  WeightStoreState
> {
  constructor(
    options: WeightStoreStandinOptions = {},
    context: ServerContext = {},
  ) {
    const settings = weightStoreStandinSchema.parse(options);
    const state = new WeightStoreState(settings, logTruth(context));
    const {logger} = context;
    super(state, {...settings, logger, routes: weightStoreRoutes(state)});
  }
}

function weightStoreRoutes(state: WeightStoreState): Route[] {
  return [
    {
      method: 'POST',
      pattern: /^\/loads$/,
      handle: ({body}) => {
        const request = loadSchema.safeParse(body);
        if (!request.success) return refuse(400, 'bad-request');
        return state.beginLoad(request.data.artifact, request.data.bytes);
      },
    },
    {
      method: 'DELETE',
      pattern: /^\/loads\/(?<loadId>[^/]+)$/,
      handle: async ({params}) => {
        await state.endLoad(params['loadId'] ?? '');
        return ok({});
      },
    },
  ];
}
