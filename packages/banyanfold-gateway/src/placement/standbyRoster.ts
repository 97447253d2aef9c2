import {chooseStandbys, type StandbyCandidate} from '@banyanfold/decisions';

/** Interval at which the standbys are selected again. */
const SELECTION_INTERVAL_MS = 500;
/**
 * Time for which a new holder remains a standby, so that the other entries
 * receive the selection in some exchanges first. Otherwise the lease could go
 * to an entry that is not a standby.
 */
const SETTLE_MS = 1_000;

/** Entries that stand by for the lease, as selected by the holder. */
export class StandbyRoster {
  private standbys: readonly string[] = [];
  /** Addresses of the entries that took part in the selection. */
  private candidates: ReadonlySet<string> = new Set();
  private selectedMs = Number.NEGATIVE_INFINITY;
  private heldTerm: {term: number; sinceMs: number} | undefined;

  constructor(
    private readonly holder: string,
    private readonly recentEntries: (nowMs: number) => StandbyCandidate[],
  ) {}

  /**
   * Returns the standbys in the order in which they take over the lease.
   *
   * @param requesters the entries that receive the list.
   * @param term term of the lease; the holder remains a standby early in a new
   *   term.
   */
  current(
    requesters: readonly StandbyCandidate[],
    term: number,
    nowMs: number,
  ): string[] {
    if (this.heldTerm?.term !== term) this.heldTerm = {term, sinceMs: nowMs};
    const isDue = nowMs - this.selectedMs >= SELECTION_INTERVAL_MS;
    // A new entry would otherwise be told to leave the group and to rejoin
    // shortly after.
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
