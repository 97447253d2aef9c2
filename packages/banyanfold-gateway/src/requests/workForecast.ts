/** Time constant of the average; demand for a model may rise within seconds. */
const SMOOTHING_MS = 2_000;
const MS_PER_SECOND = 1000;

interface Rate {
  workPerSecond: number;
  updatedMs: number;
}

/**
 * Estimates the work that all entries send for a model before they learn of
 * each other's requests. Measures the arrival rate at this entry and assumes
 * that every entry has the same rate.
 */
export class WorkForecast {
  private readonly rates = new Map<string, Rate>();

  constructor(private readonly nowMs: () => number) {}

  note(model: string, work: number): void {
    const addedPerSecond = (work * MS_PER_SECOND) / SMOOTHING_MS;
    const workPerSecond = this.perSecond(model) + addedPerSecond;
    this.rates.set(model, {workPerSecond, updatedMs: this.nowMs()});
  }

  /**
   * Work that all entries send for a model within a time span.
   *
   * @param forMs time between two updates of the other entries' load.
   */
  expectedWork(model: string, entries: number, forMs: number): number {
    return (this.perSecond(model) * entries * forMs) / MS_PER_SECOND;
  }

  private perSecond(model: string): number {
    const rate = this.rates.get(model);
    if (!rate) return 0;
    const sinceMs = this.nowMs() - rate.updatedMs;
    return rate.workPerSecond * Math.exp(-sinceMs / SMOOTHING_MS);
  }
}
