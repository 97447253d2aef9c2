import {decideRetry, type RetryDecision} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {RoutePolicy} from '../types.js';
import type {AttemptResult} from './answerRelay.js';

/** Tries of one request that runners turned away without running it. */
const MAX_REJECTIONS = 6;

/** Where a request stands after a try that brought no answer. */
export interface TryState {
  result: AttemptResult;
  attemptsMade: number;
  rejections: number;
  mayHaveRun: boolean;
  /** A part of an answer went to the caller. */
  hasBegun: boolean;
  deadlineMs: number;
  budgetTokens: number;
}

export interface NextTry {
  goesOn: boolean;
  /** What was decided and why, for the log. */
  decision: {kind: string; reason: string};
}

/**
 * Whether a request is tried once more, by what may be repeated on its route and
 * by the budget that all requests of its service share. A runner that was never
 * reached got nothing, so that trying elsewhere takes nothing from the budget.
 */
export function decideNextTry(
  {clock, options, random}: GatewayContext,
  route: RoutePolicy,
  state: TryState,
): NextTry {
  const nowMs = clock.nowMs();
  const decision: RetryDecision = decideRetry(
    {
      attemptsMade: state.attemptsMade,
      budgetTokens: state.result.kind === 'unreached' ? 1 : state.budgetTokens,
      firstByteSent: state.hasBegun && !route.resumable,
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
    return {goesOn: false, decision: {kind: 'stop', reason}};
  }
  return {goesOn: decision.kind !== 'stop', decision};
}
