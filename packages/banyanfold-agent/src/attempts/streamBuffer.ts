import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import {ReaderTracker, type ResponseBuffer} from './responseBuffer.js';

interface Frame {
  seq: number;
  text: string;
  bytes: number;
}

/** Options of a `StreamBuffer`. */
export interface StreamBufferOptions {
  attemptId: string;
  clock: Clock;
  resumeWindowMs: number;
  /** Limit for retained frames; the oldest are dropped first. */
  maxBytes: number;
  /** Sequence number of the last event that the reader already has. */
  startSeq?: number;
  writeHead(res: ServerResponse): void;
  onAbandoned(): void;
}

/**
 * Sends the events of one attempt to the entry and retains them for a resume.
 *
 * @example
 * buffer.attach(res, 0);
 * buffer.append(1, '{"id":"chatcmpl-…"}');
 * await buffer.writable();
 * buffer.complete();
 */
export class StreamBuffer implements ResponseBuffer {
  private readonly frames: Frame[] = [];
  private readonly tracker: ReaderTracker;
  private retainedBytes = 0;
  private hasAttached = false;
  private readerLastSeq = 0;
  private state: 'open' | 'complete' | 'broken' = 'open';

  constructor(private readonly options: StreamBufferOptions) {
    this.tracker = new ReaderTracker(options);
  }

  byteLength(): number {
    return this.retainedBytes;
  }

  attach(res: ServerResponse, afterSeq: number): boolean {
    if (this.state === 'broken' || afterSeq < this.lastDroppedSeq()) {
      return false;
    }
    this.hasAttached = true;
    this.readerLastSeq = afterSeq;
    this.options.writeHead(res);
    for (const frame of this.frames) {
      if (frame.seq > afterSeq) res.write(frame.text);
    }
    if (this.state === 'complete') res.end();
    else this.tracker.attach(res);
    return true;
  }

  /** Attaches a reader, unless one was attached before. */
  attachOnce(res: ServerResponse): void {
    if (this.hasAttached) return;
    this.attach(res, 0);
  }

  append(seq: number, data: string): void {
    const text = `id: ${this.options.attemptId}/${seq}\ndata: ${data}\n\n`;
    const bytes = Buffer.byteLength(text);
    this.frames.push({seq, text, bytes});
    this.retainedBytes += bytes;
    if (seq > this.readerLastSeq) this.tracker.current?.write(text);
    while (
      this.retainedBytes > this.options.maxBytes &&
      this.frames.length > 1
    ) {
      this.retainedBytes -= this.frames.shift()!.bytes;
    }
  }

  /** Resolves when the reader, or else the buffer, has capacity again. */
  async writable(): Promise<void> {
    while (this.state === 'open' && this.isFull()) await this.tracker.changed();
  }

  /** Ends the stream cleanly. The end marker must have been appended. */
  complete(): void {
    this.state = 'complete';
    const reader = this.tracker.current;
    this.tracker.stop();
    reader?.end();
  }

  /** Destroys the connection; a clean end would make a part look complete. */
  fail(): undefined {
    this.state = 'broken';
    const reader = this.tracker.current;
    this.tracker.stop();
    reader?.destroy();
  }

  isFull(): boolean {
    const reader = this.tracker.current;
    if (reader) return reader.writableNeedDrain;
    return this.retainedBytes >= this.options.maxBytes / 2;
  }

  private lastDroppedSeq(): number {
    const first = this.frames[0];
    return first ? first.seq - 1 : (this.options.startSeq ?? 0);
  }
}
