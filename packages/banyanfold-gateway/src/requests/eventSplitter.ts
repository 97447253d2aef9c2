const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** Longest beginning of a blank line: a line feed and a carriage return. */
const MAX_BLANK_LINE_PREFIX_BYTES = 2;

/** Complete events of a stream, and the last event id among them. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Events with an id. */
  count: number;
  /** Parts that end with a blank line: events and comments. */
  blockCount: number;
  lastEventId?: string;
}

/**
 * Splits an event stream into complete events. A runner may fail in the middle
 * of an event; if the fragment were forwarded, the caller would see it joined
 * with the first event of the runner that resumes the stream.
 */
export class EventSplitter {
  /** Chunks of the incomplete event; joined once, when it is complete. */
  private remainder: Buffer[] = [];
  /** Bytes of an event that is not complete yet. */
  pendingBytes = 0;

  /**
   * Adds a chunk and returns the events that it completes, if any.
   *
   * @example
   * splitter.push(Buffer.from('id: 1\ndata: a\n\n'))?.lastEventId // '1'
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const prefix = this.lastBytes(MAX_BLANK_LINE_PREFIX_BYTES);
    const end = endOfLastEvent(Buffer.concat([prefix, chunk])) - prefix.length;
    if (end <= 0) {
      this.remainder.push(chunk);
      this.pendingBytes += chunk.length;
      return undefined;
    }
    const events = Buffer.concat([...this.remainder, chunk.subarray(0, end)]);
    const rest = chunk.subarray(end);
    this.remainder = rest.length > 0 ? [rest] : [];
    this.pendingBytes = rest.length;
    return parseEvents(events);
  }

  private lastBytes(count: number): Buffer {
    const last = this.remainder.slice(-count);
    return Buffer.concat(last).subarray(-count);
  }
}

/** Offset after the last blank line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  let lineFeedAt = bytes.lastIndexOf(LINE_FEED);
  while (lineFeedAt > 0) {
    let before = lineFeedAt - 1;
    if (bytes[before] === CARRIAGE_RETURN) before -= 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return lineFeedAt + 1;
    lineFeedAt = bytes.lastIndexOf(LINE_FEED, lineFeedAt - 1);
  }
  return 0;
}

function parseEvents(bytes: Buffer): CompleteEvents {
  const lines = bytes.toString('latin1').split('\n');
  // What follows the last line feed is not a line.
  lines.pop();
  let lastEventId: string | undefined;
  let count = 0;
  let blockCount = 0;
  for (const line of lines) {
    if (line === '' || line === '\r') blockCount += 1;
    if (!line.startsWith(ID_FIELD)) continue;
    lastEventId = line.slice(ID_FIELD.length).trim();
    count += 1;
  }
  return {bytes, count, blockCount, lastEventId};
}
