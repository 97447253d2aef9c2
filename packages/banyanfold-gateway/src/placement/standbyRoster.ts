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
  private standbys: ReadonlySet<string> = new Set();
  /** Among whom they were chosen. */
  private ranked: ReadonlySet<string> = new Set();
  private chosenMs = Number.NEGATIVE_INFINITY;
  private held: {term: number; sinceMs: number} | undefined;

  constructor(
    private readonly holder: string,
    private readonly entriesHeard: (nowMs: number) => StandbyCandidate[],
  ) {}

  /**
   * Whether an entry, the holder or another, stands by.
   *
   * @param term of the lease; a holder of a new one keeps it for a while.
   */
  has(entry: string, term: number, nowMs: number): boolean {
    if (this.held?.term !== term) this.held = {term, sinceMs: nowMs};
    const isDue = nowMs - this.chosenMs >= CHOOSE_INTERVAL_MS;
    // An entry that has just come would be told to leave, and to come back.
    if (isDue || !this.ranked.has(entry)) this.choose(nowMs);
    const isNew = nowMs - this.held.sinceMs < SETTLE_MS;
    return this.standbys.has(entry) || (entry === this.holder && isNew);
  }

  private choose(nowMs: number): void {
    const heard = this.entriesHeard(nowMs);
    this.chosenMs = nowMs;
    this.ranked = new Set(heard.map(({address}) => address));
    this.standbys = chooseStandbys(heard, this.holder);
  }
}
