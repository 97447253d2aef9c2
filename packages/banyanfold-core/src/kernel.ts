import {BanyanfoldError} from './errors.js';
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** What every plug-in is given. */
export interface PluginContext {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** What a plug-in gives back: its name and the hooks it wants called. */
export interface Plugin {
  name: string;
  /** Called in the order of the settings; a failure stops the start. */
  start?(): Promise<void>;
  /** Called in the reverse order when the process leaves. */
  stop?(): Promise<void>;
}

export type PluginFactory<
  C extends PluginContext = PluginContext,
  P extends Plugin = Plugin,
> = (context: C, options: unknown) => P;

/** Plug-ins by name; each registers itself when its module is loaded. */
export class PluginRegistry<
  C extends PluginContext = PluginContext,
  P extends Plugin = Plugin,
> {
  private readonly factories = new Map<string, PluginFactory<C, P>>();

  /** @throws BanyanfoldError `duplicate-plugin` when the name is taken. */
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

  /** @throws BanyanfoldError `unknown-plugin`, naming those there are. */
  create(name: string, context: C, options: unknown): P {
    const factory = this.factories.get(name);
    if (!factory) {
      const known = [...this.factories.keys()].sort().join(', ');
      throw new BanyanfoldError(
        'unknown-plugin',
        `no plug-in is named "${name}"; there are: ${known}`,
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
