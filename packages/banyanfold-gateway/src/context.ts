import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {RetryBudget} from '@banyanfold/log';
import type {UsageAccounts} from './callers/usageAccounts.js';
import type {TrialInput} from './crashes/crashContract.js';
import type {CrashSuspects} from './crashes/crashSuspects.js';
import type {CrashWatch} from './crashes/crashWatch.js';
import type {WorkForecast} from './requests/workForecast.js';
import type {DemandMeter} from './placement/demandMeter.js';
import type {GatewayOptions} from './options.js';
import type {HeldCopies} from './runners/heldCopies.js';
import type {PromptGate} from './runners/promptGate.js';
import type {RunnerConnections} from './runners/runnerConnections.js';
import type {RunnerRateLimits} from './runners/runnerRateLimits.js';
import type {RunnerStates} from './runners/runnerStates.js';
import type {RequestCodec} from './types.js';
import type {FleetView} from './view/fleetView.js';

/** Makes sure that an adapter is at a runner; false when it can't be. */
export type EnsureAdapter = (wanted: {
  runnerId: string;
  model: string;
  adapter: string;
}) => Promise<boolean>;

/** At which runner a suspect may run now; undefined while it has to wait. */
export type PermitTrial = (wanted: TrialInput) => Promise<string | undefined>;

/** What handling a request needs. */
export interface GatewayContext {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  options: GatewayOptions;
  failureDomain: string;
  view: FleetView;
  codec: RequestCodec;
  connections: RunnerConnections;
  runnerStates: RunnerStates;
  promptGate: PromptGate;
  rateLimits: RunnerRateLimits;
  crashWatch: CrashWatch;
  suspects: CrashSuspects;
  heldCopies: HeldCopies;
  demand: DemandMeter;
  usage: UsageAccounts;
  workForecast: WorkForecast;
  /**
   * Keys are accepted so long after the configuration was last confirmed, in ms;
   * undefined for however long.
   */
  keysTrustedMs: number | undefined;
  /** So long after its acknowledgement a configuration is in force everywhere. */
  configApplyMs: number;
  /** Reads the configuration anew. */
  refreshConfig(): void;
  /** Entries that are at work, this one included. */
  entryCount(): number;
  retryBudgetOf(service: string): RetryBudget;
  ensureAdapter: EnsureAdapter;
  permitTrial: PermitTrial;
  random(): number;
  /** True once this process is leaving. */
  isDraining(): boolean;
  /**
   * When this process cuts off what it still carries, in ms of the clock;
   * undefined until it leaves and the balancer has noticed.
   */
  drainDeadlineMs(): number | undefined;
}
