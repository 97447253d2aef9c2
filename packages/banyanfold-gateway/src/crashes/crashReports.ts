import type {CrashReport} from './crashContract.js';

/**
 * Maximum length of each list in the unacknowledged report. More items would
 * report the same crashes again.
 */
const MAX_REPORT_ITEMS = 2_000;

export function emptyReport(): CrashReport {
  return {crashes: [], served: [], trialsOver: [], quarantined: []};
}

export function isEmptyReport(report: CrashReport): boolean {
  return Object.values(report).every(list => list.length === 0);
}

/** Keeps the latest items of both. */
export function mergeReports(
  one: CrashReport,
  other: CrashReport,
): CrashReport {
  const merge = <T>(a: readonly T[], b: readonly T[]) =>
    [...a, ...b].slice(-MAX_REPORT_ITEMS);
  return {
    crashes: merge(one.crashes, other.crashes),
    served: merge(one.served, other.served),
    trialsOver: merge(one.trialsOver, other.trialsOver),
    quarantined: merge(one.quarantined, other.quarantined),
  };
}
