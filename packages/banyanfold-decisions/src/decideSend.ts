import {MIN_RETRY_AFTER_MS} from './options.js';

/** State of a runner's queue, and the time that a request has left. */
export interface SendView {
  /** Work of all entries at the runner that is at least as urgent. */
  workAhead: number;
  /** Work per second that the runner completes at its usual speed. */
  workPerSecond: number;
  /** Speed of its machine at present; 1, the default, is as usual. */
  speed?: number;
  /** Requests of all entries at the runner; `slots` of them run at once. */
  openRequests?: number;
  slots?: number;
  /** Time until the caller disconnects. */
  leftMs: number;
  /** Time until the deadline, if later; a caller that retries has this long. */
  deadlineLeftMs?: number;
  /** Time until the target is missed; negative after that. */
  targetLeftMs: number;
}

export interface SendOptions {
  /** Less work than this, two long prompts, does not count as a queue. */
  minQueuedWork: number;
  /**
   * Share of the remaining time of the caller that the wait may take; the rest
   * is for the stream. A longer wait than the target is accepted up to this
   * share, because a late answer still has value and a refused caller retries
   * only once.
   */
  maxWaitShare: number;
  /** Time that a request occupies its slot, in ms; streams take 1 to 3 s. */
  runDurationMs: number;
  minRetryAfterMs: number;
  /** Callers honour a Retry-After up to this share of their time left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_SEND_OPTIONS: SendOptions = {
  minQueuedWork: 20,
  maxWaitShare: 0.7,
  runDurationMs: 2_000,
  minRetryAfterMs: MIN_RETRY_AFTER_MS,
  maxRetryAfterShare: 0.3,
};

export type SendDecision =
  | {kind: 'send'; waitMs: number}
  | {kind: 'refuse'; waitMs: number; retryAfterMs: number};

const MS_PER_SECOND = 1000;

/**
 * Decides whether a request is sent to a runner that has a queue, or is refused
 * immediately.
 *
 * Designed for a runner that holds the only copy of a model in demand. Without
 * refusals its queue grows until all callers in it leave before their turn, and
 * none is served. With a short queue, the requests that are sent get an answer
 * and the other callers learn immediately when to retry.
 *
 * @example decideSend({workAhead: 400, workPerSecond: 40,
 *   leftMs: 6000, targetLeftMs: 800}).kind // 'refuse'
 */
export function decideSend(
  view: SendView,
  options: SendOptions = DEFAULT_SEND_OPTIONS,
): SendDecision {
  const {leftMs, deadlineLeftMs = leftMs, targetLeftMs} = view;
  const waitMs = estimateWaitMs(view, options);
  const allowedMs = Math.max(targetLeftMs, leftMs * options.maxWaitShare);
  if (waitMs <= allowedMs) return {kind: 'send', waitMs};
  const retryAfterMs = Math.min(
    Math.max(waitMs - allowedMs, options.minRetryAfterMs),
    deadlineLeftMs * options.maxRetryAfterShare,
  );
  return {kind: 'refuse', waitMs, retryAfterMs};
}

/**
 * Time to the first byte: until the runner has read the work ahead, or until a
 * slot is free, whichever is later.
 */
function estimateWaitMs(view: SendView, options: SendOptions): number {
  return Math.max(prefillWaitMs(view, options), slotWaitMs(view, options));
}

function prefillWaitMs(view: SendView, options: SendOptions): number {
  const {workAhead, speed = 1} = view;
  const workPerSecond = view.workPerSecond * speed;
  if (workAhead < options.minQueuedWork) return 0;
  return (workAhead * MS_PER_SECOND) / Math.max(workPerSecond, 1);
}

function slotWaitMs(view: SendView, options: SendOptions): number {
  const {openRequests = 0, slots = Number.POSITIVE_INFINITY, speed = 1} = view;
  const runDurationMs = options.runDurationMs / speed;
  return (Math.max(0, openRequests - slots) / slots) * runDurationMs;
}
