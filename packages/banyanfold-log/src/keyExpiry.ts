import type {ClaimWindow} from './claimWindow.js';

const BUCKETS_PER_HORIZON = 64;

/**
 * Finds the keys that can be dropped because no claim can own them any more.
 * Keys are grouped into buckets by time, so that whole buckets expire at once.
 *
 * The log's clock may step back slightly, for example when another machine
 * takes over the log. A key that was dropped too early could be owned again, so
 * keys are kept for `maxAheadMs` longer than the horizon.
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
