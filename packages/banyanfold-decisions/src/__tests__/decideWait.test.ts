import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideWait} from '../decideWait.js';

describe('decideWait', () => {
  it.each([
    ['the copy comes in time', {leftMs: 5_000, copyInMs: 4_000}, 'wait'],
    ['the time of the copy is unknown', {leftMs: 50}, 'wait'],
    [
      'the load outlasts the caller',
      {leftMs: 5_000, copyInMs: 5_800},
      'refuse',
    ],
    [
      'no time is left to read the prompt',
      {leftMs: 900, copyInMs: 850},
      'refuse',
    ],
  ])('%s', (_name, view, kind) => {
    expect(decideWait(view).kind).toBe(kind);
  });

  it('never returns a retry time that callers would not honour', () => {
    const spanMs = fc.integer({min: 1, max: 60_000});
    fc.assert(
      fc.property(spanMs, spanMs, (leftMs, copyInMs) => {
        const decision = decideWait({leftMs, copyInMs});
        if (decision.kind === 'wait') return;
        expect(decision.retryAfterMs).toBeLessThanOrEqual(leftMs / 3);
      }),
    );
  });

  it('immediately refuses callers that a load cannot reach in time', () => {
    // 40 requests per second arrive for a model that is ready after 5.8 s, from
    // callers that wait 5 s. Without refusals, those of the first 0.8 s wait 5
    // s each and are then refused; all others are answered either way.
    const loadMs = 5_800;
    let heldMs = 0;
    let answered = 0;
    for (let requestedMs = 0; requestedMs < 3_000; requestedMs += 25) {
      const copyInMs = loadMs - requestedMs;
      if (decideWait({leftMs: 5_000, copyInMs}).kind === 'refuse') continue;
      if (copyInMs > 5_000) heldMs += 5_000;
      else answered += 1;
    }
    expect(heldMs).toBe(0);
    expect(answered).toBe(84);
  });
});
