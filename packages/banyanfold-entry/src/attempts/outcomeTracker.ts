import type {Outcome} from '@banyanfold/protocol';

/**
 * What is proved of a request's attempts.
 *
 * A caller who reads "not run" sends the claim again, and a crew goes to the
 * ravine twice if that was untrue. So it is said only when each attempt is
 * proved not to have started; whatever can't be proved counts as started.
 */
export class OutcomeTracker {
  private readonly pending = new Set<Promise<void>>();
  private mayHaveStarted = false;

  /** Notes an attempt whose fate is known now. */
  record(neverStarted: boolean): void {
    if (!neverStarted) this.mayHaveStarted = true;
  }

  /** Notes an attempt whose seal has yet to answer. */
  recordPending(neverStarted: Promise<boolean>): void {
    const settled = neverStarted
      .catch(() => false)
      .then(proved => {
        this.record(proved);
        this.pending.delete(settled);
      });
    this.pending.add(settled);
  }

  /** Whether each attempt is proved, as far as known at this moment. */
  get allNeverStarted(): boolean {
    return !this.mayHaveStarted && this.pending.size === 0;
  }

  /** Waits for the seals, which have a time limit of their own. */
  async settle(): Promise<Outcome> {
    await Promise.all(this.pending);
    return this.mayHaveStarted ? 'unknown' : 'not-run';
  }
}
