import type {GatewayOptions} from '../options.js';

/** Number of entries from which the holder can serve the shortest interval. */
const FEW_ENTRIES = 8;

/**
 * Minimum interval between an entry's exchanges with the holder while callers
 * wait for copies. It grows with the number of entries, so that the total rate
 * stays the same. In a large fleet under load, some caller waits at each entry
 * all the time, and exchanges every 60 ms from all of them left the holder no
 * time to give orders.
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
