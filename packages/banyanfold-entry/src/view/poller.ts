import type {Clock, Timer} from '@banyanfold/core';

/** What a poller does and how often. */
export interface PollerOptions {
  clock: Clock;
  random: () => number;
  intervalMs: number;
  /** The pause after failures doubles up to this. */
  maxBackoffMs: number;
  /** True when it went well. */
  poll(): Promise<boolean>;
}

/**
 * Repeats one call with a pause after each, so that at most one is open.
 * After failures it backs off with full jitter: when a platform service
 * returns from an outage, the pollers of all VMs must not come together.
 */
export class Poller {
  private failures = 0;
  private timer: Timer | undefined;
  private stopped = false;

  constructor(private readonly options: PollerOptions) {}

  /** Polls once, and then again and again until stopped. */
  async start(): Promise<void> {
    await this.run();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private async run(): Promise<void> {
    const ok = await this.options.poll().catch(() => false);
    this.failures = ok ? 0 : this.failures + 1;
    if (this.stopped) return;
    this.timer = this.options.clock.setTimer(this.nextDelayMs(), () => {
      void this.run();
    });
  }

  private nextDelayMs(): number {
    const {intervalMs, maxBackoffMs, random} = this.options;
    if (this.failures === 0) return intervalMs;
    const ceilingMs = Math.min(maxBackoffMs, intervalMs * 2 ** this.failures);
    return intervalMs + random() * Math.max(0, ceilingMs - intervalMs);
  }
}
