import type {FinishedRun} from '@banyanfold/log';

const MAX_FINISHED = 1000;

/** The state of a request that this process runs under its own key. */
export type LocalRun =
  | {kind: 'running'}
  /** It never ran; the record that releases the key is being appended. */
  | {kind: 'releasing'}
  | {kind: 'finished'; run: FinishedRun};

/**
 * The runs whose keys this process owns. Their records are appended to and read
 * back from the log only after the caller has its answer. Without this map, a
 * call in between would get "outcome unknown", although it is known here.
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

  /** Evicts the oldest finished run, whose record is in the log by then. */
  private dropOldestFinished(): void {
    if (this.runs.size <= MAX_FINISHED) return;
    for (const [key, {kind}] of this.runs) {
      if (kind !== 'finished') continue;
      this.runs.delete(key);
      return;
    }
  }
}
