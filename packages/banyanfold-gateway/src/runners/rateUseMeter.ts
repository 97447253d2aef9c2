/** Requests that wanted a rate-limited runner, and those sent to it. */
export interface RateUse {
  runnerId: string;
  asked: number;
  used: number;
}

/** Counts the use of rate-limited runners between two exchanges with the holder. */
export class RateUseMeter {
  private byRunner = new Map<string, RateUse>();

  /** @param used negative for what was admitted and then not sent. */
  record(runnerId: string, asked: number, used: number): void {
    const known = this.byRunner.get(runnerId);
    this.byRunner.set(runnerId, {
      runnerId,
      asked: (known?.asked ?? 0) + asked,
      used: (known?.used ?? 0) + used,
    });
  }

  /** Adds what another entry has counted. */
  add(uses: readonly RateUse[]): void {
    for (const {runnerId, asked, used} of uses) {
      this.record(runnerId, asked, used);
    }
  }

  /** Takes what was counted, and begins anew. */
  take(): RateUse[] {
    const taken = [...this.byRunner.values()];
    this.byRunner = new Map();
    return taken;
  }
}
