import {decideRetry, type RetryDecision} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {RoutePolicy} from '../types.js';
import type {AttemptResult} from './responseRelay.js';

/** Tries of one request that runners turned away without running it. */
const MAX_REJECTIONS = 6;

/** Where a request stands after a try that brought no answer. */
export interface RetryState {
  result: AttemptResult;
  attemptsMade: number;
  rejections: number;
  mayHaveRun: boolean;
  /** A part of an answer went to the caller. */
  hasStarted: boolean;
  deadlineMs: number;
  budgetTokens: number;
}

export interface RequestRetryDecision {
  shouldRetry: boolean;
  /** What was decided and why, for the log. */
  decision: {kind: string; reason: string};
}

/**
 * Whether a request is tried once more, by what may be repeated on its route and
 * by the budget that all requests of its service share. A runner that was never
 * reached got nothing, so that trying elsewhere takes nothing from the budget.
 */
export function decideRequestRetry(
  {clock, options, random}: GatewayContext,
  route: RoutePolicy,
  state: RetryState,
): RequestRetryDecision {
  const nowMs = clock.nowMs();
  const decision: RetryDecision = decideRetry(
    {
      attemptsMade: state.attemptsMade,
      budgetTokens: state.result.kind === 'unreached' ? 1 : state.budgetTokens,
      firstByteSent: state.hasStarted && !route.resumable,
      allNeverStarted: !state.mayHaveRun,
      repeatable: route.kind === 'idempotent' || route.resumable,
      remainingBudgetMs: state.deadlineMs - nowMs,
    },
    nowMs,
    {
      maxAttempts: route.maxAttempts,
      baseDelayMs: 0,
      maxDelayMs: 0,
      minRemainingMs: options.minAttemptMs,
    },
    random,
  );
  if (state.rejections > MAX_REJECTIONS) {
    const reason = 'turned-away-too-often';
    return {shouldRetry: false, decision: {kind: 'stop', reason}};
  }
  return {shouldRetry: decision.kind !== 'stop', decision};
}
