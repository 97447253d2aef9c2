import {MIN_RETRY_AFTER_MS} from '@banyanfold/decisions';

/** No refusal is known to last longer than a quarantine. */
const MAX_RETRY_AFTER_MS = 3_600_000;
const MS_PER_SECOND = 1000;
/** Time over which callers return that were refused during one pause. */
const RETRY_SPREAD_MS = 300;
/** Callers accept a retry delay of up to a third of their remaining time. */
const MAX_WAIT_SHARE = 0.32;
/** Time for an unload, a load and the first prompts of a new copy. */
const COPY_CHANGE_MS = 3_000;

/**
 * Chooses the retry delay in ms for a caller whose request no runner could
 * take. A full runner or a model without a copy takes seconds to change, and
 * callers retry only once, so a shorter delay would end in a final refusal.
 * Equal jitter spreads the retries of callers that are refused together.
 *
 * @param leftMs time until the caller's deadline.
 * @param random uniform in [0, 1).
 * @example chooseRetryAfterMs(12_000, () => 1) // 3000
 */
export function chooseRetryAfterMs(
  leftMs: number,
  random: () => number,
): number {
  const maxMs = Math.min(leftMs * MAX_WAIT_SHARE, COPY_CHANGE_MS);
  return Math.max(MIN_RETRY_AFTER_MS, (maxMs * (1 + random())) / 2);
}

/**
 * Returns the retry delay in ms for a caller whose runners are paused. It isn't
 * shorter than the pause, and spreads the retries of callers that are refused
 * during the same pause.
 *
 * @param pauseMs time until a runner takes requests again.
 * @param random uniform in [0, 1).
 * @example retryAfterPauseMs(3_000, () => 0.5) // 3150
 */
export function retryAfterPauseMs(
  pauseMs: number,
  random: () => number,
): number {
  const delayMs = Math.max(pauseMs, MIN_RETRY_AFTER_MS);
  return delayMs + random() * RETRY_SPREAD_MS;
}

/**
 * Formats a retry delay for the header of a response, in seconds. A delay that
 * no refusal can mean is replaced by the nearest one that is possible, because
 * a caller that is told to return before now returns at once.
 *
 * @example formatRetryAfter(2_870) // '2.87'
 */
export function formatRetryAfter(retryAfterMs: number): string {
  const knownMs = Number.isNaN(retryAfterMs) ? 0 : retryAfterMs;
  const atLeastMs = Math.max(knownMs, MIN_RETRY_AFTER_MS);
  const delayMs = Math.min(atLeastMs, MAX_RETRY_AFTER_MS);
  return (delayMs / MS_PER_SECOND).toFixed(2);
}
