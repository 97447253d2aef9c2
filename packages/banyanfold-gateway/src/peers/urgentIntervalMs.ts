import type {GatewayOptions} from '../options.js';

/** Up to so many entries the holder bears the shortest interval from each. */
const FEW_ENTRIES = 8;

/**
 * How soon an entry speaks with the holder again while callers wait for copies.
 * With more entries each does so less often, so that together they ask no more:
 * on a busy day of a large fleet some caller waits at each entry all the time,
 * and exchanges every 60 ms from all left the holder no time to order anything.
 *
 * @example urgentIntervalMs(16, DEFAULT_OPTIONS) // 120
 */
export function urgentIntervalMs(
  entries: number,
  options: Pick<GatewayOptions, 'urgentIntervalMs' | 'exchangeIntervalMs'>,
): number {
  const scaledMs =
    options.urgentIntervalMs * Math.max(1, entries / FEW_ENTRIES);
  return Math.min(scaledMs, options.exchangeIntervalMs);
}
