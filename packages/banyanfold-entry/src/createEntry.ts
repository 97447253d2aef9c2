import type {Server} from 'node:http';
import {
  type Clock,
  createLogger,
  Kernel,
  type Logger,
  Metrics,
  runInBackground,
  systemClock,
} from '@banyanfold/core';
import {
  RetryBudget,
  createLogService,
  createVmListService,
  type LogService,
  type VmListService,
} from '@banyanfold/log';
import {
  createControlHandler,
  createEntryRouter,
  type EntryHandlers,
} from '@banyanfold/protocol';
import {AttemptTransport} from './attempts/attemptTransport.js';
import {ConfigWatch} from './config/configWatch.js';
import {entryPlugins, type EntryContext} from './context.js';
import {createEntryHandlers} from './control/entryHandlers.js';
import {drainEntry} from './drain.js';
import {CallerDirectory} from './http/callers.js';
import {createHttpServer, listen} from './http/createHttpServer.js';
import {InferenceHandler} from './http/inference.js';
import {createRequestListener} from './http/routes.js';
import {Lifecycle} from './lifecycle.js';
import './plugins/index.js';
import {MissCounter} from './routing/missCounter.js';
import {entrySettingsSchema, type EntrySettingsInput} from './settings.js';
import {AgentClients} from './view/agentClients.js';
import {ClusterView} from './view/clusterView.js';
import {ViewPollers} from './view/viewPollers.js';

/** Replacements for the system clock and platform services in tests. */
export interface EntryOverrides {
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  log?: LogService;
  vmList?: VmListService;
  random?: () => number;
}

/** A running entry. */
export interface Entry {
  /**
   * Starts to listen. The entry becomes ready once it has a configuration and
   * the report of an agent.
   */
  start(): Promise<{port: number}>;
  /** Finishes open requests, for at most `drainBoundMs`. */
  drain(): Promise<void>;
  /** Stops immediately and closes all connections. */
  stop(): Promise<void>;
  handlers: EntryHandlers;
}

/**
 * Creates the entry that runs on an entry VM. It isn't started yet.
 *
 * @example
 * const entry = createEntry(settings);
 * const {port} = await entry.start();
 * process.once('SIGTERM', () => entry.drain().then(() => entry.stop()));
 */
export function createEntry(
  input: EntrySettingsInput,
  overrides: EntryOverrides = {},
): Entry {
  const settings = entrySettingsSchema.parse(input);
  const context = createContext(settings, overrides);
  const {logger} = context;
  const plugins = settings.plugins.map(name =>
    entryPlugins.create(name, context, {}),
  );
  const kernel = new Kernel(plugins, logger);
  const pollers = new ViewPollers(context, createVmList(settings, overrides));
  let server: Server | undefined;
  let draining: Promise<void> | undefined;
  const drain = () => {
    if (server) draining ??= drainEntry(context, server);
    return draining ?? Promise.resolve();
  };
  const beginDrain = () => runInBackground({logger, step: 'drain'}, drain);
  const handlers = createEntryHandlers({context, plugins, beginDrain});
  return {
    handlers,
    drain,
    async start() {
      const {internalKey, operatorKey} = settings;
      const control = createControlHandler({
        router: createEntryRouter(handlers),
        keys: [internalKey, operatorKey],
      });
      const inference = new InferenceHandler(context, plugins);
      const listener = createRequestListener({context, inference, control});
      server = createHttpServer(settings, listener);
      context.lifecycle.watch(server);
      const port = await listen(server, settings);
      await pollers.start();
      context.configWatch.start();
      await kernel.start();
      return {port};
    },
    async stop() {
      context.lifecycle.leave();
      pollers.stop();
      await kernel.stop();
      context.configWatch.stop();
      await context.transport.close();
      server?.close();
      server?.closeAllConnections();
    },
  };
}

type Settings = EntryContext['settings'];

function createContext(
  settings: Settings,
  overrides: EntryOverrides,
): EntryContext {
  const clock = overrides.clock ?? systemClock;
  const logger = overrides.logger ?? createLogger({vm: settings.vmId});
  const random = overrides.random ?? Math.random;
  const log =
    overrides.log ?? createLogService({url: settings.platform.logUrl, clock});
  const {vmId, failureDomain, region, retry} = settings;
  const view = new ClusterView({vmId, failureDomain, region});
  return {
    settings,
    clock,
    logger,
    random,
    log,
    view,
    metrics: overrides.metrics ?? new Metrics(),
    clients: new AgentClients(settings, settings.attempts.sealMs),
    transport: new AttemptTransport(settings, clock),
    configWatch: new ConfigWatch({settings, clock, logger, random, log, view}),
    callers: new CallerDirectory(settings.callers),
    retryBudget: new RetryBudget({
      clock,
      tokensPerAttempt: retry.budgetRatio,
      capacity: retry.budgetMaxTokens,
    }),
    misses: new MissCounter(),
    lifecycle: new Lifecycle(),
  };
}

function createVmList(
  settings: Settings,
  overrides: EntryOverrides,
): VmListService {
  const clock = overrides.clock ?? systemClock;
  const url = settings.platform.vmListUrl;
  return overrides.vmList ?? createVmListService({url, clock});
}
