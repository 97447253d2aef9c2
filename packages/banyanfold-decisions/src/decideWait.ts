import {MIN_RETRY_AFTER_MS} from './options.js';

/** A request that waits for a copy of its model. */
export interface WaitView {
  /** Time until the caller disconnects. */
  leftMs: number;
  /** Time until the deadline, if later; a caller that retries has this long. */
  deadlineLeftMs?: number;
  /** Time until a copy serves; undefined if it is unknown. */
  copyInMs?: number;
}

export interface WaitOptions {
  /** Time from dispatch to the first token at a runner without a queue. */
  firstTokenMs: number;
  minRetryAfterMs: number;
  /** Callers honour a Retry-After up to this share of their time left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_WAIT_OPTIONS: WaitOptions = {
  firstTokenMs: 100,
  minRetryAfterMs: MIN_RETRY_AFTER_MS,
  maxRetryAfterShare: 0.33,
};

export type WaitDecision =
  {kind: 'wait'} | {kind: 'refuse'; retryAfterMs: number};

/**
 * Decides whether a request waits for a copy of its model, or is refused
 * immediately because the copy will be ready only after the caller has left.
 *
 * Designed for demand that moves to a model without copies. Loading the model
 * takes longer than callers of drafts wait. Without this check, all requests of
 * the first second are held until their time is over and then refused.
 *
 * @example decideWait({leftMs: 5_000, copyInMs: 5_800}).kind // 'refuse'
 */
export function decideWait(
  {leftMs, deadlineLeftMs = leftMs, copyInMs}: WaitView,
  options: WaitOptions = DEFAULT_WAIT_OPTIONS,
): WaitDecision {
  if (copyInMs === undefined) return {kind: 'wait'};
  if (copyInMs + options.firstTokenMs <= leftMs) return {kind: 'wait'};
  const retryAfterMs = Math.min(
    Math.max(copyInMs, options.minRetryAfterMs),
    deadlineLeftMs * options.maxRetryAfterShare,
  );
  return {kind: 'refuse', retryAfterMs};
}
