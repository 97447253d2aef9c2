import type {Clock} from '@banyanfold/core';

const NEW_SHARE = 0.1;
/** Without new samples the distance to the initial value halves in this. */
const HALF_LIFE_MS = 2_000;

/**
 * A smoothed duration that returns to its initial value when nothing new comes.
 *
 * After a stall the smoothed time to a first token can pass every budget; then
 * each request is refused as too late, no sample ever comes again, and the
 * agent refuses for good. Forgetting lets requests in again within seconds.
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
    const present = this.currentMs();
    this.valueMs = present + (sampleMs - present) * NEW_SHARE;
    this.sampledAtMs = this.clock.nowMs();
  }

  currentMs(): number {
    const ageMs = this.clock.nowMs() - this.sampledAtMs;
    const keptShare = 0.5 ** (ageMs / HALF_LIFE_MS);
    return this.initialMs + (this.valueMs - this.initialMs) * keptShare;
  }
}
