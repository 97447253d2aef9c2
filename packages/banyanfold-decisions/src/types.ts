/**
 * What the decision functions read and return. Extend these types; a rename
 * breaks entry and agent.
 */

/** A generator of numbers in [0, 1); passed in, so that runs repeat. */
export type Random = () => number;

/** One reason line for each candidate looked at. */
export interface CandidateReason {
  vmId: string;
  /** Lower is better: the estimated wait with all penalties, in ms. */
  scoreMs: number;
  /** Why it was chosen or left out, in a word or two. */
  reason: string;
}

/** What an entry believes of one runner. */
export interface RunnerView {
  vmId: string;
  failureDomain: string;
  region: string;
  runnerRole: string;
  reachable: boolean;
  leaving: boolean;
  /** Until when the runner is ejected as slow or failing; 0 when it isn't. */
  ejectedUntilMs: number;
  /** When the entry received the latest report. */
  reportReceivedMs: number;
  running: number;
  queued: number;
  /** The runner's own estimate of the wait to a first token. */
  queueDelayMs: number;
  /** Requests it runs at once, where the entry knows it. */
  maxRunning?: number;
  kvUsedBytes: number;
  kvCapacityBytes: number;
  /** Requests this entry sent after the report was made, and still open. */
  ownUnreported: number;
  /** Artifacts that are held and can serve. */
  artifacts: ReadonlySet<string>;
  /** Prefix hashes believed to be cached there. */
  cachedPrefixes: ReadonlySet<string>;
}

export interface RoutingView {
  runners: readonly RunnerView[];
  /** Where the entry is itself. */
  failureDomain: string;
  region: string;
}

export interface RoutingRequest {
  artifact: string;
  modelArtifact: string;
  priority: number;
  /** The runner role the selector prefers; empty for any. */
  runnerRole: string;
  prefixHash: string;
  promptTokens: number;
  maxTokens: number;
  /** For its first token, or for the whole answer of a service. */
  firstTokenBudgetMs: number;
  /** Runners that this request has tried already. */
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

/** A request that waits at an agent. */
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

/** Which request an agent runs next, and which it refuses at once. */
export interface QueueDecision {
  /** Undefined when nothing waits, or nothing that waits can start now. */
  next: QueuedRequest | undefined;
  /** These can't make their deadline any more; refuse them now. */
  tooLate: QueuedRequest[];
  /** When a caller refused now may come back. */
  retryAfterMs: number;
  reason: string;
}

/** What an agent knows when a request comes or a slot gets free. */
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
   * Smoothed time from dispatch to first token of requests of this class; the
   * view's when left out. A draft takes many times a short answer's, so that
   * one figure for both has short answers refused beside drafts.
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
  /** True once any byte has reached the caller. */
  firstByteSent: boolean;
  /** True when each attempt so far is proved not to have started. */
  allNeverStarted: boolean;
  repeatable: boolean;
  remainingBudgetMs: number;
}

export type RetryDecision =
  | {kind: 'retry'; delayMs: number; reason: string}
  | {kind: 'stop'; reason: string};

/** Measured behaviour of one runner over the last window. */
export interface RunnerOutcomes {
  vmId: string;
  successes: number;
  failures: number;
  /** Median over the window; 0 when no answer came. */
  firstTokenMs: number;
  /** Until when it is ejected already; it counts against the limit. */
  ejectedUntilMs?: number;
  /**
   * Runners are compared only within a group, for example their role: drafts
   * take longer to a first token than short answers on a healthy runner.
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
  /** Requests it runs at once, where the planner knows it. */
  maxRunning?: number;
  copies: readonly PlacementCopy[];
}

/** One labelled model or adapter version. */
export interface PlacementArtifact {
  artifact: string;
  /** The model's artifact; the same as `artifact` for a model. */
  modelArtifact: string;
  bytes: number;
  /** The best priority of the selectors that reach it; 0 is first. */
  priority: number;
  /** The runner role it prefers; empty for any. */
  runnerRole: string;
  /** Smoothed requests a second. */
  demandPerSecond: number;
  /** Smoothed time from dispatch to the end of an answer, where known. */
  serviceTimeMs?: number;
  /** Callers refused or waiting for lack of a copy since the last decision. */
  waiting: number;
}

export interface PlacementView {
  runners: readonly PlacementRunner[];
  artifacts: readonly PlacementArtifact[];
  /** Load proposals sent and not yet seen as held or failed. */
  loadsInFlight: number;
  /** When the most recent load proposal was sent. */
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
