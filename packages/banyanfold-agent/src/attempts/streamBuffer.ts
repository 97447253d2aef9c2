import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import {ReaderTracker, type ResponseBuffer} from './responseBuffer.js';

interface Frame {
  seq: number;
  text: string;
}

/** How a stream's record is built. */
export interface StreamBufferOptions {
  attemptId: string;
  clock: Clock;
  resumeWindowMs: number;
  /** Of the frames already sent, this much is kept for a resume. */
  maxBytes: number;
  /** The number of the last event that the reader has already. */
  startSeq?: number;
  writeHead(res: ServerResponse): void;
  onAbandoned(): void;
}

/**
 * The events of one attempt, as sent to the entry and kept for its resume.
 *
 * @example
 * record.attach(res, 0);
 * record.append(1, '{"id":"chatcmpl-…"}');
 * await record.writable();
 * record.complete();
 */
export class StreamBuffer implements ResponseBuffer {
  private readonly frames: Frame[] = [];
  private readonly tracker: ReaderTracker;
  private keptBytes = 0;
  private wasAttached = false;
  private readerHasThrough = 0;
  private state: 'open' | 'complete' | 'broken' = 'open';

  constructor(private readonly options: StreamBufferOptions) {
    this.tracker = new ReaderTracker(options);
  }

  byteLength(): number {
    return this.keptBytes;
  }

  attach(res: ServerResponse, afterSeq: number): boolean {
    if (this.state === 'broken' || afterSeq < this.droppedThrough()) {
      return false;
    }
    this.wasAttached = true;
    this.readerHasThrough = afterSeq;
    this.options.writeHead(res);
    for (const frame of this.frames) {
      if (frame.seq > afterSeq) res.write(frame.text);
    }
    if (this.state === 'complete') res.end();
    else this.tracker.attach(res);
    return true;
  }

  /** Attaches the caller's own connection, the first time it is called. */
  attachOnce(res: ServerResponse): void {
    if (this.wasAttached) return;
    this.attach(res, 0);
  }

  append(seq: number, data: string): void {
    const text = `id: ${this.options.attemptId}/${seq}\ndata: ${data}\n\n`;
    this.frames.push({seq, text});
    this.keptBytes += text.length;
    if (seq > this.readerHasThrough) this.tracker.current?.write(text);
    while (this.keptBytes > this.options.maxBytes && this.frames.length > 1) {
      this.keptBytes -= this.frames.shift()!.text.length;
    }
  }

  /** Resolves when the reader, or the record without one, can take more. */
  async writable(): Promise<void> {
    while (this.state === 'open' && this.isFull()) await this.tracker.changed();
  }

  /** Ends cleanly; only after the end marker was appended. */
  complete(): void {
    this.state = 'complete';
    const reader = this.tracker.current;
    this.tracker.stop();
    reader?.end();
  }

  /** Ends visibly broken: a clean end would make a part look whole. */
  fail(): undefined {
    this.state = 'broken';
    const reader = this.tracker.current;
    this.tracker.stop();
    reader?.destroy();
  }

  isFull(): boolean {
    const reader = this.tracker.current;
    if (reader) return reader.writableNeedDrain;
    return this.keptBytes >= this.options.maxBytes / 2;
  }

  private droppedThrough(): number {
    const first = this.frames[0];
    return first ? first.seq - 1 : (this.options.startSeq ?? 0);
  }
}
