import {
  type Clock,
  createLogger,
  Kernel,
  type Logger,
  Metrics,
  runInBackground,
  sleep,
  systemClock,
} from '@banyanfold/core';
import {createLogService, type LogService} from '@banyanfold/log';
import {
  createAgentRouter,
  createControlHandler,
  type AgentHandlers,
} from '@banyanfold/protocol';
import {agentPlugins, type AgentContext} from './agentContext.js';
import {resumeAttempt} from './attempts/resumeAttempt.js';
import {AgentServer} from './http/agentServer.js';
import {createAgentContext} from './parts/createAgentContext.js';
import {AGENT_PLUGINS} from './plugins/index.js';
import {agentSettingsSchema, type AgentSettingsInput} from './settings.js';

const DRAIN_POLL_MS = 20;

/** Replacements for an agent's defaults, for tests and embedding programs. */
export interface AgentOverrides {
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  log?: LogService;
  random?: () => number;
}

/** The agent of one backend server. */
export interface Agent {
  /**
   * Binds the port, reads the engine's report and acquires a fencing token. If
   * the engine or the log is unavailable, it resolves after a few seconds and
   * keeps retrying both.
   *
   * @throws BanyanfoldError `port-in-use`.
   */
  start(): Promise<{port: number}>;
  /**
   * Refuses new attempts, and resolves when all open attempts have ended and
   * their responses are flushed, or the drain timeout has passed.
   */
  drain(): Promise<void>;
  /** Stops the agent and closes all connections without draining. */
  stop(): Promise<void>;
  handlers: AgentHandlers;
  metrics: Metrics;
}

/**
 * Creates the agent of one backend server. It does nothing until started.
 *
 * @example
 * const agent = createAgent({vmId: 'agent-1', internalKey,
 *   engine: {url: 'http://127.0.0.1:8311'},
 *   platform: {logUrl: 'http://127.0.0.1:8300'}});
 * const {port} = await agent.start();
 */
export function createAgent(
  settingsInput: AgentSettingsInput,
  overrides: AgentOverrides = {},
): Agent {
  const settings = agentSettingsSchema.parse(settingsInput);
  const clock = overrides.clock ?? systemClock;
  const logger = overrides.logger ?? createLogger({vm: settings.vmId});
  const metrics = overrides.metrics ?? new Metrics();
  const log =
    overrides.log ?? createLogService({url: settings.platform.logUrl, clock});
  const random = overrides.random ?? Math.random;
  const context = createAgentContext({
    settings,
    clock,
    logger,
    metrics,
    log,
    random,
  });
  const plugins = AGENT_PLUGINS.map(name =>
    agentPlugins.create(name, context, {}),
  );
  const kernel = new Kernel(plugins, logger);
  const handlers = createHandlers(context, () =>
    runInBackground({logger, step: 'drain'}, drain),
  );
  const server = createServer(context, handlers);
  let draining: Promise<void> | undefined;

  async function start(): Promise<{port: number}> {
    // Bind the port first. A paused earlier agent on this VM still holds it,
    // and once resumed it would send orders as if it were alone.
    const port = await server.listen(settings.host, settings.port);
    logger.info('agent-start', {
      port,
      incarnation: context.fence.incarnation,
      checksFencing: settings.engine.checksFencing,
    });
    await kernel.start();
    return {port};
  }

  function drain(): Promise<void> {
    draining ??= drainAttempts(context, server);
    return draining;
  }

  async function stop(): Promise<void> {
    context.markLeaving();
    logCutAttempts(context);
    await kernel.stop();
    await server.close();
    await context.close();
  }

  return {start, drain, stop, handlers, metrics};
}

function createHandlers(
  context: AgentContext,
  startDrain: () => void,
): AgentHandlers {
  return {
    report: async () => context.reporter.report(),
    reportSince: async cursor => context.reporter.reportSince(cursor),
    seal: async (attemptId, incarnation) => ({
      state: context.seals.seal(attemptId, incarnation),
    }),
    propose: proposal => context.proposals.propose(proposal),
    drain: async () => {
      startDrain();
      return {running: context.registry.openCount()};
    },
  };
}

function createServer(
  context: AgentContext,
  handlers: AgentHandlers,
): AgentServer {
  const {settings, logger, metrics} = context;
  return new AgentServer({
    internalKey: settings.internalKey,
    logger,
    metrics,
    control: createControlHandler({
      router: createAgentRouter(handlers),
      keys: [settings.internalKey],
    }),
    attempt: (path, req, res) => context.attempts.handle(path, req, res),
    resume: (input, res) =>
      resumeAttempt(context.attemptContext, {...input, res}),
    health: () => ({
      ok: !context.isLeaving(),
      leaving: context.isLeaving(),
      incarnation: context.fence.incarnation,
      hasFence: context.fence.current() !== undefined,
      hasReport: context.ledger.hasReport(),
    }),
    isLeaving: context.isLeaving,
  });
}

/**
 * Refuses new attempts and waits for the open ones up to the drain timeout.
 *
 * The listener stays open: entries still resume streams and seal attempts here,
 * and a successor that could bind the port would be a second agent of the same
 * engine.
 */
async function drainAttempts(
  context: AgentContext,
  server: AgentServer,
): Promise<void> {
  const {clock, logger, registry, settings} = context;
  context.markLeaving();
  logger.info('drain', {open: registry.openCount()});
  const endMs = clock.nowMs() + settings.drainBoundMs;
  // An answer that the engine has finished may not have reached its entry yet.
  const hasOpen = () =>
    registry.openCount() > 0 || server.openResponseCount > 0;
  while (hasOpen() && clock.nowMs() < endMs) {
    await sleep(clock, DRAIN_POLL_MS);
  }
  logger.info('drained', {open: registry.openCount()});
}

/** Attempts that the drain left open may end until the agent stops. */
function logCutAttempts({logger, registry, settings}: AgentContext): void {
  for (const attempt of registry.dispatchedIds()) {
    logger.warn('drain-cut', {attempt, boundMs: settings.drainBoundMs});
  }
}
