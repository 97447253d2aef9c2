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
import type {FenceKeeper} from './engine/fenceKeeper.js';
import type {OrderSender} from './engine/orderSender.js';
import type {MemoryLedger} from './memory/memoryLedger.js';
import type {AgentSettings} from './settings.js';

/** What all parts of an agent are built from. */
export interface AgentDependencies extends PluginContext {
  settings: AgentSettings;
  log: LogService;
  random: () => number;
}

/** Whether the agent leaves; once it does, it does so for good. */
export interface LeavingFlag {
  isLeaving(): boolean;
  markLeaving(): void;
}

/** The engine, its memory, and the right to give it orders. */
export interface EngineParts {
  fence: FenceKeeper;
  engine: EngineClient;
  ledger: MemoryLedger;
  orders: OrderSender;
  nextOrderId(artifact: string): string;
}

/** What waits and what runs. */
export interface AdmissionParts {
  queue: AdmissionQueue;
  registry: AttemptRegistry;
}

/** What planners and entries are told, and what they may ask for. */
export interface ControlParts {
  prefixes: PrefixTracker;
  role: RunnerRoleState;
  config: ConfigFollower;
  retirements: Retirements;
  reporter: LoadReporter;
  engineMonitor: EngineMonitor;
  proposals: ProposalHandler;
}

/** The way of a request. */
export interface DataPathParts {
  attemptContext: AttemptContext;
  attempts: AttemptServer;
  seals: AttemptSealer;
  /** Ends what still goes on in the background. */
  close(): Promise<void>;
}

/** What the parts of an agent share. */
export type AgentContext = AgentDependencies &
  LeavingFlag &
  EngineParts &
  AdmissionParts &
  ControlParts &
  DataPathParts;

/** Plug-ins of agents, by name. */
export const agentPlugins = new PluginRegistry<AgentContext, Plugin>();
