/**
 * Renewed four times within it. The failure of a holder is detected after it.
 */
const BASE_TTL_MS = 1_000;
/** Processor share at which `BASE_TTL_MS` is long enough. */
const REFERENCE_SHARE = 0.5;
/** Without a holder no missing adapter is loaded, which bounds the duration. */
export const MAX_LEASE_TTL_MS = 2_000;

/**
 * Returns how long the lease of a process lasts without a renewal. A process
 * with a smaller processor share stalls for longer when it is busy: with 0.12
 * cores and a lease of 1 s, orders stopped and resumed three times within 3 s
 * of the first requests although the holder was running.
 *
 * @param processorShare number of cores that the process may use.
 * @param minMs shortest duration that the store accepts.
 * @example leaseTtlMs(0.25, 1_000) // 2000
 */
export function leaseTtlMs(processorShare: number, minMs: number): number {
  const scaledMs = (BASE_TTL_MS * REFERENCE_SHARE) / processorShare;
  const boundedMs = Math.min(Math.max(scaledMs, BASE_TTL_MS), MAX_LEASE_TTL_MS);
  return Math.max(Math.round(boundedMs), minMs);
}
