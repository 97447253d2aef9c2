import {DEFAULT_QUEUE_OPTIONS, type QueueOptions} from './options.js';
import type {QueueDecision, QueuedRequest} from './types.js';

/**
 * Picks the request to run next: by class, then by earliest deadline. One of
 * `agedEvery` dispatches goes to the lowest class that waits, so that no class
 * starves. Requests that can no longer meet their deadline are returned, so
 * that they are refused immediately.
 *
 * @param dispatchCount dispatches made so far; by default the milliseconds of
 * the clock, which give the lowest class the same share.
 * @example
 * const {next, tooLate} = pickNext(queue, clock.nowMs(), options, count);
 */
export function pickNext(
  queue: readonly QueuedRequest[],
  nowMs: number,
  options: QueueOptions = DEFAULT_QUEUE_OPTIONS,
  dispatchCount: number = Math.floor(nowMs),
): QueueDecision {
  const tooLate: QueuedRequest[] = [];
  const inTime: QueuedRequest[] = [];
  for (const request of queue) {
    const firstTokenMs = request.firstTokenMs ?? options.firstTokenMs;
    const isLate = request.deadlineMs < nowMs + firstTokenMs;
    (isLate ? tooLate : inTime).push(request);
  }
  const startable = inTime.filter(
    ({kvBytes}) => kvBytes <= options.kvFreeBytes,
  );
  const isAgedTurn =
    dispatchCount % options.agedEvery === options.agedEvery - 1;
  const compare = isAgedTurn ? byLowestClass : byClass;
  const next = startable.reduce<QueuedRequest | undefined>(
    (best, request) => (!best || compare(request, best) < 0 ? request : best),
    undefined,
  );
  return {
    next,
    tooLate,
    retryAfterMs: drainMs(inTime.length, options),
    reason: reasonOf(next, inTime.length, isAgedTurn),
  };
}

function byClass(a: QueuedRequest, b: QueuedRequest): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  return byDeadline(a, b);
}

function byLowestClass(a: QueuedRequest, b: QueuedRequest): number {
  if (a.priority !== b.priority) return b.priority - a.priority;
  return byDeadline(a, b);
}

function byDeadline(a: QueuedRequest, b: QueuedRequest): number {
  if (a.deadlineMs !== b.deadlineMs) return a.deadlineMs - b.deadlineMs;
  return a.attemptId < b.attemptId ? -1 : 1;
}

function drainMs(waiting: number, options: QueueOptions): number {
  const queueMs = (waiting + 1) * options.dispatchIntervalMs;
  const atLeastMs = Math.max(queueMs, options.minRetryAfterMs);
  return Math.min(atLeastMs, options.maxRetryAfterMs);
}

function reasonOf(
  next: QueuedRequest | undefined,
  waiting: number,
  isAgedTurn: boolean,
): string {
  if (next) return isAgedTurn ? 'aged-share' : 'class-then-deadline';
  return waiting === 0 ? 'nothing-waits' : 'no-kv-memory';
}
