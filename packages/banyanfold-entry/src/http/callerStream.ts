import type {ServerResponse} from 'node:http';
import type {ApiError} from './apiErrors.js';
import {waitForFlush, type StallLimit} from './waitForFlush.js';

/** Writes a streamed answer to the caller. */
export class CallerStream {
  /** Aborted if the caller disconnects before its answer is complete. */
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

  /** Whether the caller may have received any byte. */
  get started(): boolean {
    return this.res.headersSent;
  }

  begin(status: number, headers: Record<string, string>): void {
    this.res.writeHead(status, headers);
  }

  /**
   * Writes events in one batch and ends the answer after the last ones.
   * Resolves when the response accepts more data.
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
   * Sends an error event and destroys the connection. Most clients would take a
   * clean end for the end of a complete answer.
   */
  abort(error: ApiError): void {
    const {res} = this;
    if (res.destroyed) return;
    res.write(`data: ${error.toBody()}\n\n`, () => res.destroy());
  }
}
