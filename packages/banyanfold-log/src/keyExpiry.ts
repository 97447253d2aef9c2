import type {ClaimWindow} from './claimWindow.js';

const BUCKETS_PER_HORIZON = 64;

/**
 * Tells which keys can be forgotten: those that no claim can own any more.
 * Keys are kept in buckets by time, so that dropping them costs no search.
 *
 * The log's clock may step back a little, for instance when another machine
 * takes the log over. A key dropped too early could be owned again, so keys
 * are kept for `maxAheadMs` longer than the horizon.
 */
export class KeyExpiry {
  private readonly buckets = new Map<number, string[]>();
  private readonly bucketMs: number;
  private oldestBucket = Infinity;

  constructor(private readonly window: ClaimWindow) {
    this.bucketMs = Math.ceil(window.horizonMs / BUCKETS_PER_HORIZON);
  }

  add(key: string, keyMs: number): void {
    const index = Math.floor(keyMs / this.bucketMs);
    const bucket = this.buckets.get(index);
    if (bucket) bucket.push(key);
    else this.buckets.set(index, [key]);
    this.oldestBucket = Math.min(this.oldestBucket, index);
  }

  /** Removes and returns the keys that are past the horizon. */
  takeExpired(logNowMs: number): string[] {
    const {horizonMs, maxAheadMs} = this.window;
    const keptFromMs = logNowMs - horizonMs - maxAheadMs;
    const firstKept = Math.floor(keptFromMs / this.bucketMs);
    if (this.oldestBucket >= firstKept) return [];
    const expired: string[] = [];
    for (const [index, keys] of this.buckets) {
      if (index >= firstKept) continue;
      for (const key of keys) expired.push(key);
      this.buckets.delete(index);
    }
    this.oldestBucket = Math.min(...this.buckets.keys());
    return expired;
  }
}
