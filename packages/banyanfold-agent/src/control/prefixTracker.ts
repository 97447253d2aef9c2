import type {CacheEvents} from '../engine/engineSchemas.js';

/**
 * Tracks which prompt prefixes the engine probably has cached.
 *
 * Cache events arrive late and with gaps, and an eviction may be lost in a gap.
 * Routing by a prefix that was evicted costs a prefill, so a gap clears all
 * prefixes until they are seen again.
 */
export class PrefixTracker {
  /** Ordered by last use, oldest first. */
  private readonly prefixes = new Set<string>();
  private nextSeq = 1;

  constructor(private readonly maxPrefixes: number) {}

  /** The sequence number of the next cache event to fetch. */
  get fromSeq(): number {
    return this.nextSeq;
  }

  /** Records that the engine processed a request with this prefix. */
  noteCached(prefixHash: string): void {
    if (!prefixHash) return;
    this.prefixes.delete(prefixHash);
    this.prefixes.add(prefixHash);
    this.evictOldest();
  }

  /**
   * Applies cache events; events that were already applied are ignored.
   *
   * @returns whether events were missing.
   */
  apply({events, nextSeq}: CacheEvents): boolean {
    let hadGap = false;
    for (const event of events) {
      if (event.seq < this.nextSeq) continue;
      if (event.seq > this.nextSeq) {
        this.prefixes.clear();
        hadGap = true;
      }
      this.nextSeq = event.seq + 1;
      if (event.kind === 'stored') this.noteCached(event.prefixHash);
      else this.prefixes.delete(event.prefixHash);
    }
    this.nextSeq = Math.max(this.nextSeq, nextSeq);
    return hadGap;
  }

  /** Returns the hashes of the prefixes, the most recently used first. */
  newestFirst(): string[] {
    return [...this.prefixes].reverse();
  }

  private evictOldest(): void {
    for (const oldest of this.prefixes) {
      if (this.prefixes.size <= this.maxPrefixes) return;
      this.prefixes.delete(oldest);
    }
  }
}
