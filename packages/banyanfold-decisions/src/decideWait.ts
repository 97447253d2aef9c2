/** A request that waits for a copy of its model. */
export interface WaitView {
  /** Until its caller leaves. */
  leftMs: number;
  /** Until its deadline, if that is later; a caller that comes back has it. */
  deadlineLeftMs?: number;
  /** Until a copy serves; undefined when nobody has told. */
  copyInMs?: number;
}

export interface WaitOptions {
  /** A prompt takes this long to its first token where nothing queues. */
  firstTokenMs: number;
  minRetryAfterMs: number;
  /** Callers heed a time to come back up to this share of what they have left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_WAIT_OPTIONS: WaitOptions = {
  firstTokenMs: 100,
  minRetryAfterMs: 300,
  maxRetryAfterShare: 0.33,
};

export type WaitDecision =
  {kind: 'wait'} | {kind: 'refuse'; retryAfterMs: number};

/**
 * Whether a request waits for a copy of its model, or is refused at once because
 * the copy comes after its caller has given up.
 *
 * Answers the load of demand that moves to a model which nobody holds: its load
 * takes longer than callers of drafts wait, and all who asked in the first
 * second were held until their time was over, only to be refused then.
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
