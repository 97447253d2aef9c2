import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideWait} from '../decideWait.js';

describe('decideWait', () => {
  it.each([
    ['the copy comes in time', {leftMs: 5_000, copyInMs: 4_000}, 'wait'],
    ['nobody has told', {leftMs: 50}, 'wait'],
    [
      'the load outlasts the caller',
      {leftMs: 5_000, copyInMs: 5_800},
      'refuse',
    ],
    ['no time is left to read', {leftMs: 900, copyInMs: 850}, 'refuse'],
  ])('%s', (_name, view, kind) => {
    expect(decideWait(view).kind).toBe(kind);
  });

  it('never sends a caller away for longer than it heeds', () => {
    const spanMs = fc.integer({min: 1, max: 60_000});
    fc.assert(
      fc.property(spanMs, spanMs, (leftMs, copyInMs) => {
        const decision = decideWait({leftMs, copyInMs});
        if (decision.kind === 'wait') return;
        expect(decision.retryAfterMs).toBeLessThanOrEqual(leftMs / 3);
      }),
    );
  });

  it('refuses in the first moment those whom a load can not reach', () => {
    // Load: 40 requests a second for a model that comes after 5.8 s, from
    // callers who wait 5 s. Held, those of the first 0.8 s wait 5 s each for a
    // refusal; all others are answered either way.
    const loadMs = 5_800;
    let heldMs = 0;
    let answered = 0;
    for (let askedMs = 0; askedMs < 3_000; askedMs += 25) {
      const copyInMs = loadMs - askedMs;
      if (decideWait({leftMs: 5_000, copyInMs}).kind === 'refuse') continue;
      if (copyInMs > 5_000) heldMs += 5_000;
      else answered += 1;
    }
    expect(heldMs).toBe(0);
    expect(answered).toBe(84);
  });
});
