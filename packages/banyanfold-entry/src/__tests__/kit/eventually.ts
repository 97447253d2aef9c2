import {expect} from 'vitest';

const TIMEOUT_MS = 30_000;
const INTERVAL_MS = 10;

/** Waits for something without a word on how long it takes. */
export const eventually = <T>(read: () => T) =>
  expect.poll(read, {timeout: TIMEOUT_MS, interval: INTERVAL_MS});
