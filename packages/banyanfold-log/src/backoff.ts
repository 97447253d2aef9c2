/** Delays of a `Backoff`. */
export interface BackoffOptions {
  /** The upper bound of the first delay. */
  baseMs: number;
  /** The upper bound of all delays. */
  capMs: number;
  factor: number;
  random: () => number;
}

export const DEFAULT_BACKOFF = {baseMs: 100, capMs: 5_000, factor: 2} as const;

/**
 * Exponential backoff with full jitter. Clients that fail at the same time
 * would otherwise retry at the same time and overload a service that has just
 * recovered. Random delays from the whole range spread the retries evenly.
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

  /** Returns the delay in milliseconds before the next retry. */
  nextDelayMs(): number {
    const {baseMs, capMs, factor, random} = this.options;
    const ceilingMs = Math.min(capMs, baseMs * factor ** this.failures);
    if (ceilingMs < capMs) this.failures++;
    return random() * ceilingMs;
  }

  /** Returns to the first delay. To be called after a success. */
  reset(): void {
    this.failures = 0;
  }
}
