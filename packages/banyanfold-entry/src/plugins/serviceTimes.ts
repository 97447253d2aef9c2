/** Weight of a new sample in the smoothed time. */
const SMOOTHING_FACTOR = 0.1;

/** Smoothed times of whole answers, by artifact, as measured by this entry. */
export class ServiceTimes {
  private readonly smoothedMs = new Map<string, number>();

  record(artifact: string, tookMs: number): void {
    const before = this.smoothedMs.get(artifact) ?? tookMs;
    this.smoothedMs.set(
      artifact,
      before + SMOOTHING_FACTOR * (tookMs - before),
    );
  }

  /** The smoothed time; undefined before the first answer of the artifact. */
  currentMs(artifact: string): number | undefined {
    return this.smoothedMs.get(artifact);
  }
}
