import type {SlidingWindow} from './slidingWindow.js';
import type {UsageLimit} from './usageLimit.js';

export interface SilentRateInput {
  limit: UsageLimit;
  /** Use up to the last snapshot; spread over the window if undefined. */
  knownUse?: SlidingWindow;
  /** Since when the last snapshot is too old. */
  fromMs: number;
  /** Remaining amount by the last snapshot. */
  left: number;
  /** Amount that entries have admitted between that snapshot and `fromMs`. */
  spent: number;
}

const STEPS = 16;
const MS_PER_SECOND = 1000;

/**
 * The rate that all entries together may keep from now on without passing the
 * limit in any window, while nobody tells what is left.
 *
 * What was used before leaves the window in its own time: after a burst that
 * used up the limit within seconds, the rate of the cap would pass the limit,
 * because nothing comes free until that burst leaves the window.
 *
 * @example
 * // Nothing was used before, so the rate of the cap can be kept.
 * silentRatePerSecond({
 *   limit: {ratePerSecond: 10, perWindow: 100, windowMs: 8_000},
 *   fromMs: 0, left: 100, spent: 0,
 * }) // 10
 */
export function silentRatePerSecond({
  limit: {ratePerSecond, perWindow, windowMs},
  knownUse,
  fromMs,
  left,
  spent,
}: SilentRateInput): number {
  let lowest = ratePerSecond;
  for (let step = 1; step <= STEPS; step++) {
    const afterMs = (windowMs * step) / STEPS;
    const usedBefore = knownUse
      ? knownUse.sumLeftAt(fromMs + afterMs)
      : (perWindow - left) * (1 - step / STEPS);
    const available = perWindow - usedBefore - spent;
    lowest = Math.min(lowest, (available * MS_PER_SECOND) / afterMs);
  }
  return Math.max(0, lowest);
}
