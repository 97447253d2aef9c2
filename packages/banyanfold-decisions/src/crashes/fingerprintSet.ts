/** Not part of any fingerprint. */
const SEPARATOR = '+';

/**
 * Returns the key of a set of fingerprints; the key of a single one is itself.
 *
 * @example
 * joinFingerprints(['b', 'a']) // 'a+b'
 */
export function joinFingerprints(fingerprints: Iterable<string>): string {
  return [...new Set(fingerprints)].sort().join(SEPARATOR);
}

/**
 * Returns the fingerprints of a key.
 *
 * @example
 * splitFingerprints('a+b') // ['a', 'b']
 */
export function splitFingerprints(key: string): string[] {
  return key.split(SEPARATOR);
}

/** Whether the key stands for several fingerprints. */
export function isCombination(key: string): boolean {
  return key.includes(SEPARATOR);
}
