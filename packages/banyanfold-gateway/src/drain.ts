import {
  type Clock,
  type Logger,
  runInBackground,
  summarizeError,
} from '@banyanfold/core';
import type {GatewayServer} from './gatewayServer.js';
import type {GatewayOptions} from './options.js';
import type {LeaseSource} from './types.js';

export interface DrainOptions {
  clock: Clock;
  logger: Logger;
  lease: LeaseSource;
  callers: GatewayServer;
  /** Time from the signal to stop until the process must have ended. */
  graceMs: number;
  options: Pick<GatewayOptions, 'noticeMs' | 'graceMarginMs' | 'closingMs'>;
}

const POLL_MS = 50;
/** Reserved to leave the group, or to offer peers the lease without a store. */
const RELEASE_MS = 2_000;

/** Drains a gateway once, without interrupting requests. */
export class Drain {
  private startedMs: number | undefined;
  private stopsServingMs: number | undefined;
  private release: Promise<void> | undefined;
  private isReleased = false;

  constructor(private readonly options: DrainOptions) {}

  get hasStarted(): boolean {
    return this.startedMs !== undefined;
  }

  /**
   * When the requests that are open then are cut off, in ms of the clock;
   * undefined until the balancer has stopped sending callers.
   */
  get deadlineMs(): number | undefined {
    return this.stopsServingMs;
  }

  /**
   * Resolves once no request is open and no further one can be passed on. The
   * balancer sends callers here until it notices that the process isn't ready.
   * Until then callers are served, each response closes its connection, and
   * idle connections stay open.
   *
   * The holder of the lease keeps giving orders during that time, because its
   * successor may have to wait before its first order and may itself be stopped
   * meanwhile. Any other process leaves the group at once, so that it isn't
   * assigned the lease.
   */
  async run(): Promise<void> {
    const {clock, logger, lease, callers, graceMs, options} = this.options;
    const startedMs = clock.nowMs();
    this.startedMs = startedMs;
    logger.info('draining', {open: callers.openRequests});
    const endMs = startedMs + graceMs - options.graceMarginMs;
    if (!lease.current().isHolder) await this.releaseLease();
    await this.serveUntilIdle(startedMs + options.noticeMs, endMs);
    // In the same step as the last look at the open requests: a request that is
    // read from now on is refused, because the exit would cut it off.
    this.stopsServingMs = clock.nowMs();
    callers.stopAccepting();
    const {openRequests: open} = callers;
    await this.closeConnections();
    await this.releaseLease();
    const tookMs = Math.round(clock.nowMs() - startedMs);
    logger.info('drained', {open, tookMs});
  }

  /** Callers are served during the release of the lease too. */
  private async serveUntilIdle(
    noticedMs: number,
    endMs: number,
  ): Promise<void> {
    const {clock, callers} = this.options;
    while (clock.nowMs() < endMs) {
      if (clock.nowMs() >= endMs - RELEASE_MS) this.beginRelease();
      if (clock.nowMs() >= noticedMs) {
        this.stopsServingMs = endMs;
        // A refused caller needs enough time left to retry at another entry.
        callers.refuseUnsent();
        callers.closeIdleConnections();
        if (callers.openRequests === 0) {
          if (this.isReleased) return;
          this.beginRelease();
        }
      }
      await this.pause();
    }
  }

  /** Closes each connection after its request, or without one after a while. */
  private async closeConnections(): Promise<void> {
    const {clock, callers, options} = this.options;
    const endMs = clock.nowMs() + options.closingMs;
    while (callers.connectionCount > 0 && clock.nowMs() < endMs) {
      callers.closeIdleConnections();
      await this.pause();
    }
    callers.closeSilentConnections();
  }

  private beginRelease(): void {
    const {logger} = this.options;
    runInBackground({logger, step: 'release-lease'}, () => this.releaseLease());
  }

  /** A failure must not end the drain, which would cut off all requests. */
  private releaseLease(): Promise<void> {
    this.release ??= this.options.lease
      .release()
      .catch((thrown: unknown) => {
        const error = summarizeError(thrown);
        this.options.logger.error('lease-release-failed', {error});
      })
      .then(() => {
        this.isReleased = true;
      });
    return this.release;
  }

  private pause(): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.setTimer(POLL_MS, resolve);
    });
  }
}
