/** Interval within which recorded rates are merged. */
const STEP_MS = 50;
const MS_PER_SECOND = 1000;

/**
 * Amount that other entries have probably admitted within the last seconds,
 * derived from the share of the demand that this entry admitted meanwhile.
 * Entries decide by the same rule from nearly the same snapshots, so their
 * shares hardly differ.
 *
 * @example
 * const forecast = new AdmissionForecast();
 * forecast.record(0.5, 1_000);
 * forecast.between({fromMs: 1_000, toMs: 2_000, askedPerSecond: 80}) // 40
 */
export class AdmissionForecast {
  private shares: Array<{fromMs: number; share: number}> = [];

  /** @param keptMs age up to which shares are kept. */
  constructor(private readonly keptMs: number) {}

  /** Records the share of the demand that is admitted from now on. */
  record(share: number, nowMs: number): void {
    const {shares} = this;
    const bounded = Math.min(1, Math.max(0, share));
    const last = shares.at(-1);
    if (last && nowMs - last.fromMs < STEP_MS) {
      last.share = bounded;
      return;
    }
    shares.push({fromMs: nowMs, share: bounded});
    // The first share applies until the second one begins.
    while (shares.length > 1 && shares[1]!.fromMs < nowMs - this.keptMs) {
      shares.shift();
    }
  }

  /** Amount admitted in a span; all demand before the first record. */
  between({
    fromMs,
    toMs,
    askedPerSecond,
  }: {
    fromMs: number;
    toMs: number;
    askedPerSecond: number;
  }): number {
    let admittedMs = 0;
    let endMs = toMs;
    for (const {fromMs: sinceMs, share} of [...this.shares].reverse()) {
      const beginMs = Math.max(fromMs, sinceMs);
      admittedMs += Math.max(0, endMs - beginMs) * share;
      endMs = Math.min(endMs, beginMs);
    }
    admittedMs += Math.max(0, endMs - fromMs);
    return (askedPerSecond * admittedMs) / MS_PER_SECOND;
  }
}
