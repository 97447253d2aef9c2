import {writeSync} from 'node:fs';
import {systemClock, type Clock} from './clock.js';

/** How lines are gathered before they are written. */
export interface LineWriterOptions {
  clock?: Clock;
  /** A line waits no longer than this. */
  maxWaitMs?: number;
  /** Gathered text longer than this is written at once. */
  maxChars?: number;
  write?: (text: string) => void;
}

const DEFAULT_OPTIONS = {
  maxWaitMs: 10,
  maxChars: 32_768,
} as const;

const STDOUT_FD = 1;

/**
 * Gathers log lines and writes them together. Writing to a pipe blocks the
 * loop for each call; under load that was a tenth of an agent's time. What is
 * gathered is written at the process's exit as well, so only a kill that no
 * program can see loses the last few milliseconds of lines.
 */
export class LineWriter {
  private text = '';
  private isScheduled = false;
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

  /** Writes what is gathered, now. */
  flush(): void {
    if (this.text === '') return;
    const text = this.text;
    this.text = '';
    this.options.write(text);
  }
}

/** A reader that is gone or slow must not end the process: lines are lost. */
function writeToStdout(text: string): void {
  try {
    writeSync(STDOUT_FD, text);
  } catch {
    process.stdout.write(text);
  }
}
