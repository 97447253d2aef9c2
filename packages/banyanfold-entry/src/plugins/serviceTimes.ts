/** How much one answer's time counts against the earlier ones. */
const NEW_SHARE = 0.1;

/** Smoothed time of a whole answer, by artifact, as this entry saw it. */
export class ServiceTimes {
  private readonly smoothedMs = new Map<string, number>();

  record(artifact: string, tookMs: number): void {
    const before = this.smoothedMs.get(artifact) ?? tookMs;
    this.smoothedMs.set(artifact, before + NEW_SHARE * (tookMs - before));
  }

  /** Undefined until an answer of the artifact was seen. */
  currentMs(artifact: string): number | undefined {
    return this.smoothedMs.get(artifact);
  }
}
