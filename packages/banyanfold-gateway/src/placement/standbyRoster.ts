import {chooseStandbys, type StandbyCandidate} from '@banyanfold/decisions';

/** Who stands by is chosen anew at this interval. */
const SELECTION_INTERVAL_MS = 500;
/**
 * A holder gives the lease away only after the others have heard for some
 * exchanges whether they stand by: else another that doesn't would get it.
 */
const SETTLE_MS = 1_000;

/** The entries that stand by for the lease, as their holder chooses them. */
export class StandbyRoster {
  private standbys: readonly string[] = [];
  /** Among whom they were chosen. */
  private candidates: ReadonlySet<string> = new Set();
  private selectedMs = Number.NEGATIVE_INFINITY;
  private heldTerm: {term: number; sinceMs: number} | undefined;

  constructor(
    private readonly holder: string,
    private readonly recentEntries: (nowMs: number) => StandbyCandidate[],
  ) {}

  /**
   * The entries that stand by, in the order in which they take the lease.
   *
   * @param requesters the entries for which it is asked.
   * @param term of the lease; a holder of a new one keeps it for a while.
   */
  current(
    requesters: readonly StandbyCandidate[],
    term: number,
    nowMs: number,
  ): string[] {
    if (this.heldTerm?.term !== term) this.heldTerm = {term, sinceMs: nowMs};
    const isDue = nowMs - this.selectedMs >= SELECTION_INTERVAL_MS;
    // An entry that has just come would be told to leave, and to come back.
    const hasUnknownRequester = requesters.some(
      ({address}) => !this.candidates.has(address),
    );
    if (isDue || hasUnknownRequester) this.select(nowMs);
    const isNewHolder = nowMs - this.heldTerm.sinceMs < SETTLE_MS;
    return isNewHolder ? [...this.standbys, this.holder] : [...this.standbys];
  }

  private select(nowMs: number): void {
    const entries = this.recentEntries(nowMs);
    this.selectedMs = nowMs;
    this.candidates = new Set(entries.map(({address}) => address));
    this.standbys = [...chooseStandbys(entries, this.holder)];
  }
}
