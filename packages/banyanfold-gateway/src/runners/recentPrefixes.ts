/**
 * A shared part that this entry sent a runner so lately is taken to be cached
 * there. A cache holds some twenty long prompts, those of some seconds.
 */
const CACHED_MS = 5_000;

/** Which shared parts this entry has lately sent to which runner. */
export class RecentPrefixes {
  private readonly sentMs = new Map<string, Map<string, number>>();

  constructor(private readonly nowMs: () => number) {}

  noteSent(runnerId: string, key: string): void {
    let keys = this.sentMs.get(runnerId);
    if (!keys) {
      keys = new Map();
      this.sentMs.set(runnerId, keys);
    }
    // The oldest are first, so that the old ones are found at once.
    keys.delete(key);
    keys.set(key, this.nowMs());
    this.forgetOld(keys);
  }

  isCached(runnerId: string, key: string): boolean {
    const atMs = this.sentMs.get(runnerId)?.get(key);
    return atMs !== undefined && this.nowMs() - atMs < CACHED_MS;
  }

  /** A runner that starts again has nothing cached. */
  forget(runnerId: string): void {
    this.sentMs.delete(runnerId);
  }

  /** Forgets runners that are gone. */
  keepOnly(isKnown: (runnerId: string) => boolean): void {
    for (const runnerId of this.sentMs.keys()) {
      if (!isKnown(runnerId)) this.sentMs.delete(runnerId);
    }
  }

  private forgetOld(keys: Map<string, number>): void {
    const oldestMs = this.nowMs() - CACHED_MS;
    for (const [key, atMs] of keys) {
      if (atMs >= oldestMs) return;
      keys.delete(key);
    }
  }
}
