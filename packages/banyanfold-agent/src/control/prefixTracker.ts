import type {CacheEvents} from '../engine/engineSchemas.js';

/**
 * Which prompt prefixes the engine probably has cached.
 *
 * Its cache events come late and with gaps. A prefix believed cached that is
 * gone costs a prefill, so after a gap, in which an eviction may have been
 * lost, only what is confirmed later stays believed in.
 */
export class PrefixTracker {
  /** In the order of their last confirmation. */
  private readonly prefixes = new Set<string>();
  private nextSeq = 1;

  constructor(private readonly maxPrefixes: number) {}

  /** The number to ask cache events from. */
  get fromSeq(): number {
    return this.nextSeq;
  }

  /** A request with this prefix went through the engine. */
  noteCached(prefixHash: string): void {
    if (!prefixHash) return;
    this.prefixes.delete(prefixHash);
    this.prefixes.add(prefixHash);
    this.evictOldest();
  }

  /** Applies cache events; says whether some were missing. */
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
