import type {FinishedRun} from '@banyanfold/log';

const MAX_FINISHED = 1000;

/** What this process knows of a key that it owns. */
export type LocalRun =
  | {kind: 'running'}
  /** It never ran, and the record that gives the key back is on its way. */
  | {kind: 'releasing'}
  | {kind: 'finished'; run: FinishedRun};

/**
 * The keys that this process owns. Its records reach the log, and come back
 * from there, after the answer has gone to the caller; a call that comes
 * between would be told that the outcome is unknown while it is known here.
 */
export class LocalRuns {
  private readonly runs = new Map<string, LocalRun>();

  get(key: string): LocalRun | undefined {
    return this.runs.get(key);
  }

  set(key: string, run: LocalRun): void {
    this.runs.delete(key);
    this.runs.set(key, run);
    if (run.kind === 'finished') this.dropOldestFinished();
  }

  delete(key: string): void {
    this.runs.delete(key);
  }

  /** By then the log has had their records for long. */
  private dropOldestFinished(): void {
    if (this.runs.size <= MAX_FINISHED) return;
    for (const [key, {kind}] of this.runs) {
      if (kind !== 'finished') continue;
      this.runs.delete(key);
      return;
    }
  }
}
