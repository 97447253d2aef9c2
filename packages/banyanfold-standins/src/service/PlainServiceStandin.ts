import type {z} from 'zod';
import {controlRoutes} from '../common/controlRoutes.js';
import {HttpServer, type Handler} from '../common/httpServer.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {PlainServiceState} from './PlainServiceState.js';
import {serviceFaultsSchema, serviceOptionsSchema} from './options.js';

export const plainServiceStandinSchema = serviceOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: serviceFaultsSchema.prefault({})});

export type PlainServiceStandinOptions = z.input<
  typeof plainServiceStandinSchema
>;

/** A plain service over HTTP; it takes any method and path. */
export class PlainServiceStandin {
  readonly state: PlainServiceState;
  private readonly server: HttpServer;

  constructor(
    options: PlainServiceStandinOptions = {},
    context: ServerContext = {},
  ) {
    const settings = plainServiceStandinSchema.parse(options);
    this.state = new PlainServiceState(settings, logTruth(context));
    this.server = new HttpServer({
      ...settings,
      logger: context.logger,
      routes: [
        ...controlRoutes(this.state.faults, this.state.truth),
        {method: '*', pattern: /^/, handle: callHandler(this.state)},
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

function callHandler(state: PlainServiceState): Handler {
  return ({method, path, headers, body}) => {
    const key = headers['idempotency-key'];
    const idempotencyKey = Array.isArray(key) ? key[0] : key;
    return state.call({method, path, idempotencyKey, body});
  };
}
