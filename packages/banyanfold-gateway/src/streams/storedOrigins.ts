import {
  type Clock,
  type Logger,
  type Metrics,
  summarizeError,
} from '@banyanfold/core';
import type {OriginBatchStore} from '../types.js';
import {
  decodeOriginBatch,
  originDigest,
  type OriginBatch,
} from './originBatch.js';
import {OriginRecords} from './originRecords.js';

export interface StoredOriginsOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  store: OriginBatchStore;
  /** How long a record is kept after it was read, in ms. */
  memoryMs: number;
}

/** What the store has of one stream and its service. */
export interface StoredOrigin {
  version: string | undefined;
  /** Entries have lately appended origins, as several versions served. */
  isMixed: boolean;
  /** The store was read after the stream was asked for, or just before. */
  isCurrent: boolean;
}

/** Those of 12 s in the largest fleet, of a longer time in smaller ones. */
const MAX_BATCHES = 1_000;
/** A bound on memory, some 10 MB. */
const MAX_RECORDS = 100_000;
/** Shortest time between two reads: 365 reads a second by 730 entries. */
const READ_INTERVAL_MS = 2_000;
/** The same, where no entry has appended anything. */
const QUIET_READ_INTERVAL_MS = 10_000;
/** The store answers within some ms where it answers at all. */
const READ_WAIT_MS = 400;
/**
 * Time after which the holder has noted that a service has several versions, also
 * if it ended meanwhile and another one took over.
 */
const UNNOTED_MS = 20_000;

/** The origins that entries have appended to the store, read on demand. */
export class StoredOrigins {
  private readonly records: OriginRecords;
  /** When an entry last appended origins, by service. */
  private readonly appendedMs = new Map<string, number>();
  private cursor: number | undefined;
  /** How often the store has come back from an older copy. */
  private resets = 0;
  private startedMs = Number.NEGATIVE_INFINITY;
  private reading: Promise<void> | undefined;
  private hasSucceeded = false;
  private isQuiet = false;

  constructor(private readonly options: StoredOriginsOptions) {
    const {clock, memoryMs, store} = options;
    this.records = new OriginRecords({
      nowMs: () => clock.nowMs(),
      ttlMs: memoryMs,
      maxRecords: MAX_RECORDS,
    });
    store.onReset(() => {
      this.cursor = undefined;
      this.resets += 1;
    });
  }

  /** Reads what is new in the store, unless that was done just before. */
  refresh(): void {
    const nowMs = this.options.clock.nowMs();
    const intervalMs = this.isQuiet ? QUIET_READ_INTERVAL_MS : READ_INTERVAL_MS;
    if (this.reading || nowMs - this.startedMs < intervalMs) return;
    this.startedMs = nowMs;
    this.reading = this.read()
      .catch((thrown: unknown) => {
        this.hasSucceeded = false;
        const error = summarizeError(thrown);
        this.options.logger.error('stored-origins-unread', {error});
      })
      .finally(() => {
        this.reading = undefined;
      });
  }

  /**
   * Returns the version that began a stream.
   *
   * @param requestId as in its origin record; undefined if the caller names none.
   */
  async find(
    requestId: string | undefined,
    service: string,
  ): Promise<StoredOrigin> {
    const digest = requestId === undefined ? '' : originDigest(requestId);
    const isKnown = this.records.find(digest) !== undefined;
    if (!isKnown) this.refresh();
    const isCurrent = isKnown || (await this.untilRead());
    const version = this.records.find(digest)?.version;
    return {version, isMixed: this.isMixed(service), isCurrent};
  }

  private isMixed(service: string): boolean {
    const appendedMs = this.appendedMs.get(service) ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.nowMs() - appendedMs < UNNOTED_MS;
  }

  /** @returns whether the last read has ended and succeeded. */
  private untilRead(): Promise<boolean> {
    const {reading, options} = this;
    if (!reading) return Promise.resolve(this.hasSucceeded);
    return new Promise(resolve => {
      const timer = options.clock.setTimer(READ_WAIT_MS, () => resolve(false));
      const finish = () => {
        timer.cancel();
        resolve(this.hasSucceeded);
      };
      reading.then(finish, finish);
    });
  }

  private async read(): Promise<void> {
    const {store, logger, metrics} = this.options;
    const {resets} = this;
    const result = await store.readNewest(MAX_BATCHES, this.cursor);
    this.hasSucceeded = result.isOk();
    if (result.isErr()) {
      logger.info('stored-origins-unread', {error: result.error.message});
      return;
    }
    const {batches, cursor} = result.value;
    // The read may have begun before a reset that its own answer brought.
    if (resets === this.resets) this.cursor = cursor;
    this.isQuiet = cursor === 0;
    const decoded = batches.flatMap(batch => decodeOriginBatch(batch) ?? []);
    for (const batch of decoded) this.keep(batch);
    const origins = decoded.flatMap(batch => batch.origins).length;
    metrics.count('stored_origins_read_total', {}, origins);
    logger.info('stored-origins-read', {batches: batches.length, origins});
  }

  private keep({atMs, origins}: OriginBatch): void {
    const {clock} = this.options;
    const ageMs = clock.wallMs() - atMs;
    const isRecent = Math.abs(ageMs) < UNNOTED_MS;
    const appendedMs = clock.nowMs() - Math.max(0, ageMs);
    for (const {requestId, version, service} of origins) {
      this.records.put({requestId, version});
      const knownMs = this.appendedMs.get(service) ?? appendedMs;
      if (isRecent) {
        this.appendedMs.set(service, Math.max(knownMs, appendedMs));
      }
    }
  }
}
