/** A record as it is kept. */
export interface StoredRecord {
  offset: number;
  appendedAtMs: number;
  value: unknown;
}

const FIRST_OFFSET = 1;

/** One append-only stream with offsets from 1. */
export class LogStream {
  private records: StoredRecord[] = [];
  private waiters = new Set<() => void>();
  private next = FIRST_OFFSET;

  get nextOffset(): number {
    return this.next;
  }

  get firstOffset(): number {
    return this.records[0]?.offset ?? this.next;
  }

  append(values: unknown[], nowMs: number): void {
    for (const value of values) {
      this.records.push({offset: this.next, appendedAtMs: nowMs, value});
      this.next += 1;
    }
    this.wake();
  }

  /** Records from `fromOffset` on, or from the oldest that is retained. */
  read(fromOffset: number, limit: number): StoredRecord[] {
    const start = Math.max(0, fromOffset - this.firstOffset);
    return this.records.slice(start, start + limit);
  }

  dropOlderThan(oldestMs: number): void {
    const kept = this.records.findIndex(
      record => record.appendedAtMs >= oldestMs,
    );
    if (kept === 0) return;
    this.records = kept < 0 ? [] : this.records.slice(kept);
  }

  /** Calls `waiter` once, at the next append or `wake`. */
  addWaiter(waiter: () => void): () => void {
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  wake(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const waiter of waiters) waiter();
  }
}
