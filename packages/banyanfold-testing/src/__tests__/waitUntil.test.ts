import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {waitUntil} from '../waitUntil.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.useRealTimers();
});

// Guards against a test that ends at its own limit without a word on what it
// was waiting for.
it('names what it still waits for', async () => {
  const warn = vi.spyOn(console, 'warn').mockImplementation(() => {});
  let isReady = false;
  const waiting = waitUntil('ready', () => isReady);
  await vi.advanceTimersByTimeAsync(21_000);
  expect(warn.mock.calls).toEqual([
    ['still waiting: ready'],
    ['still waiting: ready'],
  ]);
  isReady = true;
  await vi.advanceTimersByTimeAsync(100);
  await waiting;
});
