/** What the wait for the first byte is computed from. */
export interface WaitSample {
  /** Work that waits for its first byte. */
  backlog: number;
  askedPerSecond: number;
  completedPerSecond: number;
}

/** Outlasts the variation of some seconds, and follows a release of runners. */
const SMOOTHING_MS = 5_000;
/**
 * Up to this factor over what is completed, on average, the demand is not in
 * excess. The wait of a queue that callers leave would be learned otherwise.
 */
const MAX_ASKED_FACTOR = 1.1;
const MS_PER_SECOND = 1000;

/**
 * The wait for a first byte while demand is not in excess: the time that runners
 * take for a request although they have room.
 *
 * Without it, a pool whose runners usually take longer than the target would be
 * reduced without effect: fewer requests are completed if fewer are admitted,
 * and the backlog stays too long for what is completed.
 */
export class UsualWait {
  /** Averages of all samples. */
  private readonly rates = {asked: 0, completed: 0};
  /** Averages of the samples without an excess of demand. */
  private readonly calm = {backlog: 0, completed: 0};
  private sampledMs = Number.NEGATIVE_INFINITY;

  /** In ms; 0 if it is not known. */
  get ms(): number {
    const {backlog, completed} = this.calm;
    return completed === 0 ? 0 : (backlog * MS_PER_SECOND) / completed;
  }

  add(sample: WaitSample, nowMs: number): void {
    const {backlog, askedPerSecond, completedPerSecond} = sample;
    const weight = 1 - Math.exp((this.sampledMs - nowMs) / SMOOTHING_MS);
    this.sampledMs = nowMs;
    const {rates, calm} = this;
    rates.asked += (askedPerSecond - rates.asked) * weight;
    rates.completed += (completedPerSecond - rates.completed) * weight;
    if (rates.asked > rates.completed * MAX_ASKED_FACTOR) return;
    calm.backlog += (backlog - calm.backlog) * weight;
    calm.completed += (completedPerSecond - calm.completed) * weight;
  }
}
