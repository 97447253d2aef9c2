import type {RunnerCopies} from '../peers/peerContract.js';

/** The last revision of one holder that an entry has received. */
export interface KnownRevision {
  /** Identifies the holder process that assigned the revision numbers. */
  epoch: string;
  revision: number;
}

export interface CopyChanges extends KnownRevision {
  /** Whether `runners` is the full list, so that missing runners are gone. */
  isWhole: boolean;
  runners: RunnerCopies[];
  gone: string[];
}

interface RecordedChange {
  revision: number;
  serialized: string;
  /** Undefined for a removed runner. */
  runner?: RunnerCopies;
}

/** An entry that is further behind than this gets the full list. */
const RETAINED_REVISIONS = 1_000;

/**
 * Numbers the changes of what runners hold, so that an entry receives only the
 * changes that it has missed, not the full list four times a second. With 36
 * runners and 28 entries, an order took 160 to 200 ms in the median with full
 * lists and 20 to 80 ms with changes only, on the same day and holder.
 *
 * @example
 * revisions.update(runners);
 * revisions.since(input.known).runners // those that changed since
 */
export class CopyRevisions {
  private revision = 0;
  private readonly changes = new Map<string, RecordedChange>();

  constructor(private readonly epoch: string) {}

  /** Records the differences to what all runners held before. */
  update(runners: readonly RunnerCopies[]): void {
    const present = new Set(runners.map(({runnerId}) => runnerId));
    for (const runner of runners) {
      const serialized = JSON.stringify(runner);
      if (this.changes.get(runner.runnerId)?.serialized !== serialized) {
        this.recordChange(runner.runnerId, serialized, runner);
      }
    }
    for (const [runnerId, {runner, revision}] of this.changes) {
      if (present.has(runnerId)) continue;
      if (runner) this.recordChange(runnerId, '');
      else if (revision < this.oldestRetained) this.changes.delete(runnerId);
    }
  }

  since(known: KnownRevision | undefined): CopyChanges {
    const {epoch, revision} = this;
    const isWhole =
      known?.epoch !== epoch ||
      known.revision < this.oldestRetained ||
      known.revision > revision;
    const from = isWhole ? 0 : known.revision;
    const runners: RunnerCopies[] = [];
    const gone: string[] = [];
    for (const [runnerId, recorded] of this.changes) {
      if (recorded.revision <= from) continue;
      if (recorded.runner) runners.push(recorded.runner);
      else if (!isWhole) gone.push(runnerId);
    }
    return {epoch, revision, isWhole, runners, gone};
  }

  private get oldestRetained(): number {
    return this.revision - RETAINED_REVISIONS;
  }

  private recordChange(
    runnerId: string,
    serialized: string,
    runner?: RunnerCopies,
  ): void {
    this.revision += 1;
    this.changes.set(runnerId, {
      revision: this.revision,
      serialized,
      runner,
    });
  }
}
