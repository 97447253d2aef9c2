/**
 * Requests refused for lack of a copy. The entry that plans reads the counts
 * of all entries; an artifact that only another entry is asked for would
 * otherwise never be loaded.
 */
export class MissCounter {
  private readonly counts = new Map<string, number>();

  add(artifact: string): void {
    this.counts.set(artifact, (this.counts.get(artifact) ?? 0) + 1);
  }

  /** Counts since the start, by artifact. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
