import type {ServerResponse} from 'node:http';
import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {StreamBuffer} from '../attempts/streamBuffer.js';

const MAX_BYTES = 400;
/** 50 characters of three bytes each. */
const TEXT = '€'.repeat(50);

describe('StreamBuffer', () => {
  // Guards against a buffer that takes three times its limit in memory.
  it('counts the bytes of its frames, not their characters', () => {
    const buffer = new StreamBuffer({
      attemptId: 'a1',
      clock: new VirtualClock(),
      resumeWindowMs: 1_000,
      maxBytes: MAX_BYTES,
      writeHead: () => {},
      onAbandoned: () => {},
    });
    for (let seq = 1; seq <= 4; seq++) buffer.append(seq, TEXT);
    expect(buffer.byteLength()).toBeGreaterThan(TEXT.length * 3);
    expect(buffer.byteLength()).toBeLessThanOrEqual(MAX_BYTES);
    expect(buffer.attach({} as ServerResponse, 0)).toBe(false);
  });
});
