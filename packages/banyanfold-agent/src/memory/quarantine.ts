import type {ReportTiming} from './allocation.js';

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
  /** Agent clock: no earlier agent process sends orders after this time. */
  startMs: number;
  checksFencing: boolean;
  orderLateBoundMs: number;
}

/**
 * Tracks the period in which orders of an earlier agent process may still
 * reach the engine.
 *
 * A killed agent can leave orders in flight that its successor doesn't know
 * about. If the successor has already reserved the memory for something else,
 * such a load commits it twice. An engine that checks fencing rejects these
 * orders once it has accepted an order with the new fencing token. Without
 * fencing they can arrive until the bound on late delivery has passed. A report
 * taken after that point contains the complete inventory and ends the
 * quarantine.
 */
export class Quarantine {
  private startedAtMs: number;
  private isInventoryComplete = false;
  private kvUseKnown = false;
  /** Engine clock at its first answer; no other agent sends requests later. */
  private firstResponseEngineMs: number | undefined;
  /** Engine clock: a report taken later contains the complete inventory. */
  private completeAfterEngineMs: number | undefined;

  constructor(private readonly options: QuarantineOptions) {
    this.startedAtMs = options.startMs;
  }

  get isOver(): boolean {
    return this.isInventoryComplete;
  }

  /**
   * Whether a report was taken after the engine's first answer to this process.
   * Earlier reports may lack the last requests of the previous process, whose
   * KV cache may exceed the floor.
   */
  get isKvUseKnown(): boolean {
    return this.kvUseKnown;
  }

  /** Whether no order with the new fencing token has been accepted yet. */
  get needsBarrier(): boolean {
    return (
      this.options.checksFencing && this.completeAfterEngineMs === undefined
    );
  }

  /**
   * Records that the engine accepted an order with the new fencing token.
   *
   * @param visibleAfterMs Engine clock: reports taken later reflect all earlier
   *     orders.
   */
  noteBarrierAccepted(visibleAfterMs: number): void {
    this.completeAfterEngineMs ??= visibleAfterMs;
  }

  /** Restarts the quarantine after an engine restart. */
  restart(nowMs: number): void {
    this.startedAtMs = nowMs;
    this.isInventoryComplete = false;
    this.completeAfterEngineMs = undefined;
    this.kvUseKnown = false;
    this.firstResponseEngineMs = undefined;
  }

  observeTiming({sentAtMs, engineNowMs}: ReportTiming): void {
    this.firstResponseEngineMs ??= engineNowMs;
    const {checksFencing, orderLateBoundMs} = this.options;
    if (checksFencing || sentAtMs < this.startedAtMs + orderLateBoundMs) return;
    this.completeAfterEngineMs ??= engineNowMs;
  }

  observeReport(takenAtMs: number): void {
    const {firstResponseEngineMs, completeAfterEngineMs} = this;
    if (
      firstResponseEngineMs !== undefined &&
      takenAtMs > firstResponseEngineMs
    ) {
      this.kvUseKnown = true;
    }
    if (
      completeAfterEngineMs !== undefined &&
      takenAtMs > completeAfterEngineMs
    ) {
      this.isInventoryComplete = true;
    }
  }
}
