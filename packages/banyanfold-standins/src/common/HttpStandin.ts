import type {z} from 'zod';
import {controlRoutes} from './controlRoutes.js';
import type {FaultSwitches} from './faultSwitches.js';
import {HttpServer, type HttpServerOptions} from './httpServer.js';
import type {TruthRecord} from './truth.js';

/** What every state class has. */
export interface StandinState<S extends z.ZodType<object>> {
  readonly faults: FaultSwitches<S>;
  readonly truth: TruthRecord;
}

/** A state class with its HTTP server. */
export class HttpStandin<
  S extends z.ZodType<object>,
  T extends StandinState<S>,
> {
  private readonly server: HttpServer;

  constructor(
    readonly state: T,
    options: HttpServerOptions,
  ) {
    const control = controlRoutes(state.faults, state.truth);
    const routes = [...control, ...options.routes];
    this.server = new HttpServer({...options, routes});
  }

  /** @throws when the port is taken. */
  start(): Promise<{port: number}> {
    return this.server.start();
  }

  /** Closes the port and every connection. */
  stop(): Promise<void> {
    return this.server.stop();
  }
}
