/** Delays of a `Backoff`. */
export interface BackoffOptions {
  /** The longest first delay. */
  baseMs: number;
  /** No delay is longer. */
  capMs: number;
  factor: number;
  random: () => number;
}

export const DEFAULT_BACKOFF = {baseMs: 100, capMs: 5_000, factor: 2} as const;

/**
 * Exponential backoff with full jitter. When a service comes back, clients
 * that failed at the same moment would return at the same moment too and
 * overwhelm it again; a delay drawn from the whole range spreads them evenly.
 *
 * @example
 * const backoff = new Backoff({random: Math.random});
 * await sleep(clock, backoff.nextDelayMs());
 */
export class Backoff {
  private readonly options: BackoffOptions;
  private failures = 0;

  constructor(
    options: Partial<BackoffOptions> & Pick<BackoffOptions, 'random'>,
  ) {
    this.options = {...DEFAULT_BACKOFF, ...options};
  }

  /** The delay in milliseconds before the next try; rises until `reset`. */
  nextDelayMs(): number {
    const {baseMs, capMs, factor, random} = this.options;
    const ceilingMs = Math.min(capMs, baseMs * factor ** this.failures);
    if (ceilingMs < capMs) this.failures++;
    return random() * ceilingMs;
  }

  /** Called after a success. */
  reset(): void {
    this.failures = 0;
  }
}
