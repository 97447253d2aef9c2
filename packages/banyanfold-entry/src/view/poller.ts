import {
  runInBackground,
  type Clock,
  type Logger,
  type Timer,
} from '@banyanfold/core';

/** The call that a poller repeats, and its timing. */
export interface PollerOptions {
  clock: Clock;
  logger: Logger;
  random: () => number;
  intervalMs: number;
  /** Upper limit of the pause, which doubles with each failure. */
  maxBackoffMs: number;
  /** Resolves to whether the call succeeded. */
  poll(): Promise<boolean>;
}

/**
 * Repeats a call with a pause after each, so that at most one is in flight.
 * After failures it backs off with full jitter, so that the pollers of all VMs
 * don't call a platform service at the same moment when it recovers from an
 * outage.
 */
export class Poller {
  private failures = 0;
  private timer: Timer | undefined;
  private stopped = false;

  constructor(private readonly options: PollerOptions) {}

  /** Resolves after the first poll; polling goes on until `stop`. */
  async start(): Promise<void> {
    await this.run();
  }

  startInBackground(): void {
    const {logger} = this.options;
    runInBackground({logger, step: 'poll'}, () => this.run());
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private async run(): Promise<void> {
    const ok = await this.options.poll().catch(() => false);
    this.failures = ok ? 0 : this.failures + 1;
    if (this.stopped) return;
    this.timer = this.options.clock.setTimer(this.nextDelayMs(), () =>
      this.startInBackground(),
    );
  }

  private nextDelayMs(): number {
    const {intervalMs, maxBackoffMs, random} = this.options;
    if (this.failures === 0) return intervalMs;
    const ceilingMs = Math.min(maxBackoffMs, intervalMs * 2 ** this.failures);
    return intervalMs + random() * Math.max(0, ceilingMs - intervalMs);
  }
}
