import {
  type BanyanfoldError,
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import type {OriginBatchStore} from '../types.js';
import {encodeOriginBatch} from './originBatch.js';
import type {ServiceOrigin} from './originRecords.js';

export interface OriginAppenderOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  store: OriginBatchStore;
  /** Entries that append; undefined until a holder has named them. */
  writerCount(): number | undefined;
}

const MS_PER_SECOND = 1000;
/** Part of the store's writes that the origins of streams may take. */
const WRITE_SHARE = 0.2;
/** Shortest time between two batches of an entry; each call is priced. */
const MIN_INTERVAL_MS = 250;
/** Pause after a batch that the store did not take. */
const FAILED_PAUSE_MS = 2_000;
/** Records that wait while the store takes none: 1 MB at most. */
const MAX_PENDING = 5_000;
/** With names of the greatest length, a batch is smaller than the store allows. */
const MAX_BATCH = 500;
const MAX_NAMES_BYTES = 400;
/** A store that comes back from an older copy has lost some seconds. */
const REWRITE_MS = 15_000;

interface AppendedBatch {
  origins: readonly ServiceOrigin[];
  atMs: number;
}

/**
 * Appends origin records to the store in batches, so that streams can go on
 * after all entries have ended at once.
 */
export class OriginAppender {
  private pending: ServiceOrigin[] = [];
  private appended: AppendedBatch[] = [];
  private dueMs = 0;
  private timer: Timer | undefined;
  private isAppending = false;
  private hasFailed = false;
  private isStopped = false;

  constructor(private readonly options: OriginAppenderOptions) {
    options.store.onReset(() => this.rewrite());
  }

  /** Appends records with the next batch. */
  add(origins: readonly ServiceOrigin[]): void {
    const storable = origins.filter(isStorable);
    this.pending.push(...storable);
    const excess = Math.max(0, this.pending.length - MAX_PENDING);
    this.pending.splice(0, excess);
    const dropped = excess + origins.length - storable.length;
    if (dropped > 0) {
      this.options.metrics.count('origins_unstored_total', {}, dropped);
    }
    this.schedule();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private get intervalMs(): number {
    const {store, writerCount} = this.options;
    const writesPerSecond = store.writesPerSecond * WRITE_SHARE;
    const writers = writerCount() ?? 1;
    const fairMs = (writers * MS_PER_SECOND) / writesPerSecond;
    return Math.max(MIN_INTERVAL_MS, fairMs);
  }

  private schedule(): void {
    if (this.timer || this.isAppending || this.isStopped) return;
    if (this.pending.length === 0) return;
    const {clock} = this.options;
    const delayMs = Math.max(0, this.dueMs - clock.nowMs());
    this.timer = clock.setTimer(delayMs, () => {
      this.timer = undefined;
      const {logger} = this.options;
      runInBackground({logger, step: 'append-origins'}, () =>
        this.appendBatch(),
      );
    });
  }

  private async appendBatch(): Promise<void> {
    const {clock, store} = this.options;
    const origins = this.pending.splice(0, MAX_BATCH);
    this.isAppending = true;
    this.dueMs = clock.nowMs() + this.intervalMs;
    const batch = encodeOriginBatch({origins, atMs: clock.wallMs()});
    const result = await store.append(batch).finally(() => {
      this.isAppending = false;
    });
    if (result.isErr()) this.handleFailure(origins, result.error);
    else this.handleSuccess(origins);
    this.schedule();
  }

  private handleSuccess(origins: readonly ServiceOrigin[]): void {
    const {clock, metrics} = this.options;
    this.hasFailed = false;
    metrics.count('origins_stored_total', {}, origins.length);
    const nowMs = clock.nowMs();
    this.appended.push({origins, atMs: nowMs});
    this.appended = this.appended.filter(
      ({atMs}) => nowMs - atMs <= REWRITE_MS,
    );
  }

  private handleFailure(
    origins: readonly ServiceOrigin[],
    {message}: BanyanfoldError,
  ): void {
    const {clock, logger} = this.options;
    if (!this.hasFailed) logger.warn('origins-unstored', {error: message});
    this.hasFailed = true;
    this.dueMs = clock.nowMs() + FAILED_PAUSE_MS;
    this.pending.unshift(...origins);
    this.add([]);
  }

  private rewrite(): void {
    const nowMs = this.options.clock.nowMs();
    const lost = this.appended.filter(({atMs}) => nowMs - atMs <= REWRITE_MS);
    this.appended = [];
    this.add(lost.flatMap(({origins}) => origins));
  }
}

/** Versions of any length may come from another writer. */
function isStorable({service, version}: ServiceOrigin): boolean {
  const names = JSON.stringify([service, version]);
  return Buffer.byteLength(names) <= MAX_NAMES_BYTES;
}
