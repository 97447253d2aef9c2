import {z} from 'zod';
import {HttpStandin} from '../common/HttpStandin.js';
import type {Route} from '../common/httpServer.js';
import {refuse} from '../common/refusal.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {LogState} from './LogState.js';
import {logFaultsSchema, logOptionsSchema} from './options.js';

export const logStandinSchema = logOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: logFaultsSchema.prefault({})})
  .strict();

export type LogStandinOptions = z.input<typeof logStandinSchema>;

const RECORDS_PATTERN = /^\/streams\/(?<stream>[^/]+)\/records$/;

const appendSchema = z.object({records: z.array(z.unknown()).min(1)});

const readSchema = z.object({
  from: z.coerce.number().int().default(1),
  limit: z.coerce.number().int().positive().optional(),
  waitMs: z.coerce.number().min(0).optional(),
});

/** The log service over HTTP. */
export class LogStandin extends HttpStandin<typeof logFaultsSchema, LogState> {
  constructor(options: LogStandinOptions = {}, context: ServerContext = {}) {
    const settings = logStandinSchema.parse(options);
    const state = new LogState(settings, logTruth(context));
    const {logger} = context;
    super(state, {...settings, logger, routes: logRoutes(state)});
  }
}

function logRoutes(state: LogState): Route[] {
  return [
    {
      method: 'POST',
      pattern: RECORDS_PATTERN,
      handle: ({params, body}) => {
        const request = appendSchema.safeParse(body);
        if (!request.success) return refuse(400, 'bad-request');
        return state.append(params['stream'] ?? '', request.data.records);
      },
    },
    {
      method: 'GET',
      pattern: RECORDS_PATTERN,
      handle: ({params, query}) => {
        const request = readSchema.safeParse(Object.fromEntries(query));
        if (!request.success) return refuse(400, 'bad-request');
        const {from: fromOffset, limit, waitMs} = request.data;
        return state.read(params['stream'] ?? '', {fromOffset, limit, waitMs});
      },
    },
  ];
}
