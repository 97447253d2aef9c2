import {
  type BanyanfoldError,
  type Clock,
  type Logger,
  runInBackground,
} from '@banyanfold/core';
import {repeatEvery} from '../repeatEvery.js';
import type {LeaseSource, QuarantineRecord, QuarantineStore} from '../types.js';
import {QUARANTINE_MS} from './crashLedger.js';
import type {CrashSuspects} from './crashSuspects.js';

export interface QuarantineKeeperOptions {
  clock: Clock;
  logger: Logger;
  store: QuarantineStore;
  lease: LeaseSource;
  suspects: CrashSuspects;
  /** Whether state from a holder arrived recently. */
  isHolderReachable(): boolean;
}

/** Interval between retries of a failed read or write. */
const RETRY_INTERVAL_MS = 500;
/** Interval between reads of the store while no holder is reachable. */
const READ_INTERVAL_MS = 2_000;
/** Maximum number of records; the oldest are dropped. */
const MAX_RECORDS = 500;

/**
 * Persists the quarantined requests and prompt parts in the store. The holder writes them, and
 * each process reads them when it starts. Without this, after all processes
 * ended at once, a request that crashed three runners could crash three more.
 */
export class QuarantineKeeper {
  /** Content of the store: time of the quarantine by fingerprint. */
  private records = new Map<string, number>();
  private readonly unsaved = new Map<string, number>();
  /** Released, but not yet removed from the store. */
  private readonly released = new Set<string>();
  private lastLoadMs = Number.NEGATIVE_INFINITY;
  private loadedTerm: number | undefined;
  private isBusy = false;
  private hasFailed = false;
  private stopSync: () => void = () => {};

  constructor(private readonly options: QuarantineKeeperOptions) {}

  start(): void {
    const {clock, logger, store} = this.options;
    store.onReset(() => this.rewriteRecords());
    this.stopSync = repeatEvery(
      {clock, logger, step: 'sync-quarantine', intervalMs: RETRY_INTERVAL_MS},
      () => this.sync(),
    );
    this.sync();
  }

  stop(): void {
    this.stopSync();
  }

  /** Removes what was released from quarantine. */
  remove(fingerprint: string): void {
    this.unsaved.delete(fingerprint);
    this.released.add(fingerprint);
    this.sync();
  }

  /** Adds a request or prompt part that has been quarantined. */
  add(fingerprint: string): void {
    this.released.delete(fingerprint);
    this.unsaved.set(fingerprint, this.options.clock.wallMs());
    this.sync();
  }

  /** Writes the known records again, if this process is the writer. */
  private rewriteRecords(): void {
    if (!this.options.lease.current().owns) return;
    for (const [fingerprint, atMs] of this.records) {
      this.unsaved.set(fingerprint, atMs);
    }
    this.sync();
  }

  private sync(): void {
    const {owns, term} = this.options.lease.current();
    if (this.isBusy) return;
    if (this.shouldRead) return this.run(() => this.load(term));
    // A new holder first loads what former holders have written.
    const isLoaded = owns
      ? this.loadedTerm === term
      : this.loadedTerm !== undefined;
    const isSaved = this.unsaved.size === 0 && this.released.size === 0;
    if (isLoaded && (!owns || isSaved)) return;
    this.run(() => (isLoaded ? this.save() : this.load(term)));
  }

  /**
   * An entry without a reachable holder may still reach the store and the
   * runners. If it knows of any crash, it reads from the store what the others
   * have found.
   */
  private get shouldRead(): boolean {
    const {clock, suspects, isHolderReachable} = this.options;
    if (isHolderReachable() || !suspects.hasCrashData) return false;
    return clock.nowMs() - this.lastLoadMs >= READ_INTERVAL_MS;
  }

  private run(work: () => Promise<void>): void {
    const {logger} = this.options;
    this.isBusy = true;
    runInBackground({logger, step: 'sync-quarantine'}, () =>
      work().finally(() => {
        this.isBusy = false;
      }),
    );
  }

  private async load(term: number): Promise<void> {
    const {store, suspects, logger, clock} = this.options;
    this.lastLoadMs = clock.nowMs();
    const loaded = await store.load();
    if (loaded.isErr()) return this.noteFailure(loaded.error);
    this.hasFailed = false;
    this.loadedTerm = term;
    // No process wrote a later time, however far its wall clock has jumped.
    const latestMs = clock.wallMs() + QUARANTINE_MS;
    const records = loaded.value.filter(({atMs}) => atMs <= latestMs);
    this.records = new Map(records.map(r => [r.fingerprint, r.atMs]));
    const remainingMs = new Map<string, number>();
    for (const [fingerprint, atMs] of this.records) {
      const leftMs = atMs + QUARANTINE_MS - clock.wallMs();
      if (leftMs > 0) remainingMs.set(fingerprint, leftMs);
    }
    suspects.noteStoredQuarantine(remainingMs);
    logger.info('quarantine-loaded', {requests: remainingMs.size});
  }

  private async save(): Promise<void> {
    const {store} = this.options;
    const added = [...this.unsaved].map(([fingerprint, atMs]) => ({
      fingerprint,
      atMs,
    }));
    const released = [...this.released];
    const dropped = [...this.recordsToDrop(added), ...released];
    const saved = await store.update(added, dropped);
    if (saved.isErr()) return this.noteFailure(saved.error);
    this.hasFailed = false;
    for (const {fingerprint, atMs} of added) {
      this.records.set(fingerprint, atMs);
      // It may have been quarantined again while the write was under way.
      if (this.unsaved.get(fingerprint) !== atMs) continue;
      this.unsaved.delete(fingerprint);
    }
    for (const fingerprint of dropped) this.records.delete(fingerprint);
    for (const fingerprint of released) this.released.delete(fingerprint);
  }

  /** Records to drop: expired ones, and the oldest above the maximum. */
  private recordsToDrop(added: readonly QuarantineRecord[]): string[] {
    const addedIds = new Set(added.map(({fingerprint}) => fingerprint));
    const oldestMs = this.options.clock.wallMs() - QUARANTINE_MS;
    const kept = [...this.records]
      .filter(([fingerprint]) => !addedIds.has(fingerprint))
      .sort(([, a], [, b]) => a - b);
    const tooMany = kept.length + addedIds.size - MAX_RECORDS;
    return kept
      .filter(([, atMs], i) => atMs < oldestMs || i < tooMany)
      .map(([fingerprint]) => fingerprint);
  }

  private noteFailure({message}: BanyanfoldError): void {
    if (!this.hasFailed) {
      this.options.logger.warn('quarantine-store-failed', {error: message});
    }
    this.hasFailed = true;
  }
}
