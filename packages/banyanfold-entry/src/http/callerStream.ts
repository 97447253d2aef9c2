import type {ServerResponse} from 'node:http';
import type {ApiError} from './apiErrors.js';
import {waitForFlush, type StallLimit} from './waitForFlush.js';

/** The caller's end of a streamed answer. */
export class CallerStream {
  /** Aborted when the caller goes away before its answer is whole. */
  readonly signal: AbortSignal;
  private readonly disconnect = new AbortController();

  constructor(
    private readonly res: ServerResponse,
    private readonly stallLimit: StallLimit,
  ) {
    this.signal = this.disconnect.signal;
    res.once('close', () => {
      if (!res.writableFinished) this.disconnect.abort();
    });
  }

  /** Whether any byte may have reached the caller. */
  get started(): boolean {
    return this.res.headersSent;
  }

  begin(status: number, headers: Record<string, string>): void {
    this.res.writeHead(status, headers);
  }

  /**
   * Writes events in one go, and with the last ones the end; resolves when the
   * caller takes more.
   */
  async write(events: readonly Buffer[], isLast = false): Promise<void> {
    const {res} = this;
    if (res.destroyed) return;
    let canWriteMore = true;
    res.cork();
    for (const slice of events) canWriteMore = res.write(slice);
    if (isLast) res.end();
    res.uncork();
    if (isLast) return;
    if (!canWriteMore) await waitForFlush(res, 'drain', this.stallLimit);
  }

  /**
   * Says that the stream is broken and breaks the connection. A clean end
   * would make the part look like a whole answer to most clients.
   */
  abort(error: ApiError): void {
    const {res} = this;
    if (res.destroyed) return;
    res.write(`data: ${error.toBody()}\n\n`, () => res.destroy());
  }
}
