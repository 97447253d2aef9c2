import {describe, expect, it} from 'vitest';
import {LoadRate} from '../placement/loadRate.js';

describe('LoadRate', () => {
  it('allows the rate over a sliding window', () => {
    const rate = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) rate.note(i * 100);
    expect(rate.left(2, 1_000)).toBe(0);
    expect(rate.left(2, 5_050)).toBe(1);
  });

  it('goes on for the next holder with what the one before began', () => {
    // The weight store would slow all loads down: a holder begins as many as
    // are allowed and is replaced, and the next one, which has begun none, does
    // the same within the same window.
    const former = new LoadRate(5_000, 0);
    for (let i = 0; i < 10; i++) former.note(0);
    const next = new LoadRate(5_000, 0);
    next.learn(former.agesMs(1_000), 70_000);
    expect(next.left(2, 70_100)).toBe(0);
    expect(next.left(2, 74_100)).toBe(10);
  });

  it('begins nothing in a process that has just started, until it has heard', () => {
    // The store would slow all loads down: a process is stopped and started and
    // holds the lease at once, with the loads of the one before still counting.
    const rate = new LoadRate(5_000, 5_000);
    expect(rate.left(2, 100)).toBe(0);
    expect(rate.left(2, 5_000)).toBe(10);
    const told = new LoadRate(5_000, 5_000);
    told.learn([1_000, 2_000], 100);
    expect(told.left(2, 200)).toBe(8);
  });
});
