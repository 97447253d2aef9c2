import type {ServerResponse} from 'node:http';
import type {Clock, Timer} from '@banyanfold/core';

/** A response that is retained so that an entry can resume reading it. */
export interface ResponseBuffer {
  /** Sends everything after `afterSeq`; false if that is no longer retained. */
  attach(res: ServerResponse, afterSeq: number): boolean;
  byteLength(): number;
}

/** Options of a `ReaderTracker`. */
export interface ReaderTrackerOptions {
  clock: Clock;
  resumeWindowMs: number;
  /** Called if no reader has reconnected within `resumeWindowMs`. */
  onAbandoned(): void;
}

/**
 * Tracks whether a response has a reader. An entry that loses its connection
 * reconnects quickly. If it doesn't, its caller has disconnected and the result
 * is no longer needed.
 */
export class ReaderTracker {
  private reader: ServerResponse | undefined;
  private timer: Timer | undefined;
  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: ReaderTrackerOptions) {}

  get current(): ServerResponse | undefined {
    return this.reader;
  }

  /** Sets the reader and disconnects the previous one. */
  attach(res: ServerResponse): void {
    const previous = this.reader;
    this.reader = res;
    this.timer?.cancel();
    previous?.destroy();
    if (res.destroyed) {
      this.handleClose(res);
      return;
    }
    res.on('close', () => this.handleClose(res));
    res.on('drain', () => this.notifyWaiters());
    this.notifyWaiters();
  }

  /** Stops tracking: the response is complete or has failed. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
    this.reader = undefined;
    this.notifyWaiters();
  }

  /** Resolves when a reader attaches, drains or disconnects, or on `stop`. */
  changed(): Promise<void> {
    return new Promise(resolve => this.waiters.add(resolve));
  }

  private handleClose(res: ServerResponse): void {
    if (this.reader !== res) return;
    this.reader = undefined;
    const {clock, resumeWindowMs, onAbandoned} = this.options;
    this.timer = clock.setTimer(resumeWindowMs, onAbandoned);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const resolve of waiters) resolve();
  }
}
