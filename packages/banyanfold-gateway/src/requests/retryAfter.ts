/** Less than this, in ms, and nothing has changed when a caller is back. */
export const MIN_RETRY_AFTER_MS = 300;
/** Callers heed a time to come back up to a third of what they have left. */
const HEEDED_SHARE = 0.32;
/** The time of an unload, a load and the first prompts. */
const CHANGE_MS = 3_000;

/**
 * When a caller is to come back whom nothing could take. A runner that is full or
 * a model without a copy takes seconds to change, and callers come back once: sent
 * back for less they would be refused for good. Half of the time is sure; the rest
 * keeps those that are refused together apart.
 *
 * @param leftMs until the caller's deadline.
 * @example chooseRetryAfterMs(12_000, () => 1) // 3000
 */
export function chooseRetryAfterMs(
  leftMs: number,
  random: () => number,
): number {
  const heededMs = Math.min(leftMs * HEEDED_SHARE, CHANGE_MS);
  return Math.max(MIN_RETRY_AFTER_MS, (heededMs * (1 + random())) / 2);
}
