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
  /** Engine clock: a report taken later shows all that there is. */
  private certainAfterMs: number | undefined;

  constructor(private readonly options: QuarantineOptions) {
    this.startMs = options.startMs;
  }

  get isOver(): boolean {
    return this.certain;
  }

  /** Whether an order under the new fencing number is still to be taken. */
  get needsBarrier(): boolean {
    return this.options.checksFencing && this.certainAfterMs === undefined;
  }

  /** The engine took an order under the new number, at this time of its clock. */
  barrierPassed(receivedAtMs: number): void {
    this.certainAfterMs ??= receivedAtMs;
  }

  /** Begins again: the engine is a new one. */
  restart(nowMs: number): void {
    this.startMs = nowMs;
    this.certain = false;
    this.certainAfterMs = undefined;
  }

  noteTiming({askedAtMs, engineNowMs}: ReportTiming): void {
    const {checksFencing, orderLateBoundMs} = this.options;
    if (checksFencing || askedAtMs < this.startMs + orderLateBoundMs) return;
    this.certainAfterMs ??= engineNowMs;
  }

  noteReport(takenAtMs: number): void {
    if (this.certainAfterMs === undefined) return;
    if (takenAtMs > this.certainAfterMs) this.certain = true;
  }
}
