import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
} from '@banyanfold/core';
import type {FleetView} from './fleetView.js';

/**
 * A runner that leaves must get no request two seconds later. The rest is for
 * sending the request, and for a process that stalls.
 */
const MAX_VIEW_AGE_MS = 1_450;
/** How long requests wait for a read of the runners; it takes a few ms. */
const CONFIRM_TIMEOUT_MS = 250;
/** A view that becomes this recent shows that the store answers in time. */
const RECENT_VIEW_MS = 500;
/** While the store doesn't answer, requests wait once in this time. */
const SUSPENSION_MS = 10_000;

export interface ViewFreshnessOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  view: Pick<FleetView, 'runnersAgeMs'>;
  /** Reads what has changed at the runners; resolves when that has ended. */
  confirmRunners(): Promise<unknown>;
}

/**
 * Decides whether what is known of the runners is recent enough to send requests
 * by. Whatever delays the knowledge of a runner that leaves, it can't be used
 * for longer than this age.
 */
export class ViewFreshness {
  private confirming: Promise<void> | undefined;
  private suspendedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ViewFreshnessOptions) {}

  /**
   * Whether a request may be sent now. Also true if the store did not answer
   * shortly before: callers would otherwise wait while it is unavailable.
   */
  check(): boolean {
    const {runnersAgeMs: ageMs = 0} = this.options.view;
    if (ageMs <= RECENT_VIEW_MS) this.suspendedUntilMs = 0;
    return (
      ageMs <= MAX_VIEW_AGE_MS ||
      this.options.clock.nowMs() < this.suspendedUntilMs
    );
  }

  /** Waits until requests may be sent; all that wait share one read. */
  async untilFresh(): Promise<void> {
    while (!this.check()) {
      this.confirming ??= this.confirm();
      await this.confirming;
    }
  }

  private async confirm(): Promise<void> {
    const {clock, logger, metrics, view, confirmRunners} = this.options;
    const startedMs = clock.nowMs();
    const ageMs = Math.round(view.runnersAgeMs ?? 0);
    await new Promise<void>(resolve => {
      const timer = clock.setTimer(CONFIRM_TIMEOUT_MS, resolve);
      runInBackground({logger, step: 'confirm-runners'}, () =>
        confirmRunners().finally(() => {
          timer.cancel();
          resolve();
        }),
      );
    });
    this.confirming = undefined;
    const isConfirmed = this.check();
    if (!isConfirmed) this.suspendedUntilMs = clock.nowMs() + SUSPENSION_MS;
    const tookMs = Math.round(clock.nowMs() - startedMs);
    logger.info('runners-confirmed', {ageMs, tookMs, isConfirmed});
    metrics.observeMs('runners_confirm_ms', tookMs, {
      result: isConfirmed ? 'confirmed' : 'none',
    });
  }
}
