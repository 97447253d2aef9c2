import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {EventSplitter} from '../requests/eventSplitter.js';
import {
  MAX_COMMENT_BYTES,
  MAX_COMMENTS,
  MAX_EVENT_BYTES,
  MAX_FRAMING_BYTES,
  MAX_FRAMING_EXCESS_BYTES,
  MAX_HEAD_BYTES,
  MAX_INTERIM_HEADS,
  ResponseLimits,
} from '../requests/responseLimits.js';

const MAX_BODY_BYTES = 100_000;
const PIECE_MS = 20;
const PIECE_BYTES = 3;
/** Longer than any part may take that arrives in pieces. */
const LONG_MS = 2_000;

let clock: VirtualClock;
let limits: ResponseLimits;

beforeEach(() => {
  clock = new VirtualClock();
  limits = new ResponseLimits(clock, {maxGatheredBytes: MAX_BODY_BYTES});
});

/** Returns the first limit that is exceeded while small pieces arrive. */
async function trickle(
  note: (bytes: number) => string | undefined,
  forMs = LONG_MS,
): Promise<string | undefined> {
  for (let atMs = 0; atMs <= forMs; atMs += PIECE_MS) {
    const limit = note(PIECE_BYTES);
    if (limit) return limit;
    await clock.advance(PIECE_MS);
  }
  return undefined;
}

function readHead(): void {
  limits.noteHead();
  limits.noteRead(200);
}

describe('ResponseLimits', () => {
  it('allows a head of the largest size, and no more', () => {
    expect(limits.noteRead(MAX_HEAD_BYTES)).toBeUndefined();
    expect(limits.noteRead(1)).toBe('head-bytes');
  });

  it('allows interim heads up to their limit', () => {
    for (let i = 0; i < MAX_INTERIM_HEADS; i++) {
      expect(limits.noteInterimHead()).toBeUndefined();
    }
    expect(limits.noteInterimHead()).toBe('interim-heads');
  });

  it('limits the time over which a head arrives', async () => {
    expect(await trickle(bytes => limits.noteRead(bytes))).toBe('head-time');
  });

  // Guards against runners that are given up while they read a prompt.
  it('allows a head that begins late, and one that stops for a while', async () => {
    await clock.advance(60_000);
    expect(limits.noteRead(100)).toBeUndefined();
    await clock.advance(60_000);
    limits.noteHead();
    expect(limits.noteRead(100)).toBeUndefined();
  });

  it('allows interim heads for as long as a runner works', async () => {
    for (let i = 0; i < MAX_INTERIM_HEADS; i++) {
      await clock.advance(5_000);
      expect(limits.noteInterimHead()).toBeUndefined();
      expect(limits.noteRead(30)).toBeUndefined();
    }
  });

  it('allows framing of the largest size, and no more', () => {
    readHead();
    expect(limits.noteRead(MAX_FRAMING_BYTES)).toBeUndefined();
    expect(limits.noteRead(1)).toBe('framing-bytes');
  });

  it('limits the time over which framing arrives', async () => {
    readHead();
    expect(await trickle(bytes => limits.noteRead(bytes))).toBe('framing-time');
  });

  // Guards against chunks of one byte, each of which costs a call.
  it('limits the framing of a body by the size of the body', () => {
    readHead();
    const chunks = MAX_FRAMING_EXCESS_BYTES / 4;
    expect(limits.noteBody(chunks)).toBeUndefined();
    expect(limits.noteRead(chunks * 6)).toBeUndefined();
    expect(limits.noteBody(1)).toBeUndefined();
    expect(limits.noteRead(6)).toBe('framing-bytes');
  });

  it('allows a body of the largest size, and no more', () => {
    readHead();
    expect(limits.noteBody(MAX_BODY_BYTES)).toBeUndefined();
    expect(limits.noteBody(1)).toBe('body-bytes');
  });

  it('limits the time over which a body arrives in small pieces', async () => {
    readHead();
    expect(await trickle(bytes => limits.noteBody(bytes))).toBe('body-time');
  });

  // Guards against whole answers that are given up on a slow link.
  it('allows a long body on a slow link', async () => {
    readHead();
    for (let i = 0; i < 100; i++) {
      expect(limits.noteBody(MAX_BODY_BYTES / 100)).toBeUndefined();
      await clock.advance(200);
    }
  });

  // Guards against answers that are given up because their link was cut.
  it('allows a body that stops for some seconds', async () => {
    readHead();
    expect(limits.noteBody(100)).toBeUndefined();
    await clock.advance(10_000);
    expect(limits.noteBody(100)).toBeUndefined();
    await clock.advance(PIECE_MS);
    expect(limits.noteBody(100)).toBeUndefined();
  });
});

describe('ResponseLimits, for a stream', () => {
  let splitter: EventSplitter;

  beforeEach(() => {
    splitter = new EventSplitter();
    readHead();
  });

  function push(text: string | Buffer): string | undefined {
    const chunk = Buffer.from(text);
    const complete = splitter.push(chunk);
    return limits.noteStream(chunk.length, splitter.pendingBytes, complete);
  }

  it('allows an event of the largest size, and no more', () => {
    const head = 'id: 1\ndata: ';
    expect(push(head.padEnd(MAX_EVENT_BYTES, 'x'))).toBeUndefined();
    expect(push('\n\n')).toBeUndefined();
    expect(push(head.padEnd(MAX_EVENT_BYTES, 'x'))).toBeUndefined();
    expect(push('x')).toBe('event-bytes');
  });

  it('limits the time over which an event arrives', async () => {
    push('id: 1\ndata: a\n\nid: 2\ndata: ');
    expect(await trickle(() => push('xxx'))).toBe('event-time');
  });

  it('allows events for as long as they follow each other', async () => {
    let id = 0;
    const next = () => push(`id: ${(id += 1)}\nda`) ?? push('ta: a\n\n');
    expect(await trickle(next, 30_000)).toBeUndefined();
  });

  it('limits comments between two events by their bytes', () => {
    const comment = `: ${'x'.repeat(1_020)}\n\n`;
    for (let bytes = 0; bytes < MAX_COMMENT_BYTES; bytes += comment.length) {
      expect(push(comment)).toBeUndefined();
    }
    expect(push(comment)).toBe('comment-bytes');
  });

  it('limits comments between two events by their number', () => {
    const comments = ': ping\n\n'.repeat(MAX_COMMENTS);
    expect(push(comments)).toBeUndefined();
    expect(push('id: 1\ndata: a\n\n')).toBeUndefined();
    expect(push(comments)).toBeUndefined();
    expect(push('\n\n')).toBe('comment-count');
  });
});
