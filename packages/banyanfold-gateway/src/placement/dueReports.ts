/** One runner, as far as it matters when its report is asked for. */
export interface ReportSchedule<K> {
  key: K;
  /** When it was last asked; undefined before. */
  lastRequestedMs?: number;
  /** An order there is to be over. */
  isAwaited: boolean;
  /** Nothing is known of the runner yet. */
  isUnknown?: boolean;
}

export interface DueReportsOptions {
  /** Time between two calls. */
  tickMs: number;
  /** Interval at one runner, and at one that is awaited or unknown. */
  intervalMs: number;
  awaitedIntervalMs: number;
  /** Reports a second of runners that are known and not awaited. */
  perSecond: number;
  /** Runners that nothing is known of which may be asked now. */
  unknownQuota?: number;
}

const MS_PER_SECOND = 1000;

/**
 * The runners to ask for a report now: all whose report is awaited, and of those
 * that are unknown, and of the others, the longest unasked, spread over time.
 *
 * Answers the load of many runners on a small VM: asked all at once twice a
 * second, 26 runners were answered in 0.35 s in the median under load, and whatever
 * else came waited with them.
 *
 * @example dueReports(states, clock.nowMs(), options).forEach(ask)
 */
export function dueReports<K>(
  states: ReadonlyArray<ReportSchedule<K>>,
  nowMs: number,
  options: DueReportsOptions,
): K[] {
  const {tickMs, intervalMs, awaitedIntervalMs, perSecond} = options;
  const {unknownQuota: unknownLeft = Number.POSITIVE_INFINITY} = options;
  const elapsedMs = ({lastRequestedMs: askedMs}: ReportSchedule<K>) =>
    askedMs === undefined ? Number.POSITIVE_INFINITY : nowMs - askedMs;
  const byLongestWait = (a: ReportSchedule<K>, b: ReportSchedule<K>) =>
    elapsedMs(b) - elapsedMs(a);
  const awaited = states.filter(
    state => state.isAwaited && elapsedMs(state) >= awaitedIntervalMs,
  );
  const isOther = (state: ReportSchedule<K>) => !state.isAwaited;
  const unknown = states
    .filter(state => isOther(state) && state.isUnknown)
    .filter(state => elapsedMs(state) >= awaitedIntervalMs)
    .sort(byLongestWait);
  const others = states
    .filter(state => isOther(state) && !state.isUnknown)
    .filter(state => elapsedMs(state) >= intervalMs)
    .sort(byLongestWait);
  const count = Math.max(1, Math.round((perSecond * tickMs) / MS_PER_SECOND));
  return [
    ...awaited,
    ...unknown.slice(0, unknownLeft),
    ...others.slice(0, count),
  ].map(({key}) => key);
}
