import type {Clock} from '@banyanfold/core';

/** Maximum number of parts, some 100 bytes each. */
const MAX_PARTS = 4_000;
/** How long an answer is remembered: runners may be replaced meanwhile. */
const RETENTION_MS = 60_000;

/**
 * Remembers when this process last received a whole answer to a request with a
 * prompt part. A part that was answered moments ago is unlikely to crash
 * runners.
 */
export class AnsweredParts {
  /** Time of the last answer by fingerprint, the oldest first. */
  private readonly answeredMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  note(fingerprints: readonly string[]): void {
    const nowMs = this.clock.nowMs();
    for (const fingerprint of fingerprints) {
      this.answeredMs.delete(fingerprint);
      this.answeredMs.set(fingerprint, nowMs);
    }
    this.evict(nowMs);
  }

  /** Time since the last answer in ms; undefined if there was none recently. */
  ageMs(fingerprint: string): number | undefined {
    const atMs = this.answeredMs.get(fingerprint);
    if (atMs === undefined) return undefined;
    const ageMs = this.clock.nowMs() - atMs;
    return ageMs <= RETENTION_MS ? ageMs : undefined;
  }

  private evict(nowMs: number): void {
    for (const [fingerprint, atMs] of this.answeredMs) {
      const isOld = nowMs - atMs > RETENTION_MS;
      if (!isOld && this.answeredMs.size <= MAX_PARTS) return;
      this.answeredMs.delete(fingerprint);
    }
  }
}
