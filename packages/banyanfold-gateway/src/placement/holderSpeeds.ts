import type {SpeedReport} from '../runners/runnerCapacities.js';

/** Samples lose half of their weight in this time; two exchanges. */
const HALF_LIFE_MS = 500;
/** A speed without samples for longer is no longer sent. */
const VALID_MS = 2_000;
/** A runner within a tenth of its usual speed needs no message. */
const NOTABLE_CHANGE = 0.1;
const MAX_ROWS = 2_000;

interface SpeedAverage {
  weightedSum: number;
  samples: number;
  atMs: number;
}

/** Speeds of the runners over all entries, kept by the holder. */
export class HolderSpeeds {
  private readonly averages = new Map<string, SpeedAverage>();

  record(reports: readonly SpeedReport[], nowMs: number): void {
    for (const {runnerId, speed, samples} of reports) {
      const old = this.averages.get(runnerId);
      const kept = old ? 2 ** ((old.atMs - nowMs) / HALF_LIFE_MS) : 0;
      this.averages.set(runnerId, {
        weightedSum: (old?.weightedSum ?? 0) * kept + speed * samples,
        samples: (old?.samples ?? 0) * kept + samples,
        atMs: nowMs,
      });
    }
  }

  /** The speed of a runner; 1 if it is not known. */
  speed(runnerId: string, nowMs: number): number {
    const average = this.averages.get(runnerId);
    if (!average || nowMs - average.atMs > VALID_MS) return 1;
    return average.weightedSum / average.samples;
  }

  /** Speeds that differ from the usual one, with their age in ms. */
  snapshot(nowMs: number): Record<string, [number, number]> {
    const speeds: Record<string, [number, number]> = {};
    let rows = 0;
    for (const [runnerId, average] of this.averages) {
      const ageMs = Math.round(nowMs - average.atMs);
      if (ageMs > VALID_MS) this.averages.delete(runnerId);
      const speed = average.weightedSum / average.samples;
      const isNotable = Math.abs(speed - 1) > NOTABLE_CHANGE;
      if (ageMs > VALID_MS || !isNotable || rows === MAX_ROWS) continue;
      rows += 1;
      speeds[runnerId] = [Math.round(speed * 100) / 100, ageMs];
    }
    return speeds;
  }
}
