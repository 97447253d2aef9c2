import type {DeliveredPage} from './streamFollower.js';

/**
 * The latest time at which a record could have been appended that this reader
 * missed, because the log had trimmed it first; undefined while none was
 * missed. Missed records are older than the first one after the gap, and
 * older than the log's promised retention.
 */
export class UnseenRecords {
  private latestMs: number | undefined;

  constructor(private readonly retentionMs: number) {}

  /** Takes in each page of the stream. */
  note({gap, records, nowMs}: DeliveredPage): void {
    if (!gap) return;
    const trimmedMs = nowMs - this.retentionMs;
    const firstSeenMs = records[0]?.appendedAtMs ?? trimmedMs;
    const boundMs = Math.min(trimmedMs, firstSeenMs);
    this.latestMs = Math.max(this.latestMs ?? boundMs, boundMs);
  }

  /** Whether every record appended at `sinceMs` or later was seen. */
  hasSeenSince(sinceMs: number): boolean {
    return this.latestMs === undefined || sinceMs > this.latestMs;
  }
}
