import {DEFAULT_ADMISSION_OPTIONS, type AdmissionOptions} from './options.js';
import type {
  AdmissionDecision,
  AdmissionRequest,
  AdmissionView,
} from './types.js';

/**
 * Decides whether an agent runs a request now, queues it or refuses it. A
 * request that cannot meet its first-token target is refused immediately, with
 * the time after which the queue will have drained far enough.
 *
 * @example decideAdmission(view, request, clock.nowMs()).kind // 'run'
 */
export function decideAdmission(
  view: AdmissionView,
  request: AdmissionRequest,
  nowMs: number,
  options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): AdmissionDecision {
  const waitMs = estimateWaitMs(view, request, nowMs);
  const firstTokenMs = request.firstTokenMs ?? view.firstTokenMs;
  const estimatedDelayMs = waitMs + firstTokenMs;
  const allowedMs = request.firstTokenBudgetMs * options.budgetTolerance;
  if (request.kvBytes > view.kvFreeBytes && view.running === 0) {
    return refuse('no-kv-memory', estimatedDelayMs, view.serviceTimeMs);
  }
  if (estimatedDelayMs > allowedMs) {
    return refuse('too-late', estimatedDelayMs, estimatedDelayMs - allowedMs);
  }
  if (canStart(view, request)) {
    return {kind: 'run', estimatedDelayMs, reason: 'free-slot'};
  }
  if (view.queue.length >= queueLimit(view, request, options)) {
    return refuse('busy', estimatedDelayMs, waitMs);
  }
  return {kind: 'queue', estimatedDelayMs, reason: `wait=${round(waitMs)}ms`};

  function refuse(
    code: 'busy' | 'too-late' | 'no-kv-memory',
    delayMs: number,
    drainMs: number,
  ): AdmissionDecision {
    const atLeastMs = Math.max(drainMs, options.minRetryAfterMs);
    return {
      kind: 'refuse',
      code,
      estimatedDelayMs: delayMs,
      retryAfterMs: Math.min(atLeastMs, options.maxRetryAfterMs),
      reason: `${code}: needs ${round(delayMs)}ms, has ${round(allowedMs)}ms`,
    };
  }
}

function round(valueMs: number): number {
  return Math.round(valueMs);
}

/**
 * Lower classes may fill only a part of the queue. Otherwise a burst of drafts
 * fills it, and a request of the best class is refused although it would run
 * first.
 */
function queueLimit(
  view: AdmissionView,
  request: AdmissionRequest,
  options: AdmissionOptions,
): number {
  if (request.priority === 0) return view.maxQueued;
  return Math.floor(view.maxQueued * options.lowerClassQueueShare);
}

function canStart(view: AdmissionView, request: AdmissionRequest): boolean {
  return (
    view.running < view.maxRunning &&
    request.kvBytes <= view.kvFreeBytes &&
    view.queue.length === 0
  );
}

/**
 * Time until a slot is free for this request, after the requests ahead of it.
 */
function estimateWaitMs(
  view: AdmissionView,
  request: AdmissionRequest,
  nowMs: number,
): number {
  if (canStart(view, request)) return 0;
  const deadlineMs = nowMs + request.firstTokenBudgetMs;
  const requestsAhead = view.queue.filter(
    queued =>
      queued.priority < request.priority ||
      (queued.priority === request.priority && queued.deadlineMs <= deadlineMs),
  ).length;
  const freeSlots = Math.max(0, view.maxRunning - view.running);
  const slotIntervalMs = view.serviceTimeMs / Math.max(1, view.maxRunning);
  const slotWaitMs =
    Math.max(0, requestsAhead + 1 - freeSlots) * slotIntervalMs;
  if (request.kvBytes <= view.kvFreeBytes) return slotWaitMs;
  const kvWaitMs = view.serviceTimeMs / Math.max(1, view.running);
  return Math.max(slotWaitMs, kvWaitMs);
}
