/**
 * The last batch of demand that was taken from each entry. An entry sends a
 * batch again when it got no answer, though it may have arrived: counted twice,
 * one lost answer would pass for a burst.
 */
export class SeenBatches {
  private readonly lastByEntry = new Map<string, string>();

  /** Whether the batch has not been taken yet; from now on it has. */
  addIfNew(entry: string, batchId: string): boolean {
    if (this.lastByEntry.get(entry) === batchId) return false;
    this.lastByEntry.set(entry, batchId);
    return true;
  }
}
