import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import {ReaderTracker, type ResponseBuffer} from './responseBuffer.js';

/** An answer that is sent in one piece. */
export interface WholeResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** How a whole answer's record is built. */
export interface WholeResponseBufferOptions {
  clock: Clock;
  resumeWindowMs: number;
  /** Headers that each answer to an entry bears. */
  commonHeaders(): Record<string, string>;
  onAbandoned(): void;
}

/** A whole answer, for the entry that waits and for one that comes back. */
export class WholeResponseBuffer implements ResponseBuffer {
  private readonly tracker: ReaderTracker;
  private answer: WholeResponse | undefined;
  private broken = false;

  constructor(private readonly options: WholeResponseBufferOptions) {
    this.tracker = new ReaderTracker(options);
  }

  byteLength(): number {
    return this.answer?.body.length ?? 0;
  }

  attach(res: ServerResponse, _afterSeq: number): boolean {
    if (this.broken) return false;
    if (this.answer) this.send(res, this.answer);
    else this.tracker.attach(res);
    return true;
  }

  complete(answer: WholeResponse): void {
    this.answer = answer;
    const reader = this.tracker.current;
    this.tracker.stop();
    if (reader) this.send(reader, answer);
  }

  /** Gives up, and hands back the reader that must be told. */
  fail(): ServerResponse | undefined {
    this.broken = true;
    const reader = this.tracker.current;
    this.tracker.stop();
    return reader;
  }

  private send(res: ServerResponse, {status, headers, body}: WholeResponse) {
    res.writeHead(status, {
      ...this.options.commonHeaders(),
      ...headers,
      'content-length': String(body.length),
    });
    res.end(body);
  }
}
