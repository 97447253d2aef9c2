import {write, writeSync} from 'node:fs';
import {systemClock, type Clock} from './clock.js';

/** How lines are gathered before they are written. */
export interface LineWriterOptions {
  clock?: Clock;
  /** A line waits no longer than this. */
  maxWaitMs?: number;
  /** Gathered text longer than this is written at once. */
  maxChars?: number;
  /** Text that waits for a slow reader; lines beyond it are dropped. */
  maxWaitingChars?: number;
  /** Writes without blocking and calls `done` when it is over. */
  write?: (text: string, done: () => void) => void;
}

const DEFAULT_OPTIONS = {
  maxWaitMs: 10,
  maxChars: 32_768,
  // Some seconds of lines of a busy process, a few MB of its memory.
  maxWaitingChars: 2_000_000,
} as const;

const STDOUT_FD = 1;

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
    if (this.text.length + line.length > this.options.maxWaitingChars) {
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
    this.options.write(text, () => {
      this.isWriting = false;
      if (this.text.length >= this.options.maxChars || this.dropped > 0) {
        this.flush();
      }
    });
  }

  /**
   * Writes the rest before the process ends. What waits for a reader is left
   * out: the process would wait for it for good.
   */
  flushAtExit(): void {
    if (this.isWriting || this.text === '') return;
    try {
      writeSync(STDOUT_FD, this.takeText());
    } catch {
      // The reader is gone, and there is nowhere left to say so.
    }
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

/** A reader that is gone must not end the process: its lines are lost. */
function writeToStdout(text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    write(STDOUT_FD, bytes, offset, (error, written) => {
      const next = offset + written;
      if (error || next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
}
