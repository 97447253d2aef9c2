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
  private startMs: number;
  private certain = false;
  private fresh = false;
  /** Engine clock: at the first answer; nobody else sent requests after it. */
  private firstAnswerMs: number | undefined;
  /** Engine clock: a report taken later shows all that there is. */
  private certainAfterMs: number | undefined;

  constructor(private readonly options: QuarantineOptions) {
    this.startMs = options.startMs;
  }

  get isOver(): boolean {
    return this.certain;
  }

  /**
   * Whether a report from after the start was read. Before it nobody knows what
   * the requests of an earlier process take: reports lag, and its last ones,
   * which may have gone beyond the floor, are not in them yet.
   */
  get isFresh(): boolean {
    return this.fresh;
  }

  /** Whether an order under the new fencing number is still to be taken. */
  get needsBarrier(): boolean {
    return this.options.checksFencing && this.certainAfterMs === undefined;
  }

  /**
   * The engine took an order under the new number.
   *
   * @param visibleAfterMs engine clock: later reports show all earlier orders.
   */
  barrierPassed(visibleAfterMs: number): void {
    this.certainAfterMs ??= visibleAfterMs;
  }

  /** Begins again: the engine is a new one. */
  restart(nowMs: number): void {
    this.startMs = nowMs;
    this.certain = false;
    this.certainAfterMs = undefined;
    this.fresh = false;
    this.firstAnswerMs = undefined;
  }

  noteTiming({askedAtMs, engineNowMs}: ReportTiming): void {
    this.firstAnswerMs ??= engineNowMs;
    const {checksFencing, orderLateBoundMs} = this.options;
    if (checksFencing || askedAtMs < this.startMs + orderLateBoundMs) return;
    this.certainAfterMs ??= engineNowMs;
  }

  noteReport(takenAtMs: number): void {
    const {firstAnswerMs, certainAfterMs} = this;
    if (firstAnswerMs !== undefined && takenAtMs > firstAnswerMs) {
      this.fresh = true;
    }
    if (certainAfterMs !== undefined && takenAtMs > certainAfterMs) {
      this.certain = true;
    }
  }
}
