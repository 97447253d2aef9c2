import {once} from 'node:events';
import {Readable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {readBody, readJsonBody} from '../readBody.js';

const MAX_BYTES = 10;
const TIMEOUT_MS = 100;

const clock = new VirtualClock();
const limits = {clock, maxBytes: MAX_BYTES, timeoutMs: TIMEOUT_MS};

describe('readBody', () => {
  it('returns a body of the largest size', async () => {
    const body = Readable.from([Buffer.alloc(4), Buffer.alloc(6)]);
    expect(await readBody(body, limits)).toHaveLength(MAX_BYTES);
  });

  // Guards against a process whose memory a peer fills.
  it('gives up a body that is longer, and closes its connection', async () => {
    const body = Readable.from([Buffer.alloc(4), Buffer.alloc(7)]);
    await expect(readBody(body, limits)).rejects.toMatchObject({
      limit: 'bytes',
    });
    expect(body.destroyed).toBe(true);
  });

  // Guards against a call that never ends, as some bytes always arrive.
  it('gives up a body that takes longer, and closes its connection', async () => {
    const body = new Readable({read: () => {}});
    body.push(Buffer.alloc(1));
    const failed = expect(readBody(body, limits)).rejects.toMatchObject({
      limit: 'time',
    });
    const closed = once(body, 'close').catch(() => {});
    await clock.advance(TIMEOUT_MS);
    await failed;
    await closed;
    expect(body.destroyed).toBe(true);
  });

  it('fails if the body breaks off', async () => {
    const body = new Readable({read: () => {}});
    const failed = expect(readBody(body, limits)).rejects.toThrow('reset');
    body.destroy(new Error('reset'));
    await failed;
  });
});

describe('readJsonBody', () => {
  it('parses a body', async () => {
    const body = Readable.from([Buffer.from('{"a":'), Buffer.from('1}')]);
    expect(await readJsonBody(body, limits)).toEqual({a: 1});
  });
});
