import {
  sleep,
  type BanyanfoldError,
  type Clock,
  type Logger,
} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {Backoff, type BackoffOptions} from './backoff.js';
import type {LogPage, LogRecord, LogService, StreamName} from './types.js';

/** Records that a reader will never see: trimmed before it read them. */
export interface Gap {
  fromOffset: number;
  /** The first offset that can still be read. */
  toOffset: number;
}

/** What is new to the follower, in offset order, each record once. */
export interface DeliveredPage {
  records: readonly LogRecord[];
  gap: Gap | undefined;
  /** The oldest offset that the log retains. */
  firstOffset: number;
  /** The log's clock. */
  nowMs: number;
}

export interface StreamFollowerOptions {
  log: LogService;
  stream: StreamName;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** Where reading begins; 1, the first offset there is, when left out. */
  fromOffset?: number;
  pageLimit?: number;
  /** How long the log may hold a poll while it has nothing new. */
  waitMs?: number;
  /**
   * The least time between polls: under a steady flow of records each poll
   * is answered at once, and one poll for each record would swamp the log.
   */
  minPollIntervalMs?: number;
  backoff?: Partial<Omit<BackoffOptions, 'random'>>;
  /** Called for each page that isn't empty, has a gap, or is the first. */
  onPage(page: DeliveredPage): void;
}

export const DEFAULT_FOLLOWER_OPTIONS = {
  fromOffset: 1,
  pageLimit: 500,
  waitMs: 10_000,
  minPollIntervalMs: 20,
} as const;

/**
 * Follows a stream of the log: long polls, one in flight, with full jitter
 * between tries while the log is out. `readNow` reads beside the long poll,
 * which may be held at the log; pages that overlap are told apart by offset.
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
  private presentRead: Promise<Result<number, BanyanfoldError>> | undefined;
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

  /** The offset that is read next; all before it were handed on. */
  get position(): number {
    return this.nextOffset;
  }

  /** The log's clock now, as far as the last answer tells; undefined before. */
  get logNowMs(): number | undefined {
    if (!this.logClock) return undefined;
    const {nowMs, readAtMs} = this.logClock;
    return nowMs + (this.options.clock.nowMs() - readAtMs);
  }

  /** Whether the end of the log was reached once. */
  get hasCaughtUp(): boolean {
    return this.isCaughtUp;
  }

  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.pollAbort = new AbortController();
    void this.poll(this.pollAbort.signal);
  }

  /** Stops polling and gives up a poll in flight. */
  stop(): void {
    this.isRunning = false;
    this.pollAbort.abort();
  }

  /** Resolves once the end of the log was reached for the first time. */
  caughtUp(): Promise<void> {
    return this.caughtUpPromise;
  }

  /**
   * Reads through the end of the log as it was at the call or later.
   *
   * @returns the position then, or `log-unavailable`.
   */
  readNow(): ResultAsync<number, BanyanfoldError> {
    // A read in flight may have been answered before the call, so it can't be
    // shared; the next one, which hasn't begun, can.
    if (!this.presentRead) return new ResultAsync(this.beginPresentRead());
    this.queuedRead ??= this.presentRead.then(() => {
      this.queuedRead = undefined;
      return this.beginPresentRead();
    });
    return new ResultAsync(this.queuedRead);
  }

  /** Like `readNow`, but done at once when `offset` was handed on already. */
  readThrough(offset: number): ResultAsync<number, BanyanfoldError> {
    if (this.nextOffset > offset) {
      return new ResultAsync(Promise.resolve(ok(this.nextOffset)));
    }
    return this.readNow();
  }

  private beginPresentRead(): Promise<Result<number, BanyanfoldError>> {
    const read = this.readToEnd().finally(() => {
      if (this.presentRead === read) this.presentRead = undefined;
    });
    this.presentRead = read;
    return read;
  }

  private async readToEnd(): Promise<Result<number, BanyanfoldError>> {
    let endOffset: number | undefined;
    for (;;) {
      const page = await this.read(0);
      if (page.isErr()) return err(page.error);
      endOffset ??= page.value.nextOffset;
      this.handOn(page.value);
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
        this.handOn(page.value);
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

  private handOn(page: LogPage): void {
    const {clock, logger, stream} = this.options;
    this.logClock = {readAtMs: clock.nowMs(), nowMs: page.nowMs};
    const gap = this.gapBefore(page);
    const records = page.records.filter(
      ({offset}) => offset >= this.nextOffset,
    );
    const isFirst = !this.isCaughtUp;
    this.nextOffset = Math.max(
      this.nextOffset,
      page.firstOffset,
      (records.at(-1)?.offset ?? 0) + 1,
    );
    if (gap) logger.warn('log-gap', {stream, ...gap});
    if (records.length > 0 || gap || isFirst) {
      const {firstOffset, nowMs} = page;
      this.options.onPage({records, gap, firstOffset, nowMs});
    }
    if (this.nextOffset < page.nextOffset || this.isCaughtUp) return;
    this.isCaughtUp = true;
    this.resolveCaughtUp();
  }

  private gapBefore(page: LogPage): Gap | undefined {
    if (page.firstOffset <= this.nextOffset) return undefined;
    return {fromOffset: this.nextOffset, toOffset: page.firstOffset};
  }
}
