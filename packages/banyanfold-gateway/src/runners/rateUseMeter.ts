/** Numbers of requests for a rate-limited runner, and of those sent to it. */
export interface RateUse {
  runnerId: string;
  asked: number;
  used: number;
}

/**
 * Counts the use of rate-limited runners between two exchanges with the holder.
 */
export class RateUseMeter {
  private byRunner = new Map<string, RateUse>();

  /** @param used negative for requests that were admitted and then not sent. */
  record(runnerId: string, asked: number, used: number): void {
    const existing = this.byRunner.get(runnerId);
    this.byRunner.set(runnerId, {
      runnerId,
      asked: (existing?.asked ?? 0) + asked,
      used: (existing?.used ?? 0) + used,
    });
  }

  /** Adds the counts of another entry. */
  add(uses: readonly RateUse[]): void {
    for (const {runnerId, asked, used} of uses) {
      this.record(runnerId, asked, used);
    }
  }

  /** Returns the counts and resets them. */
  take(): RateUse[] {
    const taken = [...this.byRunner.values()];
    this.byRunner = new Map();
    return taken;
  }
}
