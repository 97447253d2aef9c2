import {write, writeSync} from 'node:fs';
import {sleep, systemClock, type Clock} from './clock.js';

/** Options for buffering and writing lines. */
export interface LineWriterOptions {
  clock?: Clock;
  /** Maximum time for which a line is buffered. */
  maxWaitMs?: number;
  /** Buffered text of this length is written at once. */
  maxChars?: number;
  /** Maximum text buffered for a slow reader; further lines are dropped. */
  maxPendingChars?: number;
  /** Maximum time for which `end` waits for the reader. */
  endTimeoutMs?: number;
  /** Writes without blocking and calls `done` on completion. */
  write?: (text: string, done: () => void) => void;
}

/**
 * Long enough for a slow reader to read several times, and a small part of the
 * seconds that a supervisor allows for a shutdown.
 */
export const DEFAULT_END_TIMEOUT_MS = 500;

const DEFAULT_OPTIONS = {
  endTimeoutMs: DEFAULT_END_TIMEOUT_MS,
  maxWaitMs: 10,
  maxChars: 32_768,
  // Holds several seconds of log lines of a busy process in a few MB.
  maxPendingChars: 2_000_000,
} as const;

const STDOUT_FD = 1;
const PIPE_FULL_CODE = 'EAGAIN';
/** Equals the buffering time, so that a full pipe causes no more wake-ups. */
const FULL_PIPE_RETRY_MS = 10;

/**
 * Buffers log lines and writes them in batches. Single writes took a tenth of an
 * agent's time under load.
 *
 * If the reader is slow or gone, the pipe fills up, and a blocking write to it
 * would stall all requests of the process. Writes are therefore asynchronous, one
 * at a time. While one is pending, lines are buffered up to a limit; further lines
 * are dropped and counted. The next write starts with a line that reports the
 * number of dropped lines.
 */
export class LineWriter {
  private text = '';
  private isFlushScheduled = false;
  private isWriting = false;
  private droppedLines = 0;
  private emptyCallbacks: Array<() => void> = [];
  private readonly options: Required<LineWriterOptions>;

  constructor(options: LineWriterOptions = {}) {
    this.options = {
      clock: systemClock,
      write: writeToStdout,
      ...DEFAULT_OPTIONS,
      ...options,
    };
  }

  add(line: string): void {
    if (this.text.length + line.length > this.options.maxPendingChars) {
      this.droppedLines += 1;
      return;
    }
    this.text += `${line}\n`;
    if (this.text.length >= this.options.maxChars) {
      this.flush();
      return;
    }
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.clock.setTimer(this.options.maxWaitMs, () => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  /** Starts writing the buffered lines, unless a write is pending. */
  flush(): void {
    if (this.isWriting || this.text === '') return;
    const text = this.takeText();
    this.isWriting = true;
    this.options.write(text, () => this.handleWritten());
  }

  /**
   * Writes the buffered lines before the process exits, or returns after
   * `endTimeoutMs`.
   *
   * A process that exits during a write loses the lines after it, including the
   * one that reports its shutdown.
   */
  async end(): Promise<void> {
    const {clock, endTimeoutMs} = this.options;
    await Promise.race([this.whenEmpty(), sleep(clock, endTimeoutMs)]);
  }

  /**
   * Writes the buffered lines of a process that exits without `end`. During a
   * pending write nothing is written, because the exit could block forever on a
   * reader that doesn't read.
   */
  flushAtExit(): void {
    if (this.isWriting || this.text === '') return;
    try {
      writeSync(STDOUT_FD, this.takeText());
    } catch {
      // The reader is gone, so the error can't be logged either.
    }
  }

  private get isEmpty(): boolean {
    return !this.isWriting && this.text === '';
  }

  private whenEmpty(): Promise<void> {
    this.flush();
    if (this.isEmpty) return Promise.resolve();
    return new Promise(resolve => this.emptyCallbacks.push(resolve));
  }

  private handleWritten(): void {
    this.isWriting = false;
    // The timer of lines that became due during the write has expired. Without
    // this flush they would wait for the next line, on an idle process forever.
    if (!this.isFlushScheduled || this.needsFlush) this.flush();
    if (!this.isEmpty) return;
    for (const callback of this.emptyCallbacks.splice(0)) callback();
  }

  private get needsFlush(): boolean {
    return (
      this.emptyCallbacks.length > 0 ||
      this.text.length >= this.options.maxChars ||
      this.droppedLines > 0
    );
  }

  private takeText(): string {
    const droppedLine =
      this.droppedLines > 0
        ? `event=log-lines-dropped lines=${this.droppedLines}\n`
        : '';
    const text = droppedLine + this.text;
    this.droppedLines = 0;
    this.text = '';
    return text;
  }
}

/**
 * Writes to standard output without blocking a thread. A full pipe accepts part
 * of the text or none of it, so the rest is retried. Otherwise lines would be lost
 * without being counted, and one of them would be truncated.
 */
function writeToStdout(text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    write(STDOUT_FD, bytes, offset, (error, written) => {
      if (error?.code === PIPE_FULL_CODE) {
        setTimeout(writeFrom, FULL_PIPE_RETRY_MS, offset);
        return;
      }
      // Any other error means that the reader is gone. It can't be reported, and
      // it must not end the process.
      const next = offset + written;
      if (error || next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
}
