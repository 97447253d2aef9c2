import type {Clock, Logger, Timer} from '@banyanfold/core';
import type {LeaseSource, LeaseState, LeaseStore} from '../types.js';

export interface LeaseKeeperOptions {
  clock: Clock;
  logger: Logger;
  store: LeaseStore;
  /** Monotonic and counting suspensions, in ms. */
  bootMs: () => number;
  /** The store gives the lease to another after this long in silence. */
  ttlMs: number;
  /** Orders of two holders must be this far apart. */
  leaseMs: number;
  /** Called when this process becomes the holder, and when it no longer is. */
  onChange?: (isHolder: boolean) => void;
}

/** Renewals a lease lasts for, so that one lost answer doesn't end it. */
const RENEWALS_PER_TTL = 4;
/** Not used of the lease at its end: for an order on its way, and clocks. */
const LEASE_MARGIN_MS = 150;
/** Who holds it is asked again no sooner than this. */
const OWNER_QUERY_PAUSE_MS = 300;

/**
 * Keeps this process in the group among whose members the store deals the one
 * lease on giving orders.
 *
 * A holder that was frozen or cut off doesn't know that another one orders by
 * now; its late orders would undo the other's. The lease counts from when its
 * renewal was sent, on a clock that goes on during a suspension, and is checked
 * right before each order, so it ends here before the store gives it away.
 */
export class LeaseKeeper implements LeaseSource {
  private timer: Timer | undefined;
  private isStopped = false;
  private generation = 0;
  private ownsIt = false;
  private validUntilMs = 0;
  private orderFromMs = 0;
  private holderAddress: string | undefined;
  private ownerAskedMs = Number.NEGATIVE_INFINITY;
  private wasHolder = false;

  constructor(private readonly options: LeaseKeeperOptions) {}

  start(): void {
    void this.renew();
  }

  current(): LeaseState {
    const nowMs = this.options.bootMs();
    const isHolder =
      this.ownsIt && nowMs < this.validUntilMs && nowMs >= this.orderFromMs;
    if (isHolder !== this.wasHolder) this.noteChange(isHolder);
    return {
      isHolder,
      fencingToken: this.generation,
      holderAddress: this.holderAddress,
    };
  }

  refreshHolder(): void {
    const nowMs = this.options.bootMs();
    if (nowMs - this.ownerAskedMs < OWNER_QUERY_PAUSE_MS) return;
    this.ownerAskedMs = nowMs;
    void this.askOwner();
  }

  async release(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    const held = this.ownsIt;
    this.ownsIt = false;
    this.current();
    const left = await this.options.store.leave();
    if (left.isErr()) {
      this.options.logger.warn('lease-leave-failed', {
        held,
        error: left.error.message,
      });
    }
  }

  private async renew(): Promise<void> {
    const {store, bootMs, ttlMs, leaseMs, logger, clock} = this.options;
    const sentMs = bootMs();
    const joined = await store.join(this.generation);
    if (this.isStopped) return;
    if (joined.isOk()) {
      const {generation, owns} = joined.value;
      if (owns && !this.ownsIt) {
        this.orderFromMs = bootMs() + leaseMs;
        logger.info('lease-gained', {generation, orderInMs: leaseMs});
      }
      if (!owns && this.ownsIt) logger.info('lease-lost', {generation});
      this.generation = generation;
      this.ownsIt = owns;
      this.validUntilMs = sentMs + ttlMs - LEASE_MARGIN_MS;
    } else {
      logger.warn('lease-renewal-failed', {error: joined.error.message});
      this.dropLapsed();
    }
    this.current();
    const delayMs = ttlMs / RENEWALS_PER_TTL;
    this.timer = clock.setTimer(delayMs, () => void this.renew());
  }

  /** After a lapse another may have ordered; the pause begins anew. */
  private dropLapsed(): void {
    if (this.options.bootMs() >= this.validUntilMs) this.ownsIt = false;
  }

  private async askOwner(): Promise<void> {
    const owner = await this.options.store.owner();
    if (owner.isErr()) {
      this.options.logger.warn('lease-owner-unknown', {
        error: owner.error.message,
      });
      return;
    }
    if (owner.value === this.holderAddress) return;
    this.holderAddress = owner.value;
    this.options.logger.info('holder', {address: owner.value});
  }

  private noteChange(isHolder: boolean): void {
    this.wasHolder = isHolder;
    this.options.logger.info(isHolder ? 'orders-begin' : 'orders-end', {
      token: this.generation,
    });
    this.options.onChange?.(isHolder);
  }
}
