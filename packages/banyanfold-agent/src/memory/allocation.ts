import type {Copy} from '@banyanfold/protocol';

export type AllocationState = Copy['state'];

/**
 * The accelerator memory of one copy of an artifact, from the reservation for
 * its load order until a report shows that it was released.
 */
export interface Allocation {
  artifact: string;
  bytes: number;
  state: AllocationState;
  /** The id of the load order; newly created for a copy found in a report. */
  copyId: string;
  /**
   * Agent clock: when the load order was last sent. Undefined for a copy found
   * in a report.
   */
  loadSentAtMs?: number;
  /**
   * Engine clock: a report taken after this time that doesn't list the copy
   * proves that it isn't loaded and that no order in flight can still load it.
   */
  conclusiveAfterMs?: number;
  /** Whether any report has listed the copy. */
  isReported: boolean;
  /** Engine clock: reports taken later reflect the accepted unload order. */
  unloadVisibleAfterMs?: number;
  unloadOrderId?: string;
  /** Agent clock: when the unload order was first sent. */
  unloadSentAtMs?: number;
  /** Engine clock: the unload order was sent before this time. */
  unloadSentBeforeEngineMs?: number;
  /** The number of admitted requests that use the copy. */
  activeRequests: number;
  /** Agent clock. */
  lastUsedAtMs: number;
  /** Whether the copy drains before its unload and gets no new requests. */
  isRetiring: boolean;
  /**
   * Whether the copy was found in a report: an earlier agent process loaded it
   * under a different id.
   */
  isInherited: boolean;
  /** Agent clock: when the ledger first recorded the copy. */
  firstKnownAtMs: number;
}

/** The reason why memory for a load can't be reserved. */
export type ReserveRefusal =
  'no-report' | 'quarantine' | 'no-memory' | 'releasing';

/** A change of one allocation, or an engine restart, for logs and metrics. */
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

/** The fields of an engine report that the ledger uses. */
export interface LedgerReport {
  /** Engine clock. */
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

/** When the request for a report was sent and answered. */
export interface ReportTiming {
  /** Agent clock: before the request was sent. */
  sentAtMs: number;
  /** Engine clock: when the engine answered. */
  engineNowMs: number;
}

/**
 * Invalidates an allocation's times of the previous engine process after an
 * engine restart. A load in doubt starts its late bound again.
 */
export function resetEngineTimes(
  allocation: Allocation,
  engineNowMs: number,
  nowMs: number,
): void {
  const isInDoubt = allocation.state === 'in-doubt';
  allocation.conclusiveAfterMs = isInDoubt ? undefined : engineNowMs;
  if (isInDoubt) allocation.loadSentAtMs = nowMs;
  if (allocation.unloadVisibleAfterMs !== undefined) {
    allocation.unloadVisibleAfterMs = engineNowMs;
  }
  allocation.unloadSentBeforeEngineMs = undefined;
}
