/** Arrivals are averaged over so long; a model may heat up within seconds. */
const SMOOTHING_MS = 2_000;
const MS_PER_SECOND = 1000;

interface Rate {
  workPerSecond: number;
  updatedMs: number;
}

/**
 * What this process is asked for, by model, to tell what all entries will send
 * before they hear of each other: each is taken to be asked as often as this one.
 */
export class WorkForecast {
  private readonly rates = new Map<string, Rate>();

  constructor(private readonly nowMs: () => number) {}

  note(model: string, work: number): void {
    const more = (work * MS_PER_SECOND) / SMOOTHING_MS;
    const workPerSecond = this.perSecond(model) + more;
    this.rates.set(model, {workPerSecond, updatedMs: this.nowMs()});
  }

  /**
   * Work that all entries send for a model.
   *
   * @param forMs from when others' loads were last heard until they are again.
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
