import {type Clock, type Logger, runInBackground} from '@banyanfold/core';
import {repeatEvery} from '../repeatEvery.js';
import type {LeaseSource, StoredUsage, UsageStore} from '../types.js';
import {USAGE_SAVE_INTERVAL_MS, type UsageAccounts} from './usageAccounts.js';

export interface UsageKeeperOptions {
  clock: Clock;
  logger: Logger;
  store: UsageStore;
  lease: LeaseSource;
  accounts: UsageAccounts;
  /** See `UsageAccountsOptions`. */
  isFirstStart: boolean;
  /** Usage of the organisations that are near their limits. */
  nearLimit(): Record<string, StoredUsage>;
}

/**
 * Stores the usage of organisations that are near their limits. Without it, all
 * usage would be lost when all processes end at once, and the new processes
 * would either exceed the caps or refuse callers that are below them. Nothing
 * is written while no organisation is near its limit.
 */
export class UsageKeeper {
  private stopSaving: () => void = () => {};
  private isSaving = false;
  private hasFailed = false;
  /** Whether the stored record may contain usage; unknown after a restart. */
  private mayHaveStoredUsage = true;

  constructor(private readonly options: UsageKeeperOptions) {}

  start(): void {
    const {clock, logger} = this.options;
    runInBackground({logger, step: 'load-usage'}, () => this.load());
    this.stopSaving = repeatEvery(
      {clock, logger, step: 'save-usage', intervalMs: USAGE_SAVE_INTERVAL_MS},
      () => this.saveIfDue(),
    );
  }

  stop(): void {
    this.stopSaving();
  }

  private async load(): Promise<void> {
    const {store, accounts, clock, logger, isFirstStart} = this.options;
    const loaded = await store.load();
    if (loaded.isErr()) return this.reportStoreFailure(loaded.error.message);
    const record = loaded.value;
    if (record) accounts.noteEarlierService();
    else this.mayHaveStoredUsage = false;
    if (isFirstStart && !record) return;
    const ageMs = Math.max(0, clock.wallMs() - (record?.atMs ?? 0));
    const isCurrent = record !== undefined && ageMs < accounts.windowMs;
    accounts.restore(
      isCurrent ? record.organisations : {},
      isCurrent ? ageMs : 0,
    );
    const organisations = Object.keys(record?.organisations ?? {}).length;
    logger.info('usage-loaded', {organisations, ageMs});
  }

  private saveIfDue(): void {
    const {lease, nearLimit, logger} = this.options;
    if (this.isSaving || !lease.current().owns) return;
    const organisations = nearLimit();
    const hasUsageToStore = Object.keys(organisations).length > 0;
    if (!hasUsageToStore && !this.mayHaveStoredUsage) return;
    this.isSaving = true;
    runInBackground({logger, step: 'save-usage'}, () =>
      this.save(organisations).finally(() => {
        this.isSaving = false;
      }),
    );
  }

  private async save(
    organisations: Record<string, StoredUsage>,
  ): Promise<void> {
    const {store, clock} = this.options;
    const saved = await store.save({atMs: clock.wallMs(), organisations});
    if (saved.isErr()) return this.reportStoreFailure(saved.error.message);
    this.hasFailed = false;
    this.mayHaveStoredUsage = Object.keys(organisations).length > 0;
  }

  private reportStoreFailure(error: string): void {
    if (!this.hasFailed) this.options.logger.warn('usage-store-error', {error});
    this.hasFailed = true;
  }
}
