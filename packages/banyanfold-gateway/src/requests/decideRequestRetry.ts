import {decideRetry, type RetryDecision} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {RoutePolicy} from '../types.js';
import type {SentResult} from './responseRelay.js';

/** Attempts of one request that runners may reject without running it. */
const MAX_REJECTIONS = 6;

/** State of a request after an attempt that brought no final response. */
export interface RetryState {
  result: SentResult;
  attemptsMade: number;
  rejections: number;
  mayHaveRun: boolean;
  /** A part of a response was forwarded to the caller. */
  hasStarted: boolean;
  /** It is not certain which software version wrote the forwarded events. */
  isVersionUncertain: boolean;
  deadlineMs: number;
}

export interface RequestRetryDecision {
  shouldRetry: boolean;
  /** The decision and its reason, for the log. */
  decision: {kind: string; reason: string};
}

/** Whether requests of the route may run more than once. */
export function isRepeatable({kind, resumable}: RoutePolicy): boolean {
  return kind === 'idempotent' || resumable;
}

/**
 * Decides whether the retry policy of its route allows a request to be retried.
 * Whether the retry budget does is for {@link RequestPermits} to decide.
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
      budgetTokens: 1,
      firstByteSent: state.hasStarted && !route.resumable,
      allNeverStarted: !state.mayHaveRun,
      repeatable: isRepeatable(route),
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
  if (state.isVersionUncertain) {
    const reason = 'version-uncertain';
    return {shouldRetry: false, decision: {kind: 'stop', reason}};
  }
  return {shouldRetry: decision.kind !== 'stop', decision};
}
