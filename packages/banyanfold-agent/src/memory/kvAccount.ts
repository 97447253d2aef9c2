import type {LedgerReport} from './allocation.js';

/** How the account of KV cache is built. */
export interface KvAccountOptions {
  startMs: number;
  inheritedBoundMs: number;
}

/**
 * Counts the KV cache that requests may still grow into.
 *
 * Engines report what is in use now; a request grows until its last token. If
 * only the present use were counted, a load could take the memory that running
 * requests are about to need. So each request counts with its prompt and all
 * the tokens it may make, from its admission until the engine is known to have
 * ended it.
 */
export class KvAccount {
  private readonly bytesByRequest = new Map<string, number>();
  private totalReservedBytes = 0;
  /** In use by requests that came before this process. */
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
   * Takes the engine's use as the bound of what was there before us. It counts
   * our own first requests twice for a while, which is the safe side. Until
   * the inventory is certain, a lagging report may lack the predecessor's last
   * requests, so a lower figure from then on is the bound, and not before.
   */
  observe({kvUsedBytes}: LedgerReport, {isComplete}: {isComplete: boolean}) {
    if (!isComplete || !this.wasComplete) this.inheritedBytes = kvUsedBytes;
    else this.inheritedBytes = Math.min(this.inheritedBytes, kvUsedBytes);
    this.wasComplete = isComplete;
  }

  reservedBytes(): number {
    return this.totalReservedBytes;
  }

  committedBytes(nowMs: number): number {
    const ageMs = nowMs - this.options.startMs;
    const hasInheritedExpired = ageMs > this.options.inheritedBoundMs;
    const inheritedBytes = hasInheritedExpired ? 0 : this.inheritedBytes;
    return this.totalReservedBytes + inheritedBytes;
  }
}
