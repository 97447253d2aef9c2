import {describe, expect, it} from 'vitest';
import {LoadRate} from '../placement/loadRate.js';

describe('LoadRate', () => {
  it('allows the rate over a sliding window', () => {
    const rate = new LoadRate(5_000);
    for (let i = 0; i < 10; i++) rate.note(i * 100);
    expect(rate.left(2, 1_000)).toBe(0);
    expect(rate.left(2, 5_050)).toBe(1);
  });

  it('goes on for the next holder with what the one before began', () => {
    // The weight store would slow all loads down: a holder begins as many as
    // are allowed and is replaced, and the next one, which has begun none, does
    // the same within the same window.
    const former = new LoadRate(5_000);
    for (let i = 0; i < 10; i++) former.note(0);
    const next = new LoadRate(5_000);
    next.learn(former.agesMs(1_000), 70_000);
    expect(next.left(2, 70_100)).toBe(0);
    expect(next.left(2, 74_100)).toBe(10);
  });
});
