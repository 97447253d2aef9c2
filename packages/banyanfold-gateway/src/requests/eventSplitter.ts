const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** Whole events, and the id of the last of them that has one. */
export interface CompleteEvents {
  bytes: Buffer;
  count: number;
  lastEventId?: string;
}

/**
 * Cuts an event stream after its last whole event. A runner may stop in the
 * middle of one; the caller would see a broken event joined with the next
 * runner's first, so only whole ones go on.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that isn't whole yet. */
  get pending(): Buffer {
    return this.rest;
  }

  /** @example splitter.push(Buffer.from('id: 1\ndata: a\n\n'))?.lastEventId */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.rest = bytes;
      return undefined;
    }
    this.rest = bytes.subarray(end);
    return describe(bytes.subarray(0, end));
  }
}

/** Offset after the last blank line; 0 when there is none. */
function endOfLastEvent(bytes: Buffer): number {
  let at = bytes.lastIndexOf(LINE_FEED);
  while (at > 0) {
    let before = at - 1;
    if (bytes[before] === CARRIAGE_RETURN) before -= 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
    at = bytes.lastIndexOf(LINE_FEED, at - 1);
  }
  return 0;
}

function describe(bytes: Buffer): CompleteEvents {
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
