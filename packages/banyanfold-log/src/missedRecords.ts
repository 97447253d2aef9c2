import type {DeliveredPage} from './streamFollower.js';

/**
 * Tracks the latest time at which a record that this reader missed could have
 * been appended. A record is missed if the log trims it before it is read.
 * Missed records are older than the first record after the gap, and older than
 * the log's guaranteed retention.
 */
export class MissedRecords {
  private latestMissedMs: number | undefined;

  constructor(private readonly retentionMs: number) {}

  /** To be called for each page of the stream. */
  recordPage({gap, records, nowMs}: DeliveredPage): void {
    if (!gap) return;
    const trimmedMs = nowMs - this.retentionMs;
    const firstSeenMs = records[0]?.appendedAtMs ?? trimmedMs;
    const boundMs = Math.min(trimmedMs, firstSeenMs);
    this.latestMissedMs = Math.max(this.latestMissedMs ?? boundMs, boundMs);
  }

  /** Whether every record appended at `sinceMs` or later was read. */
  hasSeenAllSince(sinceMs: number): boolean {
    return this.latestMissedMs === undefined || sinceMs > this.latestMissedMs;
  }
}
