/** What an entry has seen of one runner's queue. */
export interface SendView {
  /** Own requests there without a first byte, no less urgent than this one. */
  pendingAhead: number;
  /** First bytes a second that came from there lately, for this entry. */
  firstBytesPerSecond: number;
  /** Own work open there, and how much of it ends a second. */
  openWork: number;
  doneWorkPerSecond: number;
  /** Until the caller gives up. */
  leftMs: number;
  /** Until the target passes; negative when it has. */
  targetLeftMs: number;
}

export interface SendOptions {
  /** Fewer pending than this are no queue: they are read side by side. */
  minPending: number;
  /** Less open work than this runs side by side, at any time's pace. */
  minOpenWork: number;
  /** Of the caller's time what is open there may take this share to end. */
  maxOpenShare: number;
  /**
   * Of the caller's time a wait may take this share, where the target passes
   * anyway: with less left the rest of an answer no longer comes in time.
   */
  maxWaitShare: number;
  minRetryAfterMs: number;
  /** Callers heed a time to come back up to this share of what they have left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_SEND_OPTIONS: SendOptions = {
  minPending: 4,
  minOpenWork: 12,
  maxOpenShare: 0.7,
  maxWaitShare: 0.4,
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
 * @example decideSend({pendingAhead: 9, firstBytesPerSecond: 3, openWork: 16,
 *   doneWorkPerSecond: 5, leftMs: 6000, targetLeftMs: 800}).kind // 'refuse'
 */
export function decideSend(
  view: SendView,
  options: SendOptions = DEFAULT_SEND_OPTIONS,
): SendDecision {
  const {leftMs, targetLeftMs} = view;
  const waitMs = waitOf(view, options);
  const allowedMs = Math.max(targetLeftMs, leftMs * options.maxWaitShare);
  const overMs = Math.max(
    waitMs - allowedMs,
    openMsOf(view, options) - leftMs * options.maxOpenShare,
  );
  if (overMs <= 0) return {kind: 'send', waitMs};
  const retryAfterMs = Math.min(
    Math.max(overMs, options.minRetryAfterMs),
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

/**
 * Until what is open there has ended. In a full batch first bytes may come
 * soon and the rest too slowly: answers would be cut off at their deadline.
 */
function openMsOf(view: SendView, options: SendOptions): number {
  const {openWork, doneWorkPerSecond} = view;
  if (openWork < options.minOpenWork) return 0;
  return (openWork * MS_PER_SECOND) / Math.max(doneWorkPerSecond, 1);
}
