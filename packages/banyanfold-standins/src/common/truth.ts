import type {Clock} from '@banyanfold/core';

/** One thing that a stand-in really did. */
export interface TruthEntry {
  /** The stand-in's own wall clock. */
  atMs: number;
  kind: string;
  [field: string]: unknown;
}

/** What a stand-in really did, in order, whatever its callers were told. */
export class TruthRecord {
  private readonly entries: TruthEntry[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly onEntry: (entry: TruthEntry) => void = () => {},
  ) {}

  add(kind: string, fields: Record<string, unknown> = {}): void {
    const entry = {atMs: this.clock.wallMs(), kind, ...fields};
    this.entries.push(entry);
    this.onEntry(entry);
  }

  all(): readonly TruthEntry[] {
    return this.entries;
  }

  /** @example truth.ofKind('over-commit').length */
  ofKind(kind: string): TruthEntry[] {
    return this.entries.filter(entry => entry.kind === kind);
  }
}
