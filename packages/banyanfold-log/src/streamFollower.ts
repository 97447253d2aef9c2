import {
  sleep,
  type BanyanfoldError,
  type Clock,
  type Logger,
} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {Backoff, type BackoffOptions} from './backoff.js';
import type {LogPage, LogRecord, LogService, StreamName} from './types.js';

/** A range of records that were trimmed before the reader read them. */
export interface Gap {
  fromOffset: number;
  /** The first offset that can still be read. */
  toOffset: number;
}

/** New records in offset order. Each record is delivered once. */
export interface DeliveredPage {
  records: readonly LogRecord[];
  gap: Gap | undefined;
  /** The oldest offset that the log retains. */
  firstOffset: number;
  /** The log's current time. */
  nowMs: number;
}

export interface StreamFollowerOptions {
  log: LogService;
  stream: StreamName;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** The offset to start from. Defaults to 1, the lowest offset. */
  fromOffset?: number;
  pageLimit?: number;
  /** How long the log may hold a long poll without new records. */
  waitMs?: number;
  /**
   * The minimum time between polls. Under steady traffic the log responds to
   * each poll at once, and one poll per record would overload the log.
   */
  minPollIntervalMs?: number;
  backoff?: Partial<Omit<BackoffOptions, 'random'>>;
  /** Called for each page that has records or a gap, and until caught up. */
  onPage(page: DeliveredPage): void;
}

export const DEFAULT_FOLLOWER_OPTIONS = {
  fromOffset: 1,
  pageLimit: 500,
  waitMs: 10_000,
  minPollIntervalMs: 20,
} as const;

/**
 * Follows a stream of the log with one long poll in flight, and retries with
 * full jitter while the log is unavailable. `readNow` reads concurrently with
 * the long poll, which the log may hold. Overlapping pages are deduplicated by
 * offset.
 *
 * @example
 * const follower = new StreamFollower({log, stream: 'claims', clock, logger,
 *   random: Math.random, onPage: page => page.records.forEach(apply)});
 * follower.start();
 * await follower.caughtUp();
 */
export class StreamFollower {
  private readonly options: StreamFollowerOptions &
    typeof DEFAULT_FOLLOWER_OPTIONS;
  private readonly backoff: Backoff;
  private nextOffset: number;
  private isRunning = false;
  private pollAbort = new AbortController();
  private isCaughtUp = false;
  private readonly caughtUpPromise: Promise<void>;
  private resolveCaughtUp: () => void = () => {};
  private logClock: {readAtMs: number; nowMs: number} | undefined;
  private activeRead: Promise<Result<number, BanyanfoldError>> | undefined;
  private queuedRead: Promise<Result<number, BanyanfoldError>> | undefined;

  constructor(options: StreamFollowerOptions) {
    this.options = {
      ...DEFAULT_FOLLOWER_OPTIONS,
      ...options,
    } as typeof this.options;
    this.nextOffset = this.options.fromOffset;
    this.backoff = new Backoff({...options.backoff, random: options.random});
    this.caughtUpPromise = new Promise(resolve => {
      this.resolveCaughtUp = resolve;
    });
  }

  /** The next offset to read. All records before it were delivered. */
  get position(): number {
    return this.nextOffset;
  }

  /**
   * The log's current time, estimated from the last page; undefined before it.
   */
  get logNowMs(): number | undefined {
    if (!this.logClock) return undefined;
    const {nowMs, readAtMs} = this.logClock;
    return nowMs + (this.options.clock.nowMs() - readAtMs);
  }

  /** Whether the follower has reached the end of the log at least once. */
  get hasCaughtUp(): boolean {
    return this.isCaughtUp;
  }

  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.pollAbort = new AbortController();
    // A page that can't be applied ends the process: a claim that was missed
    // would let a request run twice.
    // eslint-disable-next-line @typescript-eslint/no-floating-promises
    void this.poll(this.pollAbort.signal);
  }

  /** Stops polling and aborts a poll in flight. */
  stop(): void {
    this.isRunning = false;
    this.pollAbort.abort();
  }

  /** Resolves when the follower first reaches the end of the log. */
  caughtUp(): Promise<void> {
    return this.caughtUpPromise;
  }

  /**
   * Reads up to the end of the log as of the call or later.
   *
   * @returns the position after the read, or the error `log-unavailable`.
   */
  readNow(): ResultAsync<number, BanyanfoldError> {
    // A read in flight may reflect an older end of the log, so only the queued
    // read, which has not started yet, can be shared.
    if (!this.activeRead) return new ResultAsync(this.startRead());
    this.queuedRead ??= this.activeRead.then(() => {
      this.queuedRead = undefined;
      return this.startRead();
    });
    return new ResultAsync(this.queuedRead);
  }

  /** Like `readNow`, but resolves at once if `offset` was already delivered. */
  readThrough(offset: number): ResultAsync<number, BanyanfoldError> {
    if (this.nextOffset > offset) {
      return new ResultAsync(Promise.resolve(ok(this.nextOffset)));
    }
    return this.readNow();
  }

  private startRead(): Promise<Result<number, BanyanfoldError>> {
    const read = this.readToEnd().finally(() => {
      if (this.activeRead === read) this.activeRead = undefined;
    });
    this.activeRead = read;
    return read;
  }

  private async readToEnd(): Promise<Result<number, BanyanfoldError>> {
    let endOffset: number | undefined;
    for (;;) {
      const page = await this.read(0);
      if (page.isErr()) return err(page.error);
      endOffset ??= page.value.nextOffset;
      this.deliver(page.value);
      if (this.nextOffset >= endOffset) return ok(this.nextOffset);
    }
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const {clock, logger, stream, waitMs, minPollIntervalMs} = this.options;
    while (!signal.aborted) {
      const page = await this.read(this.isCaughtUp ? waitMs : 0, signal);
      if (signal.aborted) return;
      if (page.isOk()) {
        this.backoff.reset();
        this.deliver(page.value);
        if (this.isCaughtUp) await sleep(clock, minPollIntervalMs);
        continue;
      }
      const delayMs = this.backoff.nextDelayMs();
      const {code, step, peer} = page.error;
      logger.warn('log-read-failed', {stream, code, step, peer, delayMs});
      await sleep(clock, delayMs);
    }
  }

  private read(
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<LogPage, BanyanfoldError> {
    const {log, stream, pageLimit} = this.options;
    const fromOffset = this.nextOffset;
    const range = {fromOffset, limit: pageLimit, waitMs};
    return log.read(stream, signal ? {...range, signal} : range);
  }

  private deliver(page: LogPage): void {
    const {clock, logger, stream} = this.options;
    this.logClock = {readAtMs: clock.nowMs(), nowMs: page.nowMs};
    const gap = this.findGap(page);
    const records = page.records.filter(
      ({offset}) => offset >= this.nextOffset,
    );
    const isCatchingUp = !this.isCaughtUp;
    this.nextOffset = Math.max(
      this.nextOffset,
      page.firstOffset,
      (records.at(-1)?.offset ?? 0) + 1,
    );
    if (gap) logger.warn('log-gap', {stream, ...gap});
    if (records.length > 0 || gap || isCatchingUp) {
      const {firstOffset, nowMs} = page;
      this.options.onPage({records, gap, firstOffset, nowMs});
    }
    if (this.nextOffset < page.nextOffset || this.isCaughtUp) return;
    this.isCaughtUp = true;
    this.resolveCaughtUp();
  }

  private findGap(page: LogPage): Gap | undefined {
    if (page.firstOffset <= this.nextOffset) return undefined;
    return {fromOffset: this.nextOffset, toOffset: page.firstOffset};
  }
}
