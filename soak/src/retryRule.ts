/** Less than the time between two arrivals. */
const INSTANT_MS = 1e-6;

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
  const countedBeforeMs = [0, windowMs, windowMs / 2];
  let fullest: FullestWindow = {retries: 0, allowed: slack};
  for (const fromMs of windowStarts(sent, retries, windowMs)) {
    const requestCounts = countedBeforeMs.map(beforeMs =>
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

/**
 * Starts of windows, at least one for each pair of counts that a window can
 * have: a count changes only where a window begins or ends at an arrival, or
 * one that is counted before it does.
 */
function windowStarts(
  sent: readonly number[],
  retries: readonly number[],
  windowMs: number,
): number[] {
  const changes = [
    ...retries.flatMap(atMs => [atMs, atMs - windowMs]),
    ...sent.flatMap(atMs =>
      [-2, -1, 0, 1, 2].map(halves => atMs + (halves * windowMs) / 2),
    ),
  ];
  return changes.flatMap(atMs => [atMs - INSTANT_MS, atMs, atMs + INSTANT_MS]);
}

/** Negative if the window has more retries than it allows. */
export function leftIn({retries, allowed}: FullestWindow): number {
  return allowed - retries;
}

/** @param times in ascending order. */
function countBetween(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return countBefore(times, toMs + INSTANT_MS / 2) - countBefore(times, fromMs);
}

/** Binary search for the number of times that are earlier. */
function countBefore(times: readonly number[], atMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (times[middle]! < atMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

function ascending(a: number, b: number): number {
  return a - b;
}
