/** At half a core; VMs that are started together start within 300 ms. */
const DELAY_MS = 250;
const HALF_CORE = 0.5;
/** A VM with a quarter of a core, or less, comes last. */
const LONGEST_DELAY_MS = 600;

/**
 * How long a process waits at the first start of the whole system before it joins
 * the group that the lease is dealt to. Those with more processor come first, and
 * the others find a holder and stay out: of 17 small VMs that all joined, each
 * moved the lease, and the first one to hold it ordered for 0.3 s.
 *
 * @param processorShare cores' worth that the process may use.
 * @example joinDelayMs(1.35) // 93
 */
export function joinDelayMs(processorShare: number): number {
  const delayMs = (DELAY_MS * HALF_CORE) / processorShare;
  return Math.round(Math.min(delayMs, LONGEST_DELAY_MS));
}
