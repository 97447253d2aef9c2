import {
  type BanyanfoldError,
  type Clock,
  type Logger,
  runInBackground,
} from '@banyanfold/core';
import {repeatEvery} from '../repeatEvery.js';
import type {LeaseSource, VersionNoteStore} from '../types.js';
import type {VersionHistory} from './versionHistory.js';

export interface VersionNotesOptions {
  clock: Clock;
  logger: Logger;
  store: VersionNoteStore;
  lease: LeaseSource;
  history(): VersionHistory;
}

const SYNC_INTERVAL_MS = 500;
/** The store answers within some ms where it answers at all. */
const READ_WAIT_MS = 300;

/**
 * Keeps a note in the store of each service whose runners have several software
 * versions. The holder writes it, and each process reads it when it starts.
 * Without it, after all processes ended at once, nobody would know of a version
 * whose last runner had just left, and its streams would go on at another one.
 */
export class VersionNotes {
  /** Services noted in the store, as last read or written. */
  private noted: ReadonlySet<string> | undefined;
  private loadedTerm: number | undefined;
  private isBusy = false;
  private hasFailed = false;
  private readonly onRead: Array<() => void> = [];
  private stopSync: () => void = () => {};

  constructor(private readonly options: VersionNotesOptions) {}

  /** Services noted in the store; undefined until they have been read. */
  get services(): ReadonlySet<string> | undefined {
    return this.noted;
  }

  /** Resolves once the notes have been read, or after `READ_WAIT_MS`. */
  untilRead(): Promise<void> {
    if (this.noted !== undefined) return Promise.resolve();
    return new Promise(resolve => {
      const timer = this.options.clock.setTimer(READ_WAIT_MS, resolve);
      this.onRead.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  start(): void {
    const {clock, logger, store} = this.options;
    // What was written lately may be lost, so that it is compared again.
    store.onReset(() => {
      this.loadedTerm = undefined;
    });
    this.stopSync = repeatEvery(
      {clock, logger, step: 'sync-version-notes', intervalMs: SYNC_INTERVAL_MS},
      () => this.sync(),
    );
    this.sync();
  }

  stop(): void {
    this.stopSync();
  }

  private sync(): void {
    if (this.isBusy) return;
    const {owns, term} = this.options.lease.current();
    const isLoaded = this.noted !== undefined;
    if (!isLoaded || (owns && this.loadedTerm !== term)) {
      return this.run(() => this.load(term));
    }
    if (owns) this.run(() => this.save());
  }

  private run(work: () => Promise<void>): void {
    const {logger} = this.options;
    this.isBusy = true;
    runInBackground({logger, step: 'sync-version-notes'}, () =>
      work().finally(() => {
        this.isBusy = false;
      }),
    );
  }

  private async load(term: number): Promise<void> {
    const loaded = await this.options.store.load();
    if (loaded.isErr()) return this.noteFailure(loaded.error);
    this.hasFailed = false;
    this.loadedTerm = term;
    this.noted = new Set(loaded.value);
    for (const notify of this.onRead.splice(0)) notify();
    if (loaded.value.length === 0) return;
    const services = loaded.value.join();
    this.options.logger.info('version-notes-loaded', {services});
  }

  /** Writes the difference; most times there is none. */
  private async save(): Promise<void> {
    const {store, history, logger} = this.options;
    const noted = this.noted ?? new Set<string>();
    const mixed = new Set(history().mixedServices());
    const added = [...mixed].filter(service => !noted.has(service));
    // A note stays until this process has seen for itself that it is over.
    const dropped = history().isComplete
      ? [...noted].filter(service => !mixed.has(service))
      : [];
    if (added.length === 0 && dropped.length === 0) return;
    const saved = await store.update(added, dropped);
    if (saved.isErr()) return this.noteFailure(saved.error);
    this.hasFailed = false;
    logger.info('version-notes-saved', {
      added: added.join(),
      dropped: dropped.join(),
    });
    const kept = [...noted].filter(service => !dropped.includes(service));
    this.noted = new Set([...kept, ...added]);
  }

  private noteFailure({message}: BanyanfoldError): void {
    if (!this.hasFailed) {
      this.options.logger.warn('version-notes-failed', {error: message});
    }
    this.hasFailed = true;
  }
}
