import type {BanyanfoldError, Clock, Logger} from '@banyanfold/core';
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
  /** Whether a holder's word was heard lately. */
  isHolderReachable(): boolean;
}

/** One that could not be read or written is tried again so soon. */
const TRY_INTERVAL_MS = 500;
/** While no holder tells, the store is read this often. */
const UNTOLD_INTERVAL_MS = 2_000;
/** Records that are kept at most; the oldest make way. */
const MAX_RECORDS = 500;

/**
 * Keeps the quarantine in the store: the holder of orders writes it, and each
 * process reads it at its start. Without it, a request that crashed three runners
 * would be free again when all processes end at once, and crash as many more.
 */
export class QuarantineKeeper {
  /** By fingerprint, when it was put in; as in the store. */
  private records = new Map<string, number>();
  private readonly unsaved = new Map<string, number>();
  private askedMs = Number.NEGATIVE_INFINITY;
  private loadedTerm: number | undefined;
  private isBusy = false;
  private isLost = false;
  private stopTrying: () => void = () => {};

  constructor(private readonly options: QuarantineKeeperOptions) {}

  start(): void {
    const {clock, store} = this.options;
    store.onReset(() => this.writeAgain());
    this.stopTrying = repeatEvery(clock, TRY_INTERVAL_MS, () => this.sync());
    this.sync();
  }

  stop(): void {
    this.stopTrying();
  }

  /** A request was put into quarantine. */
  add(fingerprint: string): void {
    this.unsaved.set(fingerprint, this.options.clock.wallMs());
    this.sync();
  }

  /** What one process has written, it writes again; the others only read. */
  private writeAgain(): void {
    if (!this.options.lease.current().owns) return;
    for (const [fingerprint, atMs] of this.records) {
      this.unsaved.set(fingerprint, atMs);
    }
    this.sync();
  }

  private sync(): void {
    const {owns, term} = this.options.lease.current();
    if (this.isBusy) return;
    if (this.isUntold) return this.begin(this.load(term));
    // One that comes to hold the lease knows what others have written since.
    const isLoaded = owns
      ? this.loadedTerm === term
      : this.loadedTerm !== undefined;
    if (isLoaded && (!owns || this.unsaved.size === 0)) return;
    this.begin(isLoaded ? this.save() : this.load(term));
  }

  /**
   * Cut off from its peers, an entry may still reach the store and the runners. It
   * reads then what the others have found, if it knows of crashes at all.
   */
  private get isUntold(): boolean {
    const {clock, suspects, isHolderReachable: isHolderHeard} = this.options;
    if (isHolderHeard() || !suspects.hasCrashData) return false;
    return clock.nowMs() - this.askedMs >= UNTOLD_INTERVAL_MS;
  }

  private begin(work: Promise<void>): void {
    this.isBusy = true;
    void work.finally(() => {
      this.isBusy = false;
    });
  }

  private async load(term: number): Promise<void> {
    const {store, suspects, logger, clock} = this.options;
    this.askedMs = clock.nowMs();
    const loaded = await store.load();
    if (loaded.isErr()) return this.lost(loaded.error);
    this.isLost = false;
    this.loadedTerm = term;
    this.records = new Map(loaded.value.map(r => [r.fingerprint, r.atMs]));
    const forMs = new Map<string, number>();
    for (const [fingerprint, atMs] of this.records) {
      const leftMs = atMs + QUARANTINE_MS - clock.wallMs();
      if (leftMs > 0) forMs.set(fingerprint, leftMs);
    }
    suspects.noteStoredQuarantine(forMs);
    logger.info('quarantine-loaded', {requests: forMs.size});
  }

  private async save(): Promise<void> {
    const {store} = this.options;
    const put = [...this.unsaved].map(([fingerprint, atMs]) => ({
      fingerprint,
      atMs,
    }));
    const dropped = this.surplus(put);
    const saved = await store.update(put, dropped);
    if (saved.isErr()) return this.lost(saved.error);
    this.isLost = false;
    for (const {fingerprint, atMs} of put) {
      this.records.set(fingerprint, atMs);
      this.unsaved.delete(fingerprint);
    }
    for (const fingerprint of dropped) this.records.delete(fingerprint);
  }

  /** Records that are out of date or too many, the oldest first. */
  private surplus(put: readonly QuarantineRecord[]): string[] {
    const added = new Set(put.map(({fingerprint}) => fingerprint));
    const oldestMs = this.options.clock.wallMs() - QUARANTINE_MS;
    const kept = [...this.records]
      .filter(([fingerprint]) => !added.has(fingerprint))
      .sort(([, a], [, b]) => a - b);
    const tooMany = kept.length + added.size - MAX_RECORDS;
    return kept
      .filter(([, atMs], i) => atMs < oldestMs || i < tooMany)
      .map(([fingerprint]) => fingerprint);
  }

  private lost({message}: BanyanfoldError): void {
    if (!this.isLost) {
      this.options.logger.warn('quarantine-unkept', {error: message});
    }
    this.isLost = true;
  }
}
