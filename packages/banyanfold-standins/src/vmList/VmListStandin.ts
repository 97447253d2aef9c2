import {z} from 'zod';
import {controlRoutes} from '../common/controlRoutes.js';
import {HttpServer, type Route} from '../common/httpServer.js';
import {
  listenSchema,
  logTruth,
  type ServerContext,
} from '../common/standinOptions.js';
import {VmListState} from './VmListState.js';
import {vmListFaultsSchema, vmListOptionsSchema} from './options.js';

export const vmListStandinSchema = vmListOptionsSchema
  .extend(listenSchema.shape)
  .extend({faults: vmListFaultsSchema.prefault({})});

export type VmListStandinOptions = z.input<typeof vmListStandinSchema>;

/** The list of VMs over HTTP; `PUT /control/vms` replaces it. */
export class VmListStandin {
  readonly state: VmListState;
  private readonly server: HttpServer;

  constructor(options: VmListStandinOptions = {}, context: ServerContext = {}) {
    const settings = vmListStandinSchema.parse(options);
    this.state = new VmListState(settings, logTruth(context));
    this.server = new HttpServer({
      ...settings,
      logger: context.logger,
      routes: [
        ...controlRoutes(this.state.faults, this.state.truth),
        ...vmListRoutes(this.state),
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
