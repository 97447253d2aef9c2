/**
 * Types that the decision functions read and return. The entry and the agent
 * depend on their names.
 */

/** Returns numbers in [0, 1); a parameter so that runs are repeatable. */
export type Random = () => number;

/** Why one candidate was chosen or not. */
export interface CandidateReason {
  vmId: string;
  /** Estimated wait with all penalties, in ms; lower is better. */
  scoreMs: number;
  /** Why it was chosen or excluded, in one or two words. */
  reason: string;
}

/** State of one runner, as far as an entry knows it. */
export interface RunnerView {
  vmId: string;
  failureDomain: string;
  region: string;
  runnerRole: string;
  reachable: boolean;
  leaving: boolean;
  /** End of its ejection as slow or failing; 0 if it is not ejected. */
  ejectedUntilMs: number;
  /** When the entry received the latest report. */
  reportReceivedMs: number;
  running: number;
  queued: number;
  /** The runner's own estimate of the time to a first token. */
  queueDelayMs: number;
  /** Requests that it runs at once, if the entry knows. */
  maxRunning?: number;
  kvUsedBytes: number;
  kvCapacityBytes: number;
  /** Requests in flight that this entry sent after the report was made. */
  ownUnreported: number;
  /** Artifacts that are held and can serve. */
  artifacts: ReadonlySet<string>;
  /** Hashes of the prefixes that are probably cached there. */
  cachedPrefixes: ReadonlySet<string>;
}

export interface RoutingView {
  runners: readonly RunnerView[];
  /** Location of the entry itself. */
  failureDomain: string;
  region: string;
}

export interface RoutingRequest {
  artifact: string;
  modelArtifact: string;
  priority: number;
  /** The runner role that the selector prefers; empty for any. */
  runnerRole: string;
  prefixHash: string;
  promptTokens: number;
  maxTokens: number;
  /** Time to the first token, or to the whole answer of a service. */
  firstTokenBudgetMs: number;
  /** Runners that were tried for this request. */
  triedVmIds: readonly string[];
}

export type RoutingDecision =
  | {
      kind: 'route';
      vmId: string;
      estimatedDelayMs: number;
      reasons: CandidateReason[];
    }
  | {
      kind: 'refuse';
      code: 'no-copy' | 'all-busy' | 'no-runner';
      retryAfterMs: number;
      reasons: CandidateReason[];
    };

/** A request that is queued at an agent. */
export interface QueuedRequest {
  attemptId: string;
  priority: number;
  enqueuedMs: number;
  /** When its first token is due. */
  deadlineMs: number;
  kvBytes: number;
  /** As in {@link AdmissionRequest}. */
  firstTokenMs?: number;
}

/** The request that an agent runs next, and those that it refuses. */
export interface QueueDecision {
  /** Undefined if nothing waits, or nothing that waits can start now. */
  next: QueuedRequest | undefined;
  /** Requests that can no longer meet their deadline, to be refused now. */
  tooLate: QueuedRequest[];
  /** Time after which a caller refused now may retry. */
  retryAfterMs: number;
  reason: string;
}

/** State of an agent when a request arrives or a slot becomes free. */
export interface AdmissionView {
  running: number;
  maxRunning: number;
  queue: readonly QueuedRequest[];
  maxQueued: number;
  kvFreeBytes: number;
  /** Smoothed time from dispatch to the end of an answer. */
  serviceTimeMs: number;
  /** Smoothed time from dispatch to the first token. */
  firstTokenMs: number;
}

export interface AdmissionRequest {
  priority: number;
  firstTokenBudgetMs: number;
  kvBytes: number;
  /**
   * Smoothed time from dispatch to the first token for requests of this class;
   * by default that of the view. A draft takes many times as long as a short
   * answer, so that a common value would cause short answers to be refused next
   * to drafts.
   */
  firstTokenMs?: number;
}

export type AdmissionDecision =
  | {kind: 'run'; estimatedDelayMs: number; reason: string}
  | {kind: 'queue'; estimatedDelayMs: number; reason: string}
  | {
      kind: 'refuse';
      code: 'busy' | 'too-late' | 'no-kv-memory';
      estimatedDelayMs: number;
      retryAfterMs: number;
      reason: string;
    };

export interface RetryView {
  attemptsMade: number;
  /** Tokens left in the process's retry budget. */
  budgetTokens: number;
  /** Whether any byte has reached the caller. */
  firstByteSent: boolean;
  /** Whether each attempt so far provably never started. */
  allNeverStarted: boolean;
  repeatable: boolean;
  remainingBudgetMs: number;
}

export type RetryDecision =
  | {kind: 'retry'; delayMs: number; reason: string}
  | {kind: 'stop'; reason: string};

/** Measured behaviour of one runner within the last window. */
export interface RunnerOutcomes {
  vmId: string;
  successes: number;
  failures: number;
  /** Median over the window; 0 if there was no answer. */
  firstTokenMs: number;
  /** End of a current ejection, which counts against the limit. */
  ejectedUntilMs?: number;
  /**
   * Runners are compared only within a group, for example their role: on a
   * healthy runner, drafts take longer to a first token than short answers.
   */
  peerGroup?: string;
}

export interface EjectionDecision {
  ejected: Array<{vmId: string; untilMs: number; reason: string}>;
}

export type CopyState = 'reserved' | 'held' | 'releasing' | 'in-doubt';

export interface PlacementCopy {
  artifact: string;
  bytes: number;
  copyId: string;
  state: CopyState;
  idleMs: number;
}

export interface PlacementRunner {
  vmId: string;
  failureDomain: string;
  runnerRole: string;
  reachable: boolean;
  leaving: boolean;
  memoryCapacityBytes: number;
  memoryFreeBytes: number;
  running: number;
  queued: number;
  /** Requests that it runs at once, if the planner knows. */
  maxRunning?: number;
  copies: readonly PlacementCopy[];
}

/** One published version of a model or adapter. */
export interface PlacementArtifact {
  artifact: string;
  /** Artifact of the model; the same as `artifact` for a model. */
  modelArtifact: string;
  bytes: number;
  /** Best priority of the selectors that reach it; 0 is the highest. */
  priority: number;
  /** The runner role that it prefers; empty for any. */
  runnerRole: string;
  /** Smoothed requests per second. */
  demandPerSecond: number;
  /** Smoothed time from dispatch to the end of an answer, if known. */
  serviceTimeMs?: number;
  /** Callers refused or waiting for lack of a copy since the last decision. */
  waiting: number;
}

export interface PlacementView {
  runners: readonly PlacementRunner[];
  artifacts: readonly PlacementArtifact[];
  /** Proposed loads that are not yet reported as held or failed. */
  loadsInFlight: number;
  /** When the most recent load was proposed. */
  lastLoadMs: number;
}

export interface Move {
  kind: 'load' | 'retire' | 'set-role';
  vmId: string;
  artifact: string;
  bytes: number;
  runnerRole: string;
  reliesOnCopyIds: string[];
  reason: string;
}

export interface PlacementDecision {
  moves: Move[];
  /** Artifacts that no runner can take now, with the reason. */
  unplaced: Array<{artifact: string; reason: string}>;
}
