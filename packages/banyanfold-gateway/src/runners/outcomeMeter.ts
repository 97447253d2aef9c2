/** Answers of one runner, whole ones and others. */
export interface RunnerOutcome {
  runnerId: string;
  successes: number;
  failures: number;
  /** Streams that ended, and those of them with a pause longer than allowed. */
  streams: number;
  lateStreams: number;
}

/** Counts answers by runner between two exchanges with the holder. */
export class OutcomeMeter {
  private byRunner = new Map<string, RunnerOutcome>();

  note(runnerId: string, isSuccess: boolean): void {
    const outcome = this.of(runnerId);
    if (isSuccess) outcome.successes += 1;
    else outcome.failures += 1;
  }

  noteStream(runnerId: string, isLate: boolean): void {
    const outcome = this.of(runnerId);
    outcome.streams += 1;
    if (isLate) outcome.lateStreams += 1;
  }

  /** Adds what another entry has counted. */
  add(outcomes: readonly RunnerOutcome[]): void {
    for (const {runnerId, ...counts} of outcomes) {
      const outcome = this.of(runnerId);
      outcome.successes += counts.successes;
      outcome.failures += counts.failures;
      outcome.streams += counts.streams;
      outcome.lateStreams += counts.lateStreams;
    }
  }

  /** Takes what was counted, and begins anew. */
  take(): RunnerOutcome[] {
    const taken = [...this.byRunner.values()];
    this.byRunner = new Map();
    return taken;
  }

  private of(runnerId: string): RunnerOutcome {
    let outcome = this.byRunner.get(runnerId);
    if (!outcome) {
      outcome = {
        runnerId,
        successes: 0,
        failures: 0,
        streams: 0,
        lateStreams: 0,
      };
      this.byRunner.set(runnerId, outcome);
    }
    return outcome;
  }
}
