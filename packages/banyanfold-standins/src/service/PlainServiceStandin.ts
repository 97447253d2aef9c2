import type {z} from 'zod';
import {HttpStandin} from '../common/HttpStandin.js';
import type {Handler} from '../common/httpServer.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {PlainServiceState} from './PlainServiceState.js';
import {serviceFaultsSchema, serviceOptionsSchema} from './options.js';

export const plainServiceStandinSchema = serviceOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: serviceFaultsSchema.prefault({})})
  .strict();

export type PlainServiceStandinOptions = z.input<
  typeof plainServiceStandinSchema
>;

/** A plain service over HTTP; it takes any method and path. */
export class PlainServiceStandin extends HttpStandin<
  typeof serviceFaultsSchema,
  PlainServiceState
> {
  constructor(
    options: PlainServiceStandinOptions = {},
    context: ServerContext = {},
  ) {
    const settings = plainServiceStandinSchema.parse(options);
    const state = new PlainServiceState(settings, logTruth(context));
    const {logger} = context;
    super(state, {
      ...settings,
      logger,
      routes: [{method: '*', pattern: /^/, handle: callHandler(state)}],
    });
  }
}

function callHandler(state: PlainServiceState): Handler {
  return ({method, path, headers, body}) => {
    const key = headers['idempotency-key'];
    const idempotencyKey = Array.isArray(key) ? key[0] : key;
    return state.call({method, path, idempotencyKey, body});
  };
}
