import type {Copy} from '@banyanfold/protocol';

export type AllocationState = Copy['state'];

/** The memory of one copy of an artifact, from its order to its release. */
export interface Allocation {
  artifact: string;
  bytes: number;
  state: AllocationState;
  /** The id of the load order; made up for a copy found at the start. */
  copyId: string;
  /** Own clock: when its load order was last sent; undefined if found. */
  loadSentAtMs?: number;
  /**
   * Engine clock: from then on a report that lacks the copy proves that it
   * isn't there, and that no order still under way can bring it.
   */
  conclusiveAfterMs?: number;
  /** Whether some report has listed it. */
  isReported: boolean;
  /** Engine clock: a later report shows that the engine took the unload. */
  unloadVisibleAfterMs?: number;
  unloadOrderId?: string;
  /** Own clock: when the unload order was first sent. */
  unloadSentAtMs?: number;
  /** Engine clock: the unload order had been sent by then. */
  unloadSentBeforeEngineMs?: number;
  /** Requests that use it now. */
  activeRequests: number;
  lastUsedAtMs: number;
  /** Set while it drains for its retirement: no new request gets it. */
  isRetiring: boolean;
  /** Found in a report: an earlier process ordered it, under another id. */
  isInherited: boolean;
  /** Own clock. */
  firstKnownAtMs: number;
}

/** Why a load can't be reserved. */
export type ReserveRefusal =
  'no-report' | 'quarantine' | 'no-memory' | 'releasing';

/** What changed in the ledger, for the log. */
export interface LedgerEvent {
  kind:
    | 'adopted'
    | 'held'
    | 'load-failed'
    | 'doubt-ended'
    | 'released'
    | 'vanished'
    | 'foreign-unload'
    | 'unload-ignored'
    | 'engine-restarted';
  artifact: string;
  copyId: string;
}

/** The engine's view of its memory, with the times that make it evidence. */
export interface LedgerReport {
  takenAtMs: number;
  kvUsedBytes: number;
  kvCapacityBytes: number;
  memoryCapacityBytes: number;
  models: ReadonlyArray<{
    artifact: string;
    bytes: number;
    state: 'loading' | 'loaded' | 'unloading';
  }>;
}

/** When a report was asked for and answered. */
export interface ReportTiming {
  /** Own clock, before the request left. */
  sentAtMs: number;
  /** Engine clock, when it answered. */
  engineNowMs: number;
}

/** Makes the times of an engine that is gone prove nothing any more. */
export function resetEngineTimes(
  allocation: Allocation,
  engineNowMs: number,
  nowMs: number,
): void {
  const isDoubt = allocation.state === 'in-doubt';
  allocation.conclusiveAfterMs = isDoubt ? undefined : engineNowMs;
  if (isDoubt) allocation.loadSentAtMs = nowMs;
  if (allocation.unloadVisibleAfterMs !== undefined) {
    allocation.unloadVisibleAfterMs = engineNowMs;
  }
  allocation.unloadSentBeforeEngineMs = undefined;
}
