import {DEFAULT_RETRY_OPTIONS, type RetryOptions} from './options.js';
import type {Random, RetryDecision, RetryView} from './types.js';

type StopRule = (view: RetryView, options: RetryOptions) => boolean;

/** What ends an attempt's retries, in the order in which they are tried. */
const STOP_RULES: Array<[string, StopRule]> = [
  ['first-byte-sent', view => view.firstByteSent],
  ['may-have-started', view => !view.allNeverStarted && !view.repeatable],
  [
    'attempts-spent',
    (view, options) => view.attemptsMade >= options.maxAttempts,
  ],
  ['retry-budget-spent', view => view.budgetTokens < 1],
  [
    'no-time-left',
    (view, options) => view.remainingBudgetMs < options.minRemainingMs,
  ],
];

/**
 * Whether a request whose attempt failed is tried again, and after how long.
 * The delay has full jitter, so that requests which failed together do not
 * come back together.
 *
 * @example decideRetry(view, clock.nowMs(), options, random).kind // 'retry'
 */
export function decideRetry(
  view: RetryView,
  _nowMs: number,
  options: RetryOptions = DEFAULT_RETRY_OPTIONS,
  random: Random = () => 0,
): RetryDecision {
  const stop = STOP_RULES.find(([, test]) => test(view, options));
  if (stop) return {kind: 'stop', reason: stop[0]};
  const backoffMs =
    options.baseDelayMs * 2 ** Math.max(0, view.attemptsMade - 1);
  const spareMs = view.remainingBudgetMs - options.minRemainingMs;
  const ceilingMs = Math.min(backoffMs, options.maxDelayMs, spareMs);
  return {
    kind: 'retry',
    delayMs: random() * ceilingMs,
    reason: view.allNeverStarted ? 'never-started' : 'repeatable',
  };
}
