import {
  PluginRegistry,
  type Plugin,
  type PluginContext,
} from '@banyanfold/core';
import type {ConfigFollower, LogService, Retirements} from '@banyanfold/log';
import type {AttemptContext} from './attempts/attemptContext.js';
import type {AttemptSealer} from './attempts/attemptSealer.js';
import type {AttemptServer} from './attempts/attemptServer.js';
import type {EngineMonitor} from './control/engineMonitor.js';
import type {LoadReporter} from './control/loadReporter.js';
import type {PrefixTracker} from './control/prefixTracker.js';
import type {ProposalHandler} from './control/proposalHandler.js';
import type {RunnerRoleState} from './control/runnerRoleState.js';
import type {AdmissionQueue} from './attempts/admissionQueue.js';
import type {AttemptRegistry} from './attempts/attemptRegistry.js';
import type {EngineClient} from './engine/engineClient.js';
import type {FencingTokenManager} from './engine/fencingTokenManager.js';
import type {OrderSender} from './engine/orderSender.js';
import type {MemoryLedger} from './memory/memoryLedger.js';
import type {AgentSettings} from './settings.js';

/** Settings and services that all parts of an agent depend on. */
export interface AgentDependencies extends PluginContext {
  settings: AgentSettings;
  log: LogService;
  random: () => number;
}

/** Whether the agent is shutting down. Once set, the flag is never cleared. */
export interface LeavingFlag {
  isLeaving(): boolean;
  markLeaving(): void;
}

/** The parts that manage the engine, its memory and the orders sent to it. */
export interface EngineParts {
  fence: FencingTokenManager;
  engine: EngineClient;
  ledger: MemoryLedger;
  orders: OrderSender;
  /** Creates a unique id for an order about an artifact. */
  nextOrderId(artifact: string): string;
}

/** The parts that queue, admit and track attempts. */
export interface AdmissionParts {
  queue: AdmissionQueue;
  registry: AttemptRegistry;
}

/** The parts that follow engine and log, report load and handle proposals. */
export interface ControlParts {
  prefixes: PrefixTracker;
  role: RunnerRoleState;
  config: ConfigFollower;
  retirements: Retirements;
  reporter: LoadReporter;
  engineMonitor: EngineMonitor;
  proposals: ProposalHandler;
}

/** The parts that serve requests. */
export interface DataPathParts {
  attemptContext: AttemptContext;
  attempts: AttemptServer;
  seals: AttemptSealer;
  /** Stops background work and closes the connections to the engine. */
  close(): Promise<void>;
}

/** All parts of an agent. */
export type AgentContext = AgentDependencies &
  LeavingFlag &
  EngineParts &
  AdmissionParts &
  ControlParts &
  DataPathParts;

/** The registry of agent plug-ins by name. */
export const agentPlugins = new PluginRegistry<AgentContext, Plugin>();
