/** What delays the requests of a process, apart from its runners. */
export interface BacklogView {
  /** How late the event loop runs a callback, in the median. */
  loopDelayMs: number;
  /** Share of the link's speed that is used; undefined without a limit. */
  linkShare: number | undefined;
  /** Time that the link takes for the bytes held for callers that take them. */
  linkBacklogMs: number;
}

/**
 * Turns of the event loop until the first byte of a response: one to send the
 * request to the runner, and one to pass on the head of the response.
 */
const LOOP_TURNS = 2;
/**
 * From this share on, bytes wait for the link. Below it, bytes held are those of
 * callers that read slowly.
 */
const LINK_BUSY_SHARE = 0.9;
/** Refusing ends below this share of the delay at which it started. */
const RESUME_SHARE = 0.5;
/**
 * Callers abandon a silent connection after 1 s, so that not even a refusal
 * reaches them.
 */
const UNREADY_DELAY_MS = 1_000;

/** Returns the delay that the process itself adds to a request, in ms. */
export function ownDelayMs({
  loopDelayMs,
  linkShare = 0,
  linkBacklogMs,
}: BacklogView): number {
  const linkMs = linkShare >= LINK_BUSY_SHARE ? linkBacklogMs : 0;
  return LOOP_TURNS * loopDelayMs + linkMs;
}

/**
 * Whether to refuse a request that the process can't serve within its target
 * time because of its own backlog. Another entry may serve it, and work that is
 * late anyway would delay the requests behind it.
 *
 * @param targetMs target time of the route.
 * @param isRefusing whether the last decision for the route was to refuse.
 */
export function decideBacklog(
  view: BacklogView,
  targetMs: number,
  isRefusing: boolean,
): boolean {
  const limitMs = isRefusing ? targetMs * RESUME_SHARE : targetMs;
  return ownDelayMs(view) > limitMs;
}

/**
 * Whether the process is so late that it can't even refuse requests in time. An
 * entry that is not ready takes part in nothing, and its load moves to others
 * that may be as busy, so this is the last resort.
 */
export function decideUnready(
  {loopDelayMs}: BacklogView,
  isUnready: boolean,
): boolean {
  const limitMs = isUnready
    ? UNREADY_DELAY_MS * RESUME_SHARE
    : UNREADY_DELAY_MS;
  return loopDelayMs > limitMs;
}
