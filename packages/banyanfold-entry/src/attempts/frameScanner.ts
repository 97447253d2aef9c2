const EVENT_END = Buffer.from('\n\n');
const DONE_DATA = Buffer.from('data: [DONE]\n\n');
const LINE_FEED = 0x0a;
const COLON = 0x3a;
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;
const RADIX = 10;

/** Why a stream can't be read any further. */
export type FrameFault = 'gap' | 'malformed' | 'too-long';

export interface ScanResult {
  /** Events to forward, in order and without their id lines. */
  events: Buffer[];
  fault: FrameFault | undefined;
  /** Events of another attempt or already forwarded. */
  dropped: number;
}

export interface FrameScannerOptions {
  attemptId: string;
  maxEventBytes: number;
}

/**
 * Extracts one attempt's server-sent events without parsing their JSON.
 *
 * A stream can contain events of another attempt, repeat events after a resume,
 * or miss an event. Forwarding it as is would give the caller a wrong or
 * incomplete answer that looks complete. Each event carries an id of the form
 * `attemptId/seq`: foreign and repeated events are dropped, and a gap is a
 * fault.
 */
export class FrameScanner {
  /** The sequence number of the last event forwarded. */
  lastSeq = 0;
  /** Whether the end marker (`[DONE]`) was forwarded. */
  done = false;
  private partialEvent: Buffer = Buffer.alloc(0);
  private readonly ownIdPrefix: Buffer;

  constructor(private readonly options: FrameScannerOptions) {
    this.ownIdPrefix = Buffer.from(`id: ${options.attemptId}/`);
  }

  /** Discards a partial event before a resumed stream is read. */
  reset(): void {
    this.partialEvent = Buffer.alloc(0);
  }

  /** Scans the next chunk; a partial event is kept until it is complete. */
  scan(chunk: Buffer): ScanResult {
    const result: ScanResult = {events: [], fault: undefined, dropped: 0};
    const data =
      this.partialEvent.length > 0
        ? Buffer.concat([this.partialEvent, chunk])
        : chunk;
    let start = 0;
    while (!this.done && result.fault === undefined) {
      const end = data.indexOf(EVENT_END, start);
      if (end < 0) break;
      this.scanEvent(data.subarray(start, end + EVENT_END.length), result);
      start = end + EVENT_END.length;
    }
    this.partialEvent = data.subarray(start);
    if (this.partialEvent.length > this.options.maxEventBytes) {
      result.fault = 'too-long';
    }
    return result;
  }

  private scanEvent(event: Buffer, result: ScanResult): void {
    if (event[0] === COLON) return;
    if (!bufferStartsWith(event, this.ownIdPrefix)) {
      if (bufferStartsWith(event, ID_FIELD)) result.dropped++;
      else result.fault = 'malformed';
      return;
    }
    const lineEnd = event.indexOf(LINE_FEED, this.ownIdPrefix.length);
    const seq = parseDecimal(event, this.ownIdPrefix.length, lineEnd);
    if (seq === undefined) {
      result.fault = 'malformed';
    } else if (seq <= this.lastSeq) {
      result.dropped++;
    } else if (seq > this.lastSeq + 1) {
      result.fault = 'gap';
    } else {
      this.lastSeq = seq;
      const slice = event.subarray(lineEnd + 1);
      this.done = slice.equals(DONE_DATA);
      result.events.push(slice);
    }
  }
}

const ID_FIELD = Buffer.from('id: ');

function bufferStartsWith(data: Buffer, prefix: Buffer): boolean {
  if (data.length < prefix.length) return false;
  return data.compare(prefix, 0, prefix.length, 0, prefix.length) === 0;
}

function parseDecimal(
  data: Buffer,
  start: number,
  end: number,
): number | undefined {
  if (end <= start) return undefined;
  let value = 0;
  for (let i = start; i < end; i++) {
    const byte = data[i]!;
    if (byte < DIGIT_ZERO || byte > DIGIT_NINE) return undefined;
    value = value * RADIX + (byte - DIGIT_ZERO);
  }
  return value;
}
