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

/** Services and state that the components of an entry share. */
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

/** Continues a request with the next plug-in, and finally its dispatch. */
export type NextStep = () => Promise<RequestResult>;

/** Hooks that a plug-in of an entry may implement. */
export interface EntryPlugin extends Plugin {
  /** Wraps each accepted request; plug-ins nest in settings order. */
  aroundRequest?(job: RequestJob, next: NextStep): Promise<RequestResult>;
  /** Called after a request was answered. */
  requestEnded?(job: RequestJob, result: RequestResult): void;
  /** True if the plug-in runs non-repeatable requests at most once. */
  guardsNonRepeatable?: boolean;
  /** The epoch under which this entry plans; 0 while it isn't the planner. */
  plannerEpoch?(): number;
}

/** The registered plug-ins of entries, by name. */
export const entryPlugins = new PluginRegistry<EntryContext, EntryPlugin>();
