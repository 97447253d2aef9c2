import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import {ReaderTracker, type ResponseBuffer} from './responseBuffer.js';

/** A response that is not streamed. */
export interface WholeResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** Options of a `WholeResponseBuffer`. */
export interface WholeResponseBufferOptions {
  clock: Clock;
  resumeWindowMs: number;
  /** Headers that each response to an entry carries. */
  commonHeaders(): Record<string, string>;
  onAbandoned(): void;
}

/** Retains a whole response for the waiting entry and for one that resumes. */
export class WholeResponseBuffer implements ResponseBuffer {
  private readonly tracker: ReaderTracker;
  private response: WholeResponse | undefined;
  private hasFailed = false;

  constructor(private readonly options: WholeResponseBufferOptions) {
    this.tracker = new ReaderTracker(options);
  }

  byteLength(): number {
    return this.response?.body.length ?? 0;
  }

  attach(res: ServerResponse, _afterSeq: number): boolean {
    if (this.hasFailed) return false;
    if (this.response) this.send(res, this.response);
    else this.tracker.attach(res);
    return true;
  }

  complete(response: WholeResponse): void {
    this.response = response;
    const reader = this.tracker.current;
    this.tracker.stop();
    if (reader) this.send(reader, response);
  }

  /** Marks the response as failed; returns the reader that needs a refusal. */
  fail(): ServerResponse | undefined {
    this.hasFailed = true;
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
