const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** Complete events of a stream, and the last event id among them. */
export interface CompleteEvents {
  bytes: Buffer;
  count: number;
  lastEventId?: string;
}

/**
 * Splits an event stream into complete events. A runner may fail in the middle
 * of an event; if the fragment were forwarded, the caller would see it joined
 * with the first event of the runner that resumes the stream.
 */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get pending(): Buffer {
    return this.remainder;
  }

  /**
   * Adds a chunk and returns the events that it completes, if any.
   *
   * @example
   * splitter.push(Buffer.from('id: 1\ndata: a\n\n'))?.lastEventId // '1'
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.remainder = bytes;
      return undefined;
    }
    this.remainder = bytes.subarray(end);
    return parseEvents(bytes.subarray(0, end));
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
  let lastEventId: string | undefined;
  let count = 0;
  for (const line of lines) {
    if (!line.startsWith(ID_FIELD)) continue;
    lastEventId = line.slice(ID_FIELD.length).trim();
    count += 1;
  }
  return {bytes, count, lastEventId};
}
