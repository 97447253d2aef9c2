import {DEFAULT_RETRY_OPTIONS, type RetryOptions} from './options.js';
import type {Random, RetryDecision, RetryView} from './types.js';

type StopRule = (view: RetryView, options: RetryOptions) => boolean;

/** Reasons not to retry, in the order in which they are checked. */
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
 * Decides whether a request whose attempt failed is retried, and after which
 * delay. The delay has full jitter, so that requests that failed together are
 * not retried together.
 *
 * @example decideRetry(view, clock.nowMs(), options, random).kind // 'retry'
 */
export function decideRetry(
  view: RetryView,
  _nowMs: number,
  options: RetryOptions = DEFAULT_RETRY_OPTIONS,
  random: Random = () => 0,
): RetryDecision {
  const stopRule = STOP_RULES.find(([, stops]) => stops(view, options));
  if (stopRule) return {kind: 'stop', reason: stopRule[0]};
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
