import type {HeldModel} from './ModelMemory.js';

export interface EngineReport {
  takenAtMs: number;
  running: number;
  queued: number;
  kvUsedBytes: number;
  kvCapacityBytes: number;
  memoryCapacityBytes: number;
  role: string;
  models: readonly HeldModel[];
  highestFencing: number;
}

/** Longer than any lag that is set. */
const KEPT_MS = 60_000;

/** What the load report would have said at each time, for its lag. */
export class ReportHistory {
  private readonly reports: EngineReport[] = [];
  private frozen: EngineReport | undefined;

  add(report: EngineReport): void {
    const last = this.reports.at(-1);
    if (last?.takenAtMs === report.takenAtMs) this.reports.pop();
    this.reports.push(report);
    this.dropOlderThan(report.takenAtMs - KEPT_MS);
  }

  /** The state at a time, as a report taken then. */
  at(atMs: number): EngineReport {
    if (this.frozen) return this.frozen;
    const report = this.reports.findLast(({takenAtMs}) => takenAtMs <= atMs);
    if (report) return {...report, takenAtMs: atMs};
    const oldest = this.reports[0];
    if (!oldest) throw new Error('a report was asked for before the first');
    return oldest;
  }

  /** From now on every report is the one of this time. */
  freeze(atMs: number): void {
    this.frozen ??= this.at(atMs);
  }

  thaw(): void {
    this.frozen = undefined;
  }

  private dropOlderThan(oldestMs: number): void {
    let outdated = 0;
    while ((this.reports[outdated + 1]?.takenAtMs ?? Infinity) <= oldestMs) {
      outdated += 1;
    }
    if (outdated > 0) this.reports.splice(0, outdated);
  }
}
