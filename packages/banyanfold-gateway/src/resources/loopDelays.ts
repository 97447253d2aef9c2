/**
 * Period over which the median is taken. It holds three samples of a loop that
 * is 1 s late each time.
 */
const WINDOW_MS = 4_000;
/**
 * With fewer samples the median is not used. A process that was frozen has one
 * late sample, and no backlog.
 */
const MIN_SAMPLES = 3;

/** The recent delays of the event loop. */
export class LoopDelays {
  private samples: Array<{atMs: number; delayMs: number}> = [];

  record(atMs: number, delayMs: number): void {
    this.samples.push({atMs, delayMs});
    this.samples = this.samples.filter(s => s.atMs > atMs - WINDOW_MS);
  }

  /** The median in ms; 0 while it is not known. */
  get medianMs(): number {
    const delays = this.samples.map(({delayMs}) => delayMs);
    if (delays.length < MIN_SAMPLES) return 0;
    delays.sort((a, b) => a - b);
    return delays[Math.floor(delays.length / 2)]!;
  }
}
