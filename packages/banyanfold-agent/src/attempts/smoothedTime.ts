import type {Clock} from '@banyanfold/core';

const SAMPLE_WEIGHT = 0.1;
/** Time in which the distance to the initial value halves without samples. */
const HALF_LIFE_MS = 2_000;

/**
 * An exponentially smoothed duration that decays to its initial value when
 * there are no new samples.
 *
 * After a stall, the smoothed time to first token can exceed every budget.
 * Every request would then be refused as too late, and without new samples the
 * agent would refuse requests forever. With the decay it admits requests again
 * within seconds.
 */
export class SmoothedTime {
  private valueMs: number;
  private sampledAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly initialMs: number,
  ) {
    this.valueMs = initialMs;
    this.sampledAtMs = clock.nowMs();
  }

  add(sampleMs: number): void {
    const currentMs = this.currentMs();
    this.valueMs = currentMs + (sampleMs - currentMs) * SAMPLE_WEIGHT;
    this.sampledAtMs = this.clock.nowMs();
  }

  currentMs(): number {
    const ageMs = this.clock.nowMs() - this.sampledAtMs;
    const decayFactor = 0.5 ** (ageMs / HALF_LIFE_MS);
    return this.initialMs + (this.valueMs - this.initialMs) * decayFactor;
  }
}
