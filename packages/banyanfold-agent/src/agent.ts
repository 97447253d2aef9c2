import {
  createLogger,
  Metrics,
  sleep,
  systemClock,
  type Clock,
  type Logger,
} from '@banyanfold/core';
import {createLogService, type LogService} from '@banyanfold/platform';
import {
  createAgentRouter,
  createControlHandler,
  type AgentHandlers,
} from '@banyanfold/protocol';
import {createAgentParts, type AgentParts} from './agentParts.js';
import {resumeAttempt} from './attempts/resumeAttempt.js';
import {AgentServer} from './http/agentServer.js';
import {agentSettingsSchema, type AgentSettingsInput} from './settings.js';

const DRAIN_POLL_MS = 20;

/** What a test or an embedding program may put in place of the defaults. */
export interface AgentOverrides {
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  log?: LogService;
  random?: () => number;
}

/** The process beside one backend server. */
export interface Agent {
  /**
   * Binds the port, then takes a fencing number and reads the engine. Resolves
   * also while the log or the engine is out; both are tried on.
   *
   * @throws BanyanfoldError `port-in-use`.
   */
  start(): Promise<{port: number}>;
  /** Takes no new work, and resolves when what runs has ended or was cut. */
  drain(): Promise<void>;
  stop(): Promise<void>;
  handlers: AgentHandlers;
  metrics: Metrics;
}

/**
 * Creates the agent of one backend server.
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
  const parts = createAgentParts({
    settings,
    clock,
    logger,
    metrics,
    log,
    random,
  });
  const handlers = createHandlers(parts, () => void drain());
  const server = createServer(parts, handlers);
  let draining: Promise<void> | undefined;

  async function start(): Promise<{port: number}> {
    // The port goes first: a predecessor on this VM that is paused still holds
    // it, and would wake up beside us and order as if alone.
    const port = await server.listen(settings.host, settings.port);
    logger.info('agent-start', {
      port,
      incarnation: parts.fence.incarnation,
      checksFencing: settings.engine.checksFencing,
    });
    const [hasFence] = await Promise.all([
      parts.fence.tryAcquire(),
      parts.watch.start(),
    ]);
    if (!hasFence) void parts.fence.acquire();
    parts.retirements.start();
    parts.config.start();
    return {port};
  }

  function drain(): Promise<void> {
    draining ??= finishWork(parts);
    return draining;
  }

  async function stop(): Promise<void> {
    parts.setLeaving();
    for (const part of parts.stoppable) part.stop();
    await server.close();
    await parts.close();
  }

  return {start, drain, stop, handlers, metrics};
}

function createHandlers(
  parts: AgentParts,
  startDrain: () => void,
): AgentHandlers {
  return {
    report: async () => parts.reporter.report(),
    seal: async (attemptId, incarnation) => ({
      state: parts.seals.seal(attemptId, incarnation),
    }),
    propose: proposal => parts.proposals.propose(proposal),
    drain: async () => {
      startDrain();
      return {running: parts.registry.openCount()};
    },
  };
}

function createServer(parts: AgentParts, handlers: AgentHandlers): AgentServer {
  const {settings, logger, metrics} = parts;
  return new AgentServer({
    internalKey: settings.internalKey,
    logger,
    metrics,
    control: createControlHandler({
      router: createAgentRouter(handlers),
      keys: [settings.internalKey],
    }),
    attempt: (path, req, res) => parts.attempts.handle(path, req, res),
    resume: (input, res) => resumeAttempt(parts.context, {...input, res}),
    health: () => ({
      ok: !parts.isLeaving(),
      leaving: parts.isLeaving(),
      incarnation: parts.fence.incarnation,
      hasFence: parts.fence.current() !== undefined,
      hasReport: parts.ledger.hasReport(),
    }),
    isLeaving: parts.isLeaving,
  });
}

/**
 * Refuses new work and waits for what runs. The listener stays: entries still
 * resume and seal here, and a successor that bound the port now would be a
 * second agent beside the engine.
 */
async function finishWork(parts: AgentParts): Promise<void> {
  const {clock, logger, registry, settings} = parts;
  parts.setLeaving();
  logger.info('drain', {open: registry.openCount()});
  const endMs = clock.nowMs() + settings.drainBoundMs;
  while (registry.openCount() > 0 && clock.nowMs() < endMs) {
    await sleep(clock, DRAIN_POLL_MS);
  }
  for (const attempt of registry.dispatched()) {
    logger.warn('drain-cut', {attempt, boundMs: settings.drainBoundMs});
  }
  logger.info('drained', {cut: registry.openCount()});
}
