import type {Clock, Logger} from '@banyanfold/core';
import type {FleetUsageSnapshot} from '@banyanfold/decisions';
import {repeatEvery} from '../repeatEvery.js';
import type {LeaseSource, UsageStore} from '../types.js';
import type {UsageAccounts} from './usageAccounts.js';

export interface UsageKeeperOptions {
  clock: Clock;
  logger: Logger;
  store: UsageStore;
  lease: LeaseSource;
  accounts: UsageAccounts;
  /** The whole system starts for the first time; nothing has been used. */
  isFirstStart: boolean;
  /** What organisations that are near their limits have left. */
  nearLimit(): Record<string, FleetUsageSnapshot>;
}

const SAVE_INTERVAL_MS = 1_000;

/**
 * Keeps the use of organisations that are near their limits in the store. When all
 * processes end at once, those that start would else know of nothing that has been
 * used, and either pass the caps or refuse callers below them. Nothing is written
 * while no organisation is near its limit.
 */
export class UsageKeeper {
  private stopSaving: () => void = () => {};
  private isBusy = false;
  private isLost = false;
  /** Whether the record in the store names anyone; unknown at the start. */
  private isNamed = true;

  constructor(private readonly options: UsageKeeperOptions) {}

  start(): void {
    const {clock, isFirstStart} = this.options;
    this.isNamed = !isFirstStart;
    if (!isFirstStart) void this.load();
    this.stopSaving = repeatEvery(clock, SAVE_INTERVAL_MS, () => this.save());
  }

  stop(): void {
    this.stopSaving();
  }

  private async load(): Promise<void> {
    const {store, accounts, clock, logger} = this.options;
    const loaded = await store.load();
    if (loaded.isErr()) return this.lost(loaded.error.message);
    const record = loaded.value;
    const ageMs = Math.max(0, clock.wallMs() - (record?.atMs ?? 0));
    const isCurrent = record !== undefined && ageMs < accounts.windowMs;
    accounts.tellStored(
      isCurrent ? record.organisations : {},
      isCurrent ? ageMs : 0,
    );
    const organisations = Object.keys(record?.organisations ?? {}).length;
    logger.info('usage-loaded', {organisations, ageMs});
  }

  private save(): void {
    const {lease, nearLimit, store, clock} = this.options;
    if (this.isBusy || !lease.current().owns) return;
    const organisations = nearLimit();
    const isNamed = Object.keys(organisations).length > 0;
    if (!isNamed && !this.isNamed) return;
    this.isBusy = true;
    void store.save({atMs: clock.wallMs(), organisations}).then(saved => {
      this.isBusy = false;
      if (saved.isErr()) return this.lost(saved.error.message);
      this.isLost = false;
      this.isNamed = isNamed;
    });
  }

  private lost(error: string): void {
    if (!this.isLost) this.options.logger.warn('usage-unkept', {error});
    this.isLost = true;
  }
}
