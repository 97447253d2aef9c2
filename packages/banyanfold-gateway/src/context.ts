import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {FairShares} from './callers/fairShares.js';
import type {UsageAccounts} from './callers/usageAccounts.js';
import type {TrialInput} from './crashes/crashContract.js';
import type {CrashSuspects} from './crashes/crashSuspects.js';
import type {CrashDetector} from './crashes/crashDetector.js';
import type {ServiceRetryBudget} from './requests/serviceRetryBudget.js';
import type {WorkForecast} from './requests/workForecast.js';
import type {DemandMeter} from './placement/demandMeter.js';
import type {GatewayOptions} from './options.js';
import type {HeldCopies} from './runners/heldCopies.js';
import type {PromptGate} from './runners/promptGate.js';
import type {RunnerBackoffs} from './runners/runnerBackoffs.js';
import type {RunnerCapacities} from './runners/runnerCapacities.js';
import type {RunnerConnections} from './runners/runnerConnections.js';
import type {RunnerRateLimits} from './runners/runnerRateLimits.js';
import type {RunnerStates} from './runners/runnerStates.js';
import type {BacklogWatch} from './resources/backlogWatch.js';
import type {DescriptorBudget} from './resources/descriptorBudget.js';
import type {HeldBytes} from './resources/heldBytes.js';
import type {RequestPlaces} from './resources/requestPlaces.js';
import type {StreamOrigins} from './streams/streamOrigins.js';
import type {RequestCodec} from './types.js';
import type {FleetView} from './view/fleetView.js';
import type {ViewFreshness} from './view/viewFreshness.js';

/** Ensures that a runner holds an adapter; resolves to false if it can't. */
export type EnsureAdapter = (wanted: {
  runnerId: string;
  model: string;
  adapter: string;
}) => Promise<boolean>;

/** Returns the runner on which a suspect may run now; undefined if none yet. */
export type PermitTrial = (wanted: TrialInput) => Promise<string | undefined>;

/** The dependencies of request handling. */
export interface GatewayContext {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  options: GatewayOptions;
  failureDomain: string;
  view: FleetView;
  viewFreshness: ViewFreshness;
  codec: RequestCodec;
  connections: RunnerConnections;
  runnerStates: RunnerStates;
  capacities: RunnerCapacities;
  promptGate: PromptGate;
  rateLimits: RunnerRateLimits;
  runnerBackoffs: RunnerBackoffs;
  crashWatch: CrashDetector;
  suspects: CrashSuspects;
  heldCopies: HeldCopies;
  demand: DemandMeter;
  usage: UsageAccounts;
  /** Undefined if the memory held for callers is not limited. */
  heldBytes?: HeldBytes;
  /** Undefined if the process's own backlog is not watched. */
  backlog?: BacklogWatch;
  /** Undefined if the connections of the process are not limited. */
  descriptors?: DescriptorBudget;
  /** Undefined if the requests of the process are not limited. */
  requestPlaces?: RequestPlaces;
  fairShares: FairShares;
  workForecast: WorkForecast;
  streamOrigins: StreamOrigins;
  /**
   * How long keys are accepted after the configuration was last confirmed, in
   * ms; undefined if without limit.
   */
  keysTrustedMs: number | undefined;
  /** Time from its acknowledgement until a configuration applies everywhere. */
  configApplyMs: number;
  /** Reads the configuration again. */
  refreshConfig(): void;
  /** Number of active entries, including this one. */
  entryCount(): number;
  retryBudgetOf(service: string): ServiceRetryBudget;
  ensureAdapter: EnsureAdapter;
  permitTrial: PermitTrial;
  /** Uniform in [0, 1). */
  random(): number;
  /** True once this process has started to drain. */
  isDraining(): boolean;
  /**
   * When this process ends the requests that are still open, in ms of the
   * clock; undefined until it drains and the balancer has stopped sending
   * callers.
   */
  drainDeadlineMs(): number | undefined;
}
