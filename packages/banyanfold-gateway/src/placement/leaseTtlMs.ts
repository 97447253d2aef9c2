/** Renewed four times in it; a dead holder is noticed after it. */
const LEASE_TTL_MS = 1_000;
/** Half a core, at which no renewal was seen to come too late. */
const ENOUGH_SHARE = 0.5;
/** Without a holder nobody gets an adapter that isn't there, in ms. */
const LONGEST_TTL_MS = 2_000;

/**
 * How long the lease of a process lasts without a renewal. One with less
 * processor stands still for longer when it is busy: at 0.24 cores renewals came
 * up to 0.5 s late, the lease lapsed within 1 s, and orders ended four times in
 * three seconds while their holder was at work.
 *
 * @param processorShare cores' worth that the process may use.
 * @param minMs the shortest that the store takes.
 * @example leaseTtlMs(0.25, 1_000) // 2000
 */
export function leaseTtlMs(processorShare: number, minMs: number): number {
  const scaledMs = (LEASE_TTL_MS * ENOUGH_SHARE) / processorShare;
  const boundedMs = Math.min(Math.max(scaledMs, LEASE_TTL_MS), LONGEST_TTL_MS);
  return Math.max(Math.round(boundedMs), minMs);
}
