import type {ReportTiming} from './allocation.js';

/** How a quarantine is built. */
export interface QuarantineOptions {
  /** Own clock, when no earlier process could order any more. */
  startMs: number;
  checksFencing: boolean;
  orderLateBoundMs: number;
}

/**
 * The time in which orders of an earlier process may still arrive.
 *
 * A killed agent leaves orders under way that its successor knows nothing of.
 * A load that comes after the successor has given the memory away commits it
 * twice. An engine that checks fencing refuses them from the moment it takes an
 * order under the new number; of one that doesn't, they can come until the
 * bound on late delivery. A report taken after that moment shows all there is.
 */
export class Quarantine {
  private startedAtMs: number;
  private isInventoryComplete = false;
  private kvUseKnown = false;
  /** Engine clock: at the first answer; nobody else sent requests after it. */
  private firstResponseEngineMs: number | undefined;
  /** Engine clock: a report taken later shows all that there is. */
  private completeAfterEngineMs: number | undefined;

  constructor(private readonly options: QuarantineOptions) {
    this.startedAtMs = options.startMs;
  }

  get isOver(): boolean {
    return this.isInventoryComplete;
  }

  /**
   * Whether a report from after the start was read. Before it nobody knows what
   * the requests of an earlier process take: reports lag, and its last ones,
   * which may have gone beyond the floor, are not in them yet.
   */
  get isKvUseKnown(): boolean {
    return this.kvUseKnown;
  }

  /** Whether an order under the new fencing number is still to be taken. */
  get needsBarrier(): boolean {
    return (
      this.options.checksFencing && this.completeAfterEngineMs === undefined
    );
  }

  /**
   * The engine took an order under the new number.
   *
   * @param visibleAfterMs engine clock: later reports show all earlier orders.
   */
  noteBarrierAccepted(visibleAfterMs: number): void {
    this.completeAfterEngineMs ??= visibleAfterMs;
  }

  /** Begins again: the engine is a new one. */
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
