import {chooseStandbys, type StandbyCandidate} from '@banyanfold/decisions';

/** Who stands by is chosen anew at this interval. */
const CHOOSE_INTERVAL_MS = 500;
/**
 * A holder gives the lease away only after the others have heard for some
 * exchanges whether they stand by: else another that doesn't would get it.
 */
const SETTLE_MS = 1_000;

/** The entries that stand by for the lease, as their holder chooses them. */
export class StandbyRoster {
  private standbys: readonly string[] = [];
  /** Among whom they were chosen. */
  private ranked: ReadonlySet<string> = new Set();
  private chosenMs = Number.NEGATIVE_INFINITY;
  private held: {term: number; sinceMs: number} | undefined;

  constructor(
    private readonly holder: string,
    private readonly entriesHeard: (nowMs: number) => StandbyCandidate[],
  ) {}

  /**
   * The entries that stand by, in the order in which they take the lease.
   *
   * @param asking the entries for which it is asked.
   * @param term of the lease; a holder of a new one keeps it for a while.
   */
  current(
    asking: readonly StandbyCandidate[],
    term: number,
    nowMs: number,
  ): string[] {
    if (this.held?.term !== term) this.held = {term, sinceMs: nowMs};
    const isDue = nowMs - this.chosenMs >= CHOOSE_INTERVAL_MS;
    // An entry that has just come would be told to leave, and to come back.
    const isNewcomer = asking.some(({address}) => !this.ranked.has(address));
    if (isDue || isNewcomer) this.choose(nowMs);
    const isNew = nowMs - this.held.sinceMs < SETTLE_MS;
    return isNew ? [...this.standbys, this.holder] : [...this.standbys];
  }

  private choose(nowMs: number): void {
    const heard = this.entriesHeard(nowMs);
    this.chosenMs = nowMs;
    this.ranked = new Set(heard.map(({address}) => address));
    this.standbys = [...chooseStandbys(heard, this.holder)];
  }
}
