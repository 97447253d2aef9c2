import {ok} from 'neverthrow';
import {z} from 'zod';
import {controlRoutes} from '../common/controlRoutes.js';
import {HttpServer, type Route} from '../common/httpServer.js';
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
  .extend({faults: weightStoreFaultsSchema.prefault({})});

export type WeightStoreStandinOptions = z.input<
  typeof weightStoreStandinSchema
>;

const loadSchema = z.object({artifact: z.string(), bytes: z.number().min(0)});

/** The weight store over HTTP. */
export class WeightStoreStandin {
  readonly state: WeightStoreState;
  private readonly server: HttpServer;

  constructor(
    options: WeightStoreStandinOptions = {},
    context: ServerContext = {},
  ) {
    const settings = weightStoreStandinSchema.parse(options);
    this.state = new WeightStoreState(settings, logTruth(context));
    this.server = new HttpServer({
      ...settings,
      logger: context.logger,
      routes: [
        ...controlRoutes(this.state.faults, this.state.truth),
        ...weightStoreRoutes(this.state),
      ],
    });
  }

  start(): Promise<{port: number}> {
    return this.server.start();
  }

  stop(): Promise<void> {
    return this.server.stop();
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
