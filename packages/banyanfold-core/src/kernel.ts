import {BanyanfoldError} from './errors.js';
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** The services that every plug-in receives. */
export interface PluginContext {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** A plug-in with its name and its optional lifecycle hooks. */
export interface Plugin {
  name: string;
  /** Called in the order of the settings; a failure aborts the startup. */
  start?(): Promise<void>;
  /** Called in reverse order when the process shuts down. */
  stop?(): Promise<void>;
}

export type PluginFactory<
  C extends PluginContext = PluginContext,
  P extends Plugin = Plugin,
> = (context: C, options: unknown) => P;

/** Plug-in factories by name; each module registers its own when loaded. */
export class PluginRegistry<
  C extends PluginContext = PluginContext,
  P extends Plugin = Plugin,
> {
  private readonly factories = new Map<string, PluginFactory<C, P>>();

  /** @throws BanyanfoldError `duplicate-plugin` if the name is already registered. */
  register(name: string, factory: PluginFactory<C, P>): void {
    if (this.factories.has(name)) {
      throw new BanyanfoldError(
        'duplicate-plugin',
        `a plug-in named "${name}" is registered already; rename one`,
        {step: 'register-plugin', peer: 'self'},
      );
    }
    this.factories.set(name, factory);
  }

  /** @throws BanyanfoldError `unknown-plugin`, with the registered names. */
  create(name: string, context: C, options: unknown): P {
    const factory = this.factories.get(name);
    if (!factory) {
      const registeredNames = [...this.factories.keys()].sort().join(', ');
      throw new BanyanfoldError(
        'unknown-plugin',
        `no plug-in is named "${name}"; there are: ${registeredNames}`,
        {step: 'create-plugin', peer: 'self'},
      );
    }
    return factory(context, options);
  }
}

/** Starts plug-ins in order and stops them in reverse. */
export class Kernel<P extends Plugin = Plugin> {
  private readonly started: P[] = [];

  constructor(
    private readonly plugins: P[],
    private readonly logger: Logger,
  ) {}

  async start(): Promise<void> {
    for (const plugin of this.plugins) {
      await plugin.start?.();
      this.started.push(plugin);
      this.logger.info('plugin-started', {plugin: plugin.name});
    }
  }

  async stop(): Promise<void> {
    for (const plugin of this.started.splice(0).reverse()) {
      await plugin.stop?.();
      this.logger.info('plugin-stopped', {plugin: plugin.name});
    }
  }
}
