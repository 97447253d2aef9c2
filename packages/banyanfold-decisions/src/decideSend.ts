/** What an entry knows of one runner's queue. */
export interface SendView {
  /** Work there, of all entries, that is no less urgent than this request. */
  workAhead: number;
  /** How much work a second the runner got through lately. */
  workPerSecond: number;
  /** Requests open there, of all entries, and how many run at once. */
  openRequests?: number;
  slots?: number;
  /** Until the caller leaves. */
  leftMs: number;
  /** Until its deadline, if that is later; a caller that comes back has it. */
  deadlineLeftMs?: number;
  /** Until the target passes; negative when it has. */
  targetLeftMs: number;
}

export interface SendOptions {
  /** Less work than this, two long prompts, is no queue. */
  minQueuedWork: number;
  /**
   * Of the caller's time a wait may take this share; the rest is for the stream.
   * An answer after its target is still worth something, and a caller that is
   * refused comes back only once, so that no wait up to here is refused.
   * Reasoned, not compared with other shares.
   */
  maxWaitShare: number;
  /** A run holds its place for so long, in ms: streams of today take 1 to 3 s. */
  runDurationMs: number;
  minRetryAfterMs: number;
  /** Callers heed a time to come back up to this share of what they have left. */
  maxRetryAfterShare: number;
}

export const DEFAULT_SEND_OPTIONS: SendOptions = {
  minQueuedWork: 20,
  maxWaitShare: 0.7,
  runDurationMs: 2_000,
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
 * @example decideSend({workAhead: 400, workPerSecond: 40,
 *   leftMs: 6000, targetLeftMs: 800}).kind // 'refuse'
 */
export function decideSend(
  view: SendView,
  options: SendOptions = DEFAULT_SEND_OPTIONS,
): SendDecision {
  const {leftMs, deadlineLeftMs = leftMs, targetLeftMs} = view;
  const waitMs = waitOf(view, options);
  const allowedMs = Math.max(targetLeftMs, leftMs * options.maxWaitShare);
  if (waitMs <= allowedMs) return {kind: 'send', waitMs};
  const retryAfterMs = Math.min(
    Math.max(waitMs - allowedMs, options.minRetryAfterMs),
    deadlineLeftMs * options.maxRetryAfterShare,
  );
  return {kind: 'refuse', waitMs, retryAfterMs};
}

/**
 * Until the first byte, by how fast the runner gets through its work, or by when
 * a place in its batch comes free, whichever is later.
 */
function waitOf(view: SendView, options: SendOptions): number {
  return Math.max(readWaitOf(view, options), placeWaitOf(view, options));
}

function readWaitOf(view: SendView, options: SendOptions): number {
  const {workAhead, workPerSecond} = view;
  if (workAhead < options.minQueuedWork) return 0;
  return (workAhead * MS_PER_SECOND) / Math.max(workPerSecond, 1);
}

function placeWaitOf(view: SendView, options: SendOptions): number {
  const {openRequests = 0, slots = Number.POSITIVE_INFINITY} = view;
  return (Math.max(0, openRequests - slots) / slots) * options.runDurationMs;
}
