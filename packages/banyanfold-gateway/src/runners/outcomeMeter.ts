/** Numbers of complete responses and of failures of one runner. */
export interface RunnerOutcome {
  runnerId: string;
  successes: number;
  failures: number;
}

/** Counts outcomes by runner between two exchanges with the holder. */
export class OutcomeMeter {
  private byRunner = new Map<string, RunnerOutcome>();

  record(runnerId: string, isSuccess: boolean): void {
    const outcome = this.getOrCreate(runnerId);
    if (isSuccess) outcome.successes += 1;
    else outcome.failures += 1;
  }

  /** Adds the counts of another entry. */
  add(outcomes: readonly RunnerOutcome[]): void {
    for (const {runnerId, ...counts} of outcomes) {
      const outcome = this.getOrCreate(runnerId);
      outcome.successes += counts.successes;
      outcome.failures += counts.failures;
    }
  }

  /** Returns the counts and resets them. */
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
