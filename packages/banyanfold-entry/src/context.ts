import {
  PluginRegistry,
  type Plugin,
  type PluginContext,
} from '@banyanfold/core';
import type {LogService, RetryBudget} from '@banyanfold/log';
import type {AttemptTransport} from './attempts/attemptTransport.js';
import type {ConfigWatch} from './config/configWatch.js';
import type {CallerDirectory} from './http/callers.js';
import type {Lifecycle} from './lifecycle.js';
import type {RequestJob, RequestResult} from './requests/types.js';
import type {MissCounter} from './routing/missCounter.js';
import type {EntrySettings} from './settings.js';
import type {AgentClients} from './view/agentClients.js';
import type {ClusterView} from './view/clusterView.js';

/** What the parts of an entry share. */
export interface EntryContext extends PluginContext {
  settings: EntrySettings;
  random: () => number;
  log: LogService;
  view: ClusterView;
  clients: AgentClients;
  transport: AttemptTransport;
  configWatch: ConfigWatch;
  callers: CallerDirectory;
  retryBudget: RetryBudget;
  misses: MissCounter;
  lifecycle: Lifecycle;
}

/** Runs the rest of a request. */
export type NextStep = () => Promise<RequestResult>;

/** The hooks of an entry's plug-ins. */
export interface EntryPlugin extends Plugin {
  /** Runs around each accepted request, in the order of the settings. */
  aroundRequest?(job: RequestJob, next: NextStep): Promise<RequestResult>;
  /** Called once a request has had its answer. */
  requestEnded?(job: RequestJob, result: RequestResult): void;
  /** True for the plug-in that keeps requests from running twice. */
  guardsNonRepeatable?: boolean;
  /** The epoch this entry plans with; 0 while it doesn't. */
  plannerEpoch?(): number;
}

/** Plug-ins of entries, by name. */
export const entryPlugins = new PluginRegistry<EntryContext, EntryPlugin>();
