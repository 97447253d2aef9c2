import type {RoutingDecision} from '@banyanfold/decisions';
import type {Outcome} from '@banyanfold/protocol';
import {ApiError, type ApiErrorCode} from '../http/apiErrors.js';
import type {AttemptRefusal} from './attemptResponse.js';

const DEFAULT_RETRY_AFTER_MS = 1000;
const INVALID_REQUEST_STATUSES: ReadonlySet<number> = new Set([400, 413, 422]);

/** The result of the last attempt without an answer. */
export type LastFailure =
  | {kind: 'refused'; refusal: AttemptRefusal}
  | {kind: 'failed'; neverSent: boolean; reason: string};

type RouteRefusal = Extract<RoutingDecision, {kind: 'refuse'}>;

const ROUTE_ERRORS: Record<
  RouteRefusal['code'],
  {code: ApiErrorCode; message: string}
> = {
  'no-copy': {
    code: 'no_copy',
    message: 'no backend server holds it now; it is being loaded',
  },
  'all-busy': {
    code: 'all_busy',
    message: 'no backend server can answer in time now',
  },
  'no-runner': {
    code: 'no_runner',
    message: 'no backend server can be reached now',
  },
};

/** The error for a request that routing refused. */
export function routeRefusalError(decision: RouteRefusal): ApiError {
  const {code, message} = ROUTE_ERRORS[decision.code];
  return new ApiError(code, message, {retryAfterMs: decision.retryAfterMs});
}

/**
 * The error for a request that is not retried any further.
 *
 * @param refusal the routing refusal that prevented a further attempt, if any.
 * @param outcome whether any of its attempts may have run.
 */
export function finalError(
  failure: LastFailure | undefined,
  refusal: ApiError | undefined,
  outcome: Outcome,
): ApiError {
  if (!failure) return refusal ?? new ApiError('internal', 'nothing was tried');
  if (outcome === 'unknown') return unknownOutcomeError(failure);
  if (failure.kind === 'refused') return agentRefusalError(failure.refusal);
  const code =
    failure.reason === 'deadline' ? 'deadline_exceeded' : 'unreachable';
  return new ApiError(code, `not run: ${failure.reason}`, {
    retryAfterMs: refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
  });
}

function unknownOutcomeError(failure: LastFailure): ApiError {
  const reason =
    failure.kind === 'refused' ? failure.refusal.message : failure.reason;
  const code = reason === 'deadline' ? 'deadline_exceeded' : 'outcome_unknown';
  const message = `it may have run; no answer came back: ${reason}`;
  return new ApiError(code, message, {outcome: 'unknown'});
}

/** Whether an agent refused because the request itself is invalid. */
export function isInvalidRequestRefusal({status}: AttemptRefusal): boolean {
  return INVALID_REQUEST_STATUSES.has(status);
}

function agentRefusalError(refusal: AttemptRefusal): ApiError {
  const {message, code, retryAfterMs} = refusal;
  if (isInvalidRequestRefusal(refusal)) {
    return new ApiError('invalid_request', `${code}: ${message}`);
  }
  return new ApiError('agent_refused', `${code}: ${message}`, {
    retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
  });
}
