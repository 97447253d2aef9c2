import {describe, expect, it} from 'vitest';
import {fullestWindow, type SentRequest} from '../retryRule.js';

const ALLOWANCE = {ratio: 0.5, slack: 1, windowMs: 10_000};

function requestAt(sentMs: number, retries: number): SentRequest {
  return {
    sentMs,
    arrivedMs: Array.from({length: retries + 1}, (_, i) => sentMs + i),
  };
}

describe('fullestWindow', () => {
  // Guards against a soak that doesn't see the budget exceeded.
  it.each([
    ['a window of its own', [requestAt(0, 3), requestAt(1, 0)], 3, 2],
    [
      'a window that the one before allows',
      [...[5, 6, 7, 8].map(ms => requestAt(ms, 0)), requestAt(10_004, 4)],
      4,
      3,
    ],
    [
      'a window that begins before its first retry, between two requests',
      [...[0, 1, 2, 3].map(ms => requestAt(ms, 0)), requestAt(9_999, 4)],
      4,
      3,
    ],
    [
      'retries that lie too far apart for one window',
      [requestAt(0, 1), requestAt(20_000, 1)],
      1,
      1.5,
    ],
    ['no retries', [requestAt(0, 0)], 0, 1],
  ])('counts %s', (_name, requests, retries, allowed) => {
    expect(fullestWindow(requests, ALLOWANCE)).toEqual({retries, allowed});
  });
});
