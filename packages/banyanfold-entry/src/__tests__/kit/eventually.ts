import {expect} from 'vitest';

const TIMEOUT_MS = 30_000;
const INTERVAL_MS = 10;

/**
 * Polls `read` until the expectation holds. The long timeout keeps tests
 * independent of how long an operation takes.
 */
export const eventually = <T>(read: () => T) =>
  expect.poll(read, {timeout: TIMEOUT_MS, interval: INTERVAL_MS});
