/** Options of the division of one pool. */
export interface PoolSharesOptions {
  /**
   * Time that an excess must last, and that it must be over to end. It also has
   * to last as long as the accepted wait, because the completed work lags behind
   * a rise of demand by the wait.
   */
  confirmMs: number;
  /** A shorter target counts as this. */
  minTargetMs: number;
  /** Share of the target time that the backlog is kept at. */
  backlogShare: number;
  /** Factor over the usual wait at which the backlog is kept at least. */
  usualWaitFactor: number;
  /** Factor over the usual wait above which a backlog is an excess. */
  excessWaitFactor: number;
  /**
   * A backlog of n requests is an excess if it is longer by this many times its
   * standard deviation, the square root of n.
   */
  excessDeviations: number;
  /**
   * A division during which the completed work falls below this share of its
   * highest rate, although more is asked for, ends and is not repeated at once.
   */
  minCompletedShare: number;
  /** Time until it may be repeated. */
  holdMs: number;
  /** Time over which a deviation of the backlog is corrected. */
  correctionMs: number;
  /** Without a completion for this long, nothing is divided. */
  completionExpiryMs: number;
  /** Dropped share of the completed work that shows an excess of demand. */
  maxDroppedShare: number;
}

export const DEFAULT_POOL_SHARES_OPTIONS: PoolSharesOptions = {
  // Two exchanges: the completed work lags behind a rise of demand by one.
  confirmMs: 500,
  // A report and its answer take two exchanges; a backlog that is read in less
  // runs empty before it can be corrected.
  minTargetMs: 500,
  // The other half is for the variation of waits around their mean.
  backlogShare: 0.5,
  // A wait that runners need anyway can't be reduced by admitting less.
  usualWaitFactor: 1.25,
  excessWaitFactor: 1.5,
  // Few requests vary by as much as they are.
  excessDeviations: 2,
  // More than a loss of half of the runners explains.
  minCompletedShare: 0.35,
  // Twice the time over which the usual wait is averaged.
  holdMs: 10_000,
  // More than twice the delay of the loop (report, division, answer: 0.7 s), so
  // that the corrections don't oscillate.
  correctionMs: 1_500,
  // Runners that hang complete nothing, which says nothing about a share.
  completionExpiryMs: 1_500,
  // Plain runners reject calls instead of queueing them.
  maxDroppedShare: 0.05,
};
