import type {LedgerReport} from './allocation.js';

/** Options of {@link KvAccount}. */
export interface KvAccountOptions {
  /** Agent clock. */
  startMs: number;
  /** This long after the start, all requests from before it have ended. */
  inheritedBoundMs: number;
}

/**
 * Tracks the KV cache that admitted requests use or may grow into.
 *
 * Engines report the current use, but a request grows until its last token. If
 * only the current use were counted, a load could take memory that running
 * requests are about to need. Each request therefore reserves memory for its
 * prompt and its maximum output, from its admission until the engine is known
 * to have ended it.
 */
export class KvAccount {
  private readonly bytesByRequest = new Map<string, number>();
  private totalReservedBytes = 0;
  /** Upper bound of the use by requests from before this process started. */
  private inheritedBytes = 0;
  private wasComplete = false;

  constructor(private readonly options: KvAccountOptions) {}

  reserve(requestKey: string, bytes: number): void {
    this.release(requestKey);
    this.bytesByRequest.set(requestKey, bytes);
    this.totalReservedBytes += bytes;
  }

  release(requestKey: string): void {
    this.totalReservedBytes -= this.bytesByRequest.get(requestKey) ?? 0;
    this.bytesByRequest.delete(requestKey);
  }

  /**
   * Uses the reported KV cache as the upper bound of inherited use. For a while
   * this counts this process's first requests twice, which errs on the safe
   * side. Until the inventory is complete, a stale report may lack the last
   * requests of the previous process, so the bound follows each report. From
   * then on it only decreases.
   */
  observe({kvUsedBytes}: LedgerReport, {isComplete}: {isComplete: boolean}) {
    if (!isComplete || !this.wasComplete) this.inheritedBytes = kvUsedBytes;
    else this.inheritedBytes = Math.min(this.inheritedBytes, kvUsedBytes);
    this.wasComplete = isComplete;
  }

  reservedBytes(): number {
    return this.totalReservedBytes;
  }

  /** Reserved bytes plus those that inherited requests may still use. */
  committedBytes(nowMs: number): number {
    const ageMs = nowMs - this.options.startMs;
    const hasInheritedExpired = ageMs > this.options.inheritedBoundMs;
    const inheritedBytes = hasInheritedExpired ? 0 : this.inheritedBytes;
    return this.totalReservedBytes + inheritedBytes;
  }
}
