import type {Outcome} from '@banyanfold/protocol';

/**
 * Tracks whether any attempt of a request may have started.
 *
 * A caller that receives `not-run` sends the request again, and a crew is sent
 * out twice if that was untrue. So it is reported only when each attempt is
 * proved not to have started; whatever can't be proved counts as started.
 */
export class OutcomeTracker {
  private readonly pending = new Set<Promise<void>>();
  private mayHaveStarted = false;

  /** Records an attempt whose state is known. */
  record(neverStarted: boolean): void {
    if (!neverStarted) this.mayHaveStarted = true;
  }

  /** Records an attempt that is still being sealed. */
  recordPending(neverStarted: Promise<boolean>): void {
    const settled = neverStarted
      .catch(() => false)
      .then(proved => {
        this.record(proved);
        this.pending.delete(settled);
      });
    this.pending.add(settled);
  }

  /** Whether each attempt is proved never to have started, as far as known. */
  get allNeverStarted(): boolean {
    return !this.mayHaveStarted && this.pending.size === 0;
  }

  /** Waits for the pending seals, which have a time limit of their own. */
  async settle(): Promise<Outcome> {
    await Promise.all(this.pending);
    return this.mayHaveStarted ? 'unknown' : 'not-run';
  }
}
