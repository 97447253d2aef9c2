/** Renewed four times in it; a dead holder is noticed after it. */
const BASE_TTL_MS = 1_000;
/** The share for which the shortest one was chosen; reasoned, not compared. */
const REFERENCE_SHARE = 0.5;
/** Without a holder nobody gets an adapter that isn't there, in ms. */
const MAX_TTL_MS = 2_000;

/**
 * How long the lease of a process lasts without a renewal. One with less
 * processor stands still for longer when it is busy: at 0.12 cores
 * with a lease of 1 s orders ended and began again three times within 3 s of the
 * first callers, while their holder was at work.
 *
 * @param processorShare cores' worth that the process may use.
 * @param minMs the shortest that the store takes.
 * @example leaseTtlMs(0.25, 1_000) // 2000
 */
export function leaseTtlMs(processorShare: number, minMs: number): number {
  const scaledMs = (BASE_TTL_MS * REFERENCE_SHARE) / processorShare;
  const boundedMs = Math.min(Math.max(scaledMs, BASE_TTL_MS), MAX_TTL_MS);
  return Math.max(Math.round(boundedMs), minMs);
}
