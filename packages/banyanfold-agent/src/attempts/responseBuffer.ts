import type {ServerResponse} from 'node:http';
import type {Clock, Timer} from '@banyanfold/core';

/** An answer that an entry can come back for. */
export interface ResponseBuffer {
  /** Sends what comes after `afterSeq`; false when that isn't kept. */
  attach(res: ServerResponse, afterSeq: number): boolean;
  byteLength(): number;
}

/** How the reader of an answer is watched. */
export interface ReaderTrackerOptions {
  clock: Clock;
  resumeWindowMs: number;
  /** Nobody has come back for the answer in time. */
  onAbandoned(): void;
}

/**
 * Knows whether somebody reads an answer. An entry that loses its connection
 * comes back within moments; one that doesn't has no caller any more, and the
 * work is of no use to anyone.
 */
export class ReaderTracker {
  private reader: ServerResponse | undefined;
  private timer: Timer | undefined;
  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: ReaderTrackerOptions) {}

  get current(): ServerResponse | undefined {
    return this.reader;
  }

  /** A new reader takes the place of an older one. */
  attach(res: ServerResponse): void {
    const previous = this.reader;
    this.reader = res;
    this.timer?.cancel();
    previous?.destroy();
    if (res.destroyed) {
      this.lost(res);
      return;
    }
    res.on('close', () => this.lost(res));
    res.on('drain', () => this.wake());
    this.wake();
  }

  /** Stops watching: the answer is complete or given up. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
    this.reader = undefined;
    this.wake();
  }

  /** Resolves at the next change: a drain, a new reader or a lost one. */
  changed(): Promise<void> {
    return new Promise(resolve => this.waiters.add(resolve));
  }

  private lost(res: ServerResponse): void {
    if (this.reader !== res) return;
    this.reader = undefined;
    const {clock, resumeWindowMs, onAbandoned} = this.options;
    this.timer = clock.setTimer(resumeWindowMs, onAbandoned);
    this.wake();
  }

  private wake(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const resolve of waiters) resolve();
  }
}
