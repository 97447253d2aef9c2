import {
  runInBackground,
  type Clock,
  type Logger,
  type Timer,
} from '@banyanfold/core';
import type {RetryGrant} from '../peers/retryGrantContract.js';

/** The right to send one request to a runner once more. */
export interface RetryPermit {
  /** It is void from then on, in ms of the clock. */
  readonly expiresAtMs: number;
}

export interface ServiceRetryBudgetOptions {
  clock: Clock;
  logger: Logger;
  service: string;
  /** Permits that each request earns. */
  permitsPerRequest: number;
  /** How long an earned permit is valid. */
  earnedForMs: number;
  /** How long a granted permit is valid after it was requested. */
  grantedForMs: number;
  /**
   * Requests permits from the lease holder; resolves to undefined if it doesn't
   * answer.
   */
  requestGrant(count: number): Promise<RetryGrant | undefined>;
  /** Uniform in [0, 1). */
  random(): number;
}

/** A holder that answers does so within an exchange. */
const MAX_GRANT_WAIT_MS = 400;
/** Pause after a request that the holder didn't answer. */
const NO_ANSWER_PAUSE_MS = 1_000;

/**
 * Permits of one entry to retry requests of one service. They are earned by the
 * entry's own requests; when it has none left, it requests some from the lease
 * holder. It needs to know neither the number of entries nor their retries.
 *
 * @example
 * const budget = new ServiceRetryBudget(options);
 * budget.recordRequest();
 * const permit = await budget.acquire();
 * if (permit) retry();
 */
export class ServiceRetryBudget {
  /** The one that expires first is first. */
  private permits: RetryPermit[] = [];
  /**
   * Part of the next permit that is earned. It starts at random: from zero, an
   * entry with few requests would never earn one, and from one, each start of an
   * entry would add one.
   */
  private earnedPart: number;
  private waiting: Array<() => void> = [];
  private isAsking = false;
  private pausedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ServiceRetryBudgetOptions) {
    this.earnedPart = options.random();
  }

  /** Earns a part of a permit. To be called once for each request. */
  recordRequest(): void {
    const {clock, permitsPerRequest, earnedForMs} = this.options;
    this.earnedPart += permitsPerRequest;
    while (this.earnedPart >= 1) {
      this.earnedPart -= 1;
      this.add({expiresAtMs: clock.nowMs() + earnedForMs});
    }
  }

  /** Number of valid permits. */
  get available(): number {
    const nowMs = this.options.clock.nowMs();
    const firstValid = this.permits.findIndex(
      ({expiresAtMs}) => expiresAtMs > nowMs,
    );
    if (firstValid !== 0) {
      this.permits.splice(0, firstValid < 0 ? Infinity : firstValid);
    }
    return this.permits.length;
  }

  /** Takes the permit that expires first; undefined if there is none. */
  take(): RetryPermit | undefined {
    return this.available > 0 ? this.permits.shift() : undefined;
  }

  /** Returns a permit that was not used. */
  putBack(permit: RetryPermit): void {
    this.add(permit);
  }

  /** Takes a permit, or requests one from the lease holder. */
  async acquire(): Promise<RetryPermit | undefined> {
    const permit = this.take();
    if (permit || this.isPaused) return permit;
    await new Promise<void>(resolve => {
      this.waiting.push(resolve);
      if (!this.isAsking) this.requestInBackground();
    });
    return this.take();
  }

  private get isPaused(): boolean {
    return this.options.clock.nowMs() < this.pausedUntilMs;
  }

  private add(permit: RetryPermit): void {
    const later = this.permits.findIndex(
      ({expiresAtMs}) => expiresAtMs > permit.expiresAtMs,
    );
    this.permits.splice(later < 0 ? this.permits.length : later, 0, permit);
  }

  private requestInBackground(): void {
    const {logger, service} = this.options;
    runInBackground({logger, step: 'request-retries', peer: service}, () =>
      this.requestGrants(),
    );
  }

  /** Requests permits for all that wait, until nobody does. */
  private async requestGrants(): Promise<void> {
    this.isAsking = true;
    try {
      while (this.waiting.length > 0) {
        const count = this.waiting.length;
        await this.requestGrant(count);
        const served = this.isPaused ? this.waiting.length : count;
        for (const resolve of this.waiting.splice(0, served)) resolve();
      }
    } finally {
      // After a failure; otherwise none is left.
      for (const resolve of this.waiting.splice(0)) resolve();
      this.isAsking = false;
    }
  }

  private async requestGrant(count: number): Promise<void> {
    const {clock, grantedForMs} = this.options;
    // Counted from the request, so that the permits expire here no later than
    // the holder assumes.
    const expiresAtMs = clock.nowMs() + grantedForMs;
    const {granted, retryAfterMs} = await this.grantWithinTime(count);
    for (let i = 0; i < granted; i++) this.add({expiresAtMs});
    if (granted < count) this.pausedUntilMs = clock.nowMs() + retryAfterMs;
  }

  private async grantWithinTime(count: number): Promise<RetryGrant> {
    const {clock, requestGrant} = this.options;
    let timer: Timer | undefined;
    const expired = new Promise<undefined>(resolve => {
      timer = clock.setTimer(MAX_GRANT_WAIT_MS, () => resolve(undefined));
    });
    try {
      const grant = await Promise.race([requestGrant(count), expired]);
      return grant ?? {granted: 0, retryAfterMs: NO_ANSWER_PAUSE_MS};
    } finally {
      timer?.cancel();
    }
  }
}
