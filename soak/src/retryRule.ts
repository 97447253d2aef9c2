/** What a deployment allows of retries, over all entries. */
export interface RetryAllowance {
  /** Retries per request. */
  ratio: number;
  /** Retries per window in addition. */
  slack: number;
  windowMs: number;
}

/** One request of a caller, and when it arrived at runners. */
export interface SentRequest {
  sentMs: number;
  arrivedMs: readonly number[];
}

/** The window with the fewest retries left. */
export interface FullestWindow {
  retries: number;
  allowed: number;
}

/**
 * Counts arrivals beyond the first of each request in each window, and the
 * requests that allow them: those of that window, of the one before it or of
 * the one half a window before it, whichever has most.
 *
 * @example
 * fullestWindow([{sentMs: 0, arrivedMs: [1, 2]}],
 *   {ratio: 0.2, slack: 5, windowMs: 10_000}) // {retries: 1, allowed: 5.2}
 */
export function fullestWindow(
  requests: readonly SentRequest[],
  {ratio, slack, windowMs}: RetryAllowance,
): FullestWindow {
  const sent = requests.map(({sentMs}) => sentMs).sort(ascending);
  const retries = requests
    .flatMap(({arrivedMs}) => [...arrivedMs].sort(ascending).slice(1))
    .sort(ascending);
  let fullest: FullestWindow = {retries: 0, allowed: slack};
  for (const fromMs of retries) {
    const requestCounts = [0, windowMs, windowMs / 2].map(beforeMs =>
      countBetween(sent, fromMs - beforeMs, fromMs - beforeMs + windowMs),
    );
    const window = {
      retries: countBetween(retries, fromMs, fromMs + windowMs),
      allowed: ratio * Math.max(...requestCounts) + slack,
    };
    if (leftIn(window) < leftIn(fullest)) fullest = window;
  }
  return fullest;
}

/** Negative if the window has more retries than it allows. */
export function leftIn({retries, allowed}: FullestWindow): number {
  return allowed - retries;
}

function countBetween(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter(atMs => atMs >= fromMs && atMs <= toMs).length;
}

function ascending(a: number, b: number): number {
  return a - b;
}
