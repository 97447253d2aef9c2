/**
 * Detects duplicate batches of demand. An entry retries a batch that got no
 * answer although it may have arrived; counted twice, it would look like a
 * burst.
 */
export class SeenBatches {
  private readonly lastByEntry = new Map<string, string>();

  /** Returns whether the batch is new, and records it. */
  addIfNew(entry: string, batchId: string): boolean {
    if (this.lastByEntry.get(entry) === batchId) return false;
    this.lastByEntry.set(entry, batchId);
    return true;
  }
}
