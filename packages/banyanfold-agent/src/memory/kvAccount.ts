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
  private readonly reserved = new Map<string, number>();
  private reservedTotalBytes = 0;
  /** In use by requests that came before this process. */
  private inheritedBytes = 0;
  private wasCertain = false;

  constructor(private readonly options: KvAccountOptions) {}

  reserve(requestKey: string, bytes: number): void {
    this.release(requestKey);
    this.reserved.set(requestKey, bytes);
    this.reservedTotalBytes += bytes;
  }

  release(requestKey: string): void {
    this.reservedTotalBytes -= this.reserved.get(requestKey) ?? 0;
    this.reserved.delete(requestKey);
  }

  /**
   * Takes the engine's use as the bound of what was there before us. It counts
   * our own first requests twice for a while, which is the safe side. Until
   * the inventory is certain, a lagging report may lack the predecessor's last
   * requests, so a lower figure from then on is the bound, and not before.
   */
  observe({kvUsedBytes}: LedgerReport, {isCertain}: {isCertain: boolean}) {
    if (!isCertain || !this.wasCertain) this.inheritedBytes = kvUsedBytes;
    else this.inheritedBytes = Math.min(this.inheritedBytes, kvUsedBytes);
    this.wasCertain = isCertain;
  }

  ownBytes(): number {
    return this.reservedTotalBytes;
  }

  committedBytes(nowMs: number): number {
    const ageMs = nowMs - this.options.startMs;
    const isOver = ageMs > this.options.inheritedBoundMs;
    const inheritedBytes = isOver ? 0 : this.inheritedBytes;
    return this.reservedTotalBytes + inheritedBytes;
  }
}
