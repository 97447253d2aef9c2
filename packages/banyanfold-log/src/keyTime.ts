import {validate, version} from 'uuid';

const UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;
const HEX = 16;

/** An idempotency key in its one spelling, and the time it was made. */
export interface TimedKey {
  key: string;
  /** By the clock of whoever made the key. */
  keyMs: number;
}

/**
 * Reads a UUIDv7; undefined when it is none. Upper case is the same key, so
 * it is folded to lower case: two spellings must not become two runs.
 *
 * @example parseTimedKey('0190d9a2-7b00-7000-8000-000000000000')?.keyMs
 */
export function parseTimedKey(text: string): TimedKey | undefined {
  if (!validate(text) || version(text) !== UUID_VERSION) return undefined;
  const key = text.toLowerCase();
  const timeHex = key.replaceAll('-', '').slice(0, TIME_HEX_DIGITS);
  return {key, keyMs: Number.parseInt(timeHex, HEX)};
}
