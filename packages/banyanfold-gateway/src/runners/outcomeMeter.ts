/** Answers of one runner, whole ones and others. */
export interface RunnerOutcome {
  runnerId: string;
  successes: number;
  failures: number;
}

/** Counts answers by runner between two exchanges with the holder. */
export class OutcomeMeter {
  private byRunner = new Map<string, RunnerOutcome>();

  record(runnerId: string, isSuccess: boolean): void {
    const outcome = this.getOrCreate(runnerId);
    if (isSuccess) outcome.successes += 1;
    else outcome.failures += 1;
  }

  /** Adds what another entry has counted. */
  add(outcomes: readonly RunnerOutcome[]): void {
    for (const {runnerId, ...counts} of outcomes) {
      const outcome = this.getOrCreate(runnerId);
      outcome.successes += counts.successes;
      outcome.failures += counts.failures;
    }
  }

  /** Takes what was counted, and begins anew. */
  take(): RunnerOutcome[] {
    const taken = [...this.byRunner.values()];
    this.byRunner = new Map();
    return taken;
  }

  private getOrCreate(runnerId: string): RunnerOutcome {
    let outcome = this.byRunner.get(runnerId);
    if (!outcome) {
      outcome = {runnerId, successes: 0, failures: 0};
      this.byRunner.set(runnerId, outcome);
    }
    return outcome;
  }
}
