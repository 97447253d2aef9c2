import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  ConfigFollower,
  Retirements,
  type LogService,
} from '@banyanfold/platform';
import {AdmissionQueue} from './attempts/admissionQueue.js';
import type {AttemptContext} from './attempts/attemptContext.js';
import {AttemptRegistry} from './attempts/attemptRegistry.js';
import {AttemptSealer} from './attempts/attemptSealer.js';
import {AttemptServer} from './attempts/attemptServer.js';
import {EngineCanceller} from './attempts/engineCanceller.js';
import {createServiceDispatcher} from './attempts/serviceAttempt.js';
import {kvBytesPerTokenOf} from './control/configView.js';
import {EngineWatch} from './control/engineWatch.js';
import {LoadReporter} from './control/loadReporter.js';
import {PrefixTracker} from './control/prefixTracker.js';
import {ProposalHandler} from './control/proposalHandler.js';
import {RunnerRole} from './control/runnerRole.js';
import {EngineClient} from './engine/engineClient.js';
import {FenceKeeper} from './engine/fenceKeeper.js';
import {OrderSender} from './engine/orderSender.js';
import {MemoryLedger} from './memory/memoryLedger.js';
import type {AgentSettings} from './settings.js';

/** What all parts are built from. */
export interface AgentBasis {
  settings: AgentSettings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  log: LogService;
  random: () => number;
}

export type AgentParts = ReturnType<typeof createAgentParts>;

/** Builds the parts of an agent and connects them. */
export function createAgentParts(basis: AgentBasis) {
  const {settings, clock, logger, metrics, log, random} = basis;
  let leaving = false;
  let orderCount = 0;
  const setLeaving = () => {
    leaving = true;
  };
  const isLeaving = () => leaving;
  const fence = new FenceKeeper({
    log,
    vmId: settings.vmId,
    clock,
    logger,
    random,
    onFence: () => {},
  });
  /** Unique for all time: a fencing number names one process, once. */
  const nextOrderId = (artifact: string) =>
    `${settings.vmId}/${artifact}#${fence.incarnation}.${++orderCount}`;
  const engine = new EngineClient({...settings.engine, clock});
  const {checksFencing, orderLateBoundMs} = settings.engine;
  const ledger = new MemoryLedger({
    ...settings.memory,
    clock,
    checksFencing,
    orderLateBoundMs,
    nameCopy: nextOrderId,
  });
  const orders = new OrderSender({
    engine,
    ledger,
    clock,
    logger,
    metrics,
    random,
    fencing: () => fence.current(),
    onSuperseded: highestFencing => {
      logger.error('superseded', {highestFencing});
      fence.markSuperseded();
      setLeaving();
    },
  });
  const prefixes = new PrefixTracker(settings.maxCachedPrefixes);
  const role = new RunnerRole(settings.runnerRole);
  const queue = new AdmissionQueue({
    clock,
    logger,
    metrics,
    memory: ledger.budget,
    maxRunning: settings.maxRunning,
    maxQueued: settings.maxQueued,
  });
  const registry = new AttemptRegistry({
    clock,
    attemptIdMs: settings.retention.attemptIdMs,
    maxKeptBytes: settings.retention.totalBytes,
  });
  const config = new ConfigFollower({
    log,
    clock,
    logger,
    random,
    vmId: settings.vmId,
    // Checkpoints are the entries' work; an agent never finds one due.
    liveVmIds: () => [],
    retentionMs: Number.MAX_SAFE_INTEGER,
  });
  const retirements = new Retirements({
    log,
    clock,
    logger,
    random,
    vmId: settings.vmId,
    retentionMs: settings.platform.logRetentionMs,
  });
  const reporter = new LoadReporter({
    settings,
    clock,
    ledger,
    queue,
    prefixes,
    incarnation: () => fence.incarnation,
    isLeaving,
    configVersion: () => config.version,
    runnerRole: () => role.current,
  });
  const watch = new EngineWatch({
    clock,
    logger,
    metrics,
    engine,
    ledger,
    orders,
    fence,
    prefixes,
    intervalMs: settings.reportIntervalMs,
    runnerRole: () => role.current,
    nextOrderId,
    onReport: report => {
      role.observe(report);
      queue.pump();
    },
  });
  const proposals = new ProposalHandler({
    clock,
    logger,
    metrics,
    ledger,
    orders,
    retirements,
    inheritedRetireHoldMs: settings.memory.inheritedRetireHoldMs,
    hasFence: () => fence.current() !== undefined,
    isLeaving,
    nextOrderId,
    setRunnerRole: (name, setAtMs) => role.set(name, setAtMs),
  });
  const canceller = new EngineCanceller({
    engine,
    clock,
    logger,
    random,
    orderLateBoundMs,
  });
  const context: AttemptContext = {
    settings,
    clock,
    logger,
    metrics,
    engine,
    ledger,
    queue,
    registry,
    canceller,
    isOwnIncarnation: incarnation => fence.isOwn(incarnation),
    isLeaving,
    loadHeader: () => JSON.stringify(reporter.digest()),
    kvBytesPerToken: artifact => kvBytesPerTokenOf(config.state, artifact),
    notePrefix: prefixHash => prefixes.confirm(prefixHash),
    noteServed: artifact => reporter.noteServed(artifact),
  };
  const seals = new AttemptSealer({
    clock,
    registry,
    logger,
    graceMs: settings.retention.sealGraceMs,
    isOwnIncarnation: context.isOwnIncarnation,
  });
  const serviceDispatcher = createServiceDispatcher(settings.serviceTimeoutMs);
  const attempts = new AttemptServer(context, serviceDispatcher);
  registerGauges(metrics, {ledger, queue, registry});
  return {
    settings,
    clock,
    logger,
    metrics,
    fence,
    ledger,
    registry,
    retirements,
    config,
    reporter,
    watch,
    proposals,
    context,
    seals,
    attempts,
    isLeaving,
    setLeaving,
    stoppable: [
      fence,
      orders,
      watch,
      proposals,
      canceller,
      queue,
      config,
      retirements,
    ],
    close: async () => {
      await Promise.all([engine.close(), serviceDispatcher.destroy()]);
    },
  };
}

function registerGauges(
  metrics: Metrics,
  parts: Pick<AttemptContext, 'ledger' | 'queue' | 'registry'>,
): void {
  const {ledger, queue, registry} = parts;
  metrics.gauge('agent_running', () => queue.runningCount());
  metrics.gauge('agent_queued', () => queue.queuedCount());
  metrics.gauge('agent_open_attempts', () => registry.openCount());
  metrics.gauge('agent_memory_capacity_bytes', () =>
    ledger.budget.capacityBytes(),
  );
  metrics.gauge('agent_memory_free_bytes', () => ledger.budget.freeBytes());
  metrics.gauge('agent_kv_free_bytes', () => ledger.budget.kvFreeBytes());
}
