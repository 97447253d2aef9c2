import {z} from 'zod';
import {HttpStandin} from '../common/HttpStandin.js';
import type {Route} from '../common/httpServer.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {VmListState} from './VmListState.js';
import {vmListFaultsSchema, vmListOptionsSchema} from './options.js';

export const vmListStandinSchema = vmListOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: vmListFaultsSchema.prefault({})})
  .strict();

export type VmListStandinOptions = z.input<typeof vmListStandinSchema>;

/** The list of VMs over HTTP; `PUT /control/vms` replaces it. */
export class VmListStandin extends HttpStandin<
  typeof vmListFaultsSchema,
  VmListState
> {
  constructor(options: VmListStandinOptions = {}, context: ServerContext = {}) {
    const settings = vmListStandinSchema.parse(options);
    const state = new VmListState(settings, logTruth(context));
    const {logger} = context;
    super(state, {...settings, logger, routes: vmListRoutes(state)});
  }
}

function vmListRoutes(state: VmListState): Route[] {
  return [
    {method: 'GET', pattern: /^\/vms$/, handle: () => state.list()},
    {
      method: 'PUT',
      pattern: /^\/control\/vms$/,
      handle: ({body}) =>
        state.setVms(Array.isArray(body) ? body : vmsField(body)),
    },
  ];
}

function vmsField(body: unknown): unknown {
  if (typeof body !== 'object' || body === null) return undefined;
  return (body as {vms?: unknown}).vms;
}
