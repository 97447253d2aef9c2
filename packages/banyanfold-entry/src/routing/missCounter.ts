/**
 * Counts the requests refused because no server has a copy of the artifact. The
 * entry that plans reads the counts of all entries. Without them, an artifact
 * requested only through other entries would never be loaded.
 */
export class MissCounter {
  private readonly counts = new Map<string, number>();

  add(artifact: string): void {
    this.counts.set(artifact, (this.counts.get(artifact) ?? 0) + 1);
  }

  /** Returns the counts since the process start, by artifact. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
