import {write, writeSync} from 'node:fs';
import {sleep, systemClock, type Clock} from './clock.js';

/** How lines are gathered before they are written. */
export interface LineWriterOptions {
  clock?: Clock;
  /** A line waits no longer than this. */
  maxWaitMs?: number;
  /** Gathered text longer than this is written at once. */
  maxChars?: number;
  /** Text that waits for a slow reader; lines beyond it are dropped. */
  maxPendingChars?: number;
  /** How long the end of a process waits for the reader. */
  endTimeoutMs?: number;
  /** Writes without blocking and calls `done` when it is over. */
  write?: (text: string, done: () => void) => void;
}

/**
 * Reasoned, not measured: many turns of a reader that is only slow, and a small
 * part of the seconds that a supervisor gives a process to stop.
 */
export const DEFAULT_END_TIMEOUT_MS = 500;

const DEFAULT_OPTIONS = {
  endTimeoutMs: DEFAULT_END_TIMEOUT_MS,
  maxWaitMs: 10,
  maxChars: 32_768,
  // Some seconds of lines of a busy process, a few MB of its memory.
  maxPendingChars: 2_000_000,
} as const;

const STDOUT_FD = 1;
const PIPE_IS_FULL = 'EAGAIN';
/** As long as lines are gathered, so that a full pipe costs no more wake-ups. */
const FULL_PIPE_PAUSE_MS = 10;

/**
 * Gathers log lines and writes them together; writing each by itself took a
 * tenth of an agent's time under load.
 *
 * A reader that is slow or gone fills the pipe, and a write to a full pipe
 * blocks: all requests of the process would stand still with it. Writes happen
 * away from the loop, one at a time; while one waits, lines are gathered up to
 * a bound, and beyond it dropped and counted. The count is the first line that
 * goes out when the reader is back.
 */
export class LineWriter {
  private text = '';
  private isScheduled = false;
  private isWriting = false;
  private dropped = 0;
  private endWaiters: Array<() => void> = [];
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
      this.dropped += 1;
      return;
    }
    this.text += `${line}\n`;
    if (this.text.length >= this.options.maxChars) {
      this.flush();
      return;
    }
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.clock.setTimer(this.options.maxWaitMs, () => {
      this.isScheduled = false;
      this.flush();
    });
  }

  /** Hands over what is gathered, unless a write waits already. */
  flush(): void {
    if (this.isWriting || this.text === '') return;
    const text = this.takeText();
    this.isWriting = true;
    this.options.write(text, () => this.written());
  }

  /**
   * Writes what is gathered before the process ends, unless the reader takes too
   * long for it.
   *
   * A process that ends while a write is under way loses the lines after it,
   * among them the one that says that it stopped.
   */
  async end(): Promise<void> {
    const {clock, endTimeoutMs} = this.options;
    await Promise.race([this.whenEmpty(), sleep(clock, endTimeoutMs)]);
  }

  /**
   * Writes the rest of a process that ends without `end`. What waits for a
   * reader is left out: the process would wait for it for good.
   */
  flushAtExit(): void {
    if (this.isWriting || this.text === '') return;
    try {
      writeSync(STDOUT_FD, this.takeText());
    } catch {
      // The reader is gone, and there is nowhere left to say so.
    }
  }

  private get isEmpty(): boolean {
    return !this.isWriting && this.text === '';
  }

  private whenEmpty(): Promise<void> {
    this.flush();
    if (this.isEmpty) return Promise.resolve();
    return new Promise(resolve => this.endWaiters.push(resolve));
  }

  private written(): void {
    this.isWriting = false;
    // Lines whose turn came during the write have no timer left: without this
    // they would wait for the next line, on a quiet process for good.
    if (!this.isScheduled || this.isOverdue) this.flush();
    if (!this.isEmpty) return;
    for (const wake of this.endWaiters.splice(0)) wake();
  }

  private get isOverdue(): boolean {
    return (
      this.endWaiters.length > 0 ||
      this.text.length >= this.options.maxChars ||
      this.dropped > 0
    );
  }

  private takeText(): string {
    const count =
      this.dropped > 0 ? `event=log-lines-dropped lines=${this.dropped}\n` : '';
    const text = count + this.text;
    this.dropped = 0;
    this.text = '';
    return text;
  }
}

/**
 * Writes to standard output without ever blocking a thread. A full pipe takes
 * part of the text or none; the rest is tried again. Given up, the lines would be
 * lost without being counted, and one of them cut in the middle.
 */
function writeToStdout(text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    write(STDOUT_FD, bytes, offset, (error, written) => {
      if (error?.code === PIPE_IS_FULL) {
        setTimeout(writeFrom, FULL_PIPE_PAUSE_MS, offset);
        return;
      }
      // Any other error: the reader is gone, and there is nobody to tell. It
      // must not end the process.
      const next = offset + written;
      if (error || next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
}
