import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import {ReaderWatch, type AnswerRecord} from './answerRecord.js';

/** An answer that is sent in one piece. */
export interface WholeAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** How a whole answer's record is built. */
export interface WholeRecordOptions {
  clock: Clock;
  resumeWindowMs: number;
  /** Headers that each answer to an entry bears. */
  commonHeaders(): Record<string, string>;
  onAbandoned(): void;
}

/** A whole answer, for the entry that waits and for one that comes back. */
export class WholeRecord implements AnswerRecord {
  private readonly watch: ReaderWatch;
  private answer: WholeAnswer | undefined;
  private broken = false;

  constructor(private readonly options: WholeRecordOptions) {
    this.watch = new ReaderWatch(options);
  }

  bytes(): number {
    return this.answer?.body.length ?? 0;
  }

  attach(res: ServerResponse, _afterSeq: number): boolean {
    if (this.broken) return false;
    if (this.answer) this.send(res, this.answer);
    else this.watch.set(res);
    return true;
  }

  complete(answer: WholeAnswer): void {
    this.answer = answer;
    const reader = this.watch.current;
    this.watch.end();
    if (reader) this.send(reader, answer);
  }

  /** Gives up, and hands back the reader that must be told. */
  fail(): ServerResponse | undefined {
    this.broken = true;
    const reader = this.watch.current;
    this.watch.end();
    return reader;
  }

  private send(res: ServerResponse, {status, headers, body}: WholeAnswer) {
    res.writeHead(status, {
      ...this.options.commonHeaders(),
      ...headers,
      'content-length': String(body.length),
    });
    res.end(body);
  }
}
