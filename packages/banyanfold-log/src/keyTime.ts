import {validate, version} from 'uuid';

const UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;
const HEX = 16;

/** A normalized idempotency key and its creation time. */
export interface TimedKey {
  key: string;
  /** The creation time by the clock of the client that created the key. */
  keyMs: number;
}

/**
 * Parses a UUIDv7, or returns undefined for any other text. The key is
 * converted to lower case, so that two spellings of one key do not lead to two
 * runs.
 *
 * @example parseTimedKey('0190d9a2-7b00-7000-8000-000000000000')?.keyMs
 */
export function parseTimedKey(text: string): TimedKey | undefined {
  if (!validate(text) || version(text) !== UUID_VERSION) return undefined;
  const key = text.toLowerCase();
  const timeHex = key.replaceAll('-', '').slice(0, TIME_HEX_DIGITS);
  return {key, keyMs: Number.parseInt(timeHex, HEX)};
}
