/** What an entry has seen of one runner's queue. */
export interface SendView {
  /** Own requests there without a first byte, no less urgent than this one. */
  pendingAhead: number;
  /** First bytes a second that came from there lately, for this entry. */
  firstBytesPerSecond: number;
  /** Until the caller gives up. */
  leftMs: number;
  /** Until the target passes; negative when it has. */
  targetLeftMs: number;
}

export interface SendOptions {
  /** Fewer pending than this are no queue: they are read side by side. */
  minPending: number;
  /**
   * Of the caller's time a wait may take this share. An answer after its
   * target is still worth something, and a caller that is refused comes back
   * only once: shares of 0.4 and less served fewer callers, because the pace of
   * a queue is known to an entry by few first bytes only.
   */
  maxWaitShare: number;
  minRetryAfterMs: number;
  /** Callers heed a time to come back up to this share of what they have left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_SEND_OPTIONS: SendOptions = {
  minPending: 8,
  maxWaitShare: 0.9,
  minRetryAfterMs: 300,
  maxRetryAfterShare: 0.3,
};

export type SendDecision =
  | {kind: 'send'; waitMs: number}
  | {kind: 'refuse'; waitMs: number; retryAfterMs: number};

const MS_PER_SECOND = 1000;

/**
 * Whether a request is sent to a runner that has a queue, or refused at once.
 *
 * Answers the load of one runner that holds the only copy of a model in demand:
 * its queue grows until all in it give up before their turn, and nobody is
 * served. With the queue kept short those that are sent are answered, and the
 * others learn at once when to come back.
 *
 * @example decideSend({pendingAhead: 9, firstBytesPerSecond: 1,
 *   leftMs: 6000, targetLeftMs: 800}).kind // 'refuse'
 */
export function decideSend(
  view: SendView,
  options: SendOptions = DEFAULT_SEND_OPTIONS,
): SendDecision {
  const {leftMs, targetLeftMs} = view;
  const waitMs = waitOf(view, options);
  const allowedMs = Math.max(targetLeftMs, leftMs * options.maxWaitShare);
  if (waitMs <= allowedMs) return {kind: 'send', waitMs};
  const retryAfterMs = Math.min(
    Math.max(waitMs - allowedMs, options.minRetryAfterMs),
    leftMs * options.maxRetryAfterShare,
  );
  return {kind: 'refuse', waitMs, retryAfterMs};
}

/** Until the first byte, by how fast first bytes come from there. */
function waitOf(view: SendView, options: SendOptions): number {
  const {pendingAhead, firstBytesPerSecond} = view;
  if (pendingAhead < options.minPending) return 0;
  return (pendingAhead * MS_PER_SECOND) / Math.max(firstBytesPerSecond, 1);
}
