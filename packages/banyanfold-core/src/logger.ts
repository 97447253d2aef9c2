import './enableRoarr.js';
import {LineWriter} from './lineWriter.js';
import {Roarr, ROARR, type Message} from 'roarr';

export type LogFields = Record<
  string,
  string | number | boolean | null | undefined
>;

/** Logs each event as one line of key=value pairs. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Returns a logger that adds `fields` to each line. */
  child(fields: LogFields): Logger;
}

const NEEDS_QUOTES = /[\s"=]/;

function renderValue(value: string | number | boolean): string {
  const text = String(value);
  if (text === '') return '""';
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/**
 * Renders one event as key=value pairs; undefined and null are left out.
 *
 * @example renderLine({event: 'route', ms: 3}) // 'event=route ms=3'
 */
export function renderLine(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined || value === null) continue;
    parts.push(`${key}=${renderValue(value)}`);
  }
  return parts.join(' ');
}

function renderMessage(message: Message): string {
  const {level, ...context} = message.context as LogFields;
  return renderLine({
    time: new Date(message.time).toISOString(),
    level,
    event: message.message,
    ...context,
  });
}

ROARR.serializeMessage = renderMessage;
ROARR.write = () => {};

let output: LineWriter | undefined;

/**
 * Sends the log lines of the whole process to `write`, or in batches to standard
 * output. Daemons call it once at startup; earlier lines are discarded.
 */
export function startLogOutput(write?: (line: string) => void): void {
  if (write) {
    ROARR.write = write;
    return;
  }
  // Opening the stream makes the pipe non-blocking. A write to a full blocking
  // pipe blocks its thread, and an exit waits for all threads, so the process
  // would run until its supervisor kills it.
  void process.stdout;
  const writer = new LineWriter();
  output = writer;
  ROARR.write = line => writer.add(line);
  process.on('exit', () => writer.flushAtExit());
}

/** Waits until the log is written, or briefly if its reader is stuck. */
export async function endLogOutput(): Promise<void> {
  await output?.end();
}

/**
 * Creates a logger that writes through roarr.
 *
 * @example createLogger({process: 'entry'}).info('route', {agent: 'a1'})
 */
export function createLogger(base: LogFields = {}): Logger {
  const log = (level: string, event: string, fields: LogFields = {}): void => {
    const context: Record<string, string | number | boolean> = {};
    for (const [key, value] of Object.entries({level, ...base, ...fields})) {
      if (value !== undefined && value !== null) context[key] = value;
    }
    Roarr(context, event);
  };
  return {
    info: (event, fields) => log('info', event, fields),
    warn: (event, fields) => log('warn', event, fields),
    error: (event, fields) => log('error', event, fields),
    child: fields => createLogger({...base, ...fields}),
  };
}

/** A logger that stores its lines in memory, for tests and golden files. */
export class MemoryLogger implements Logger {
  constructor(
    readonly lines: string[] = [],
    private readonly base: LogFields = {},
  ) {}

  info(event: string, fields: LogFields = {}): void {
    this.add('info', event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.add('warn', event, fields);
  }

  error(event: string, fields: LogFields = {}): void {
    this.add('error', event, fields);
  }

  child(fields: LogFields): Logger {
    return new MemoryLogger(this.lines, {...this.base, ...fields});
  }

  private add(level: string, event: string, fields: LogFields): void {
    this.lines.push(renderLine({level, event, ...this.base, ...fields}));
  }
}
