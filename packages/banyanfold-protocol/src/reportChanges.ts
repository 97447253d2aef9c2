import type {
  AgentReport,
  ReportChanges,
  ReportCursor,
} from './agentContract.js';

/** Maximum number of removed prefixes kept for entries that still list them. */
const MAX_REMOVED_PREFIXES = 1024;

/**
 * Computes, at an agent, the changes to its reports since a given one.
 *
 * It keeps no state about entries: each request names the report that the entry
 * holds. So a lost answer, a repeated request or another entry's request can't
 * lead to a wrong assumption about what an entry holds.
 *
 * @example history.answer(report, {incarnation: 7, sequence: 41})
 */
export class ReportHistory {
  private incarnation: number | undefined;
  private listsKey = '';
  /** Reports before this sequence can't be updated with changes. */
  private baseSequence = 0;
  private lastSequence = 0;
  private readonly servedCounts = new Map<
    string,
    {count: number; at: number}
  >();
  private readonly addedAt = new Map<string, number>();
  /** In the order of removal. */
  private readonly removedAt = new Map<string, number>();

  /** Records a report; to be called for each one before it is sent. */
  observe(report: AgentReport): void {
    if (report.incarnation !== this.incarnation) this.reset(report);
    this.lastSequence = report.sequence;
    const listsKey = listsKeyOf(report);
    if (listsKey !== this.listsKey) this.baseSequence = report.sequence;
    this.listsKey = listsKey;
    this.observeServed(report);
    this.observePrefixes(report);
  }

  /** Returns the changes since the cursor, or the full report. */
  answer(
    report: AgentReport,
    cursor: ReportCursor | undefined,
  ): AgentReport | ReportChanges {
    this.observe(report);
    if (!cursor || !this.canSendChanges(cursor)) return report;
    const {copies, services: _, servedCount, cachedPrefixes, ...rest} = report;
    const since = cursor.sequence;
    return {
      ...rest,
      sinceSequence: since,
      copyIdleMs: copies.map(({idleMs}) => idleMs),
      servedSince: Object.fromEntries(
        Object.entries(servedCount).filter(
          ([artifact]) => this.servedCounts.get(artifact)!.at > since,
        ),
      ),
      prefixesAdded: cachedPrefixes.filter(
        prefix => this.addedAt.get(prefix)! > since,
      ),
      prefixesGone: [...this.removedAt.keys()].filter(
        prefix => this.removedAt.get(prefix)! > since,
      ),
    };
  }

  /**
   * Whether changes suffice for an entry with this cursor. If its report is
   * from another process, or older than the last change to the copies, the
   * entry would keep a stale list that looks current, so it gets the full
   * report. Equal cursors denote the same report: incarnations are offsets of
   * the log, or random while the log is unavailable, so no two processes share
   * one, and within a process the sequence never decreases.
   */
  private canSendChanges({incarnation, sequence}: ReportCursor): boolean {
    return (
      incarnation === this.incarnation &&
      sequence >= this.baseSequence &&
      sequence < this.lastSequence
    );
  }

  private reset(report: AgentReport): void {
    this.incarnation = report.incarnation;
    this.baseSequence = report.sequence;
    this.servedCounts.clear();
    this.addedAt.clear();
    this.removedAt.clear();
  }

  private observeServed({servedCount, sequence}: AgentReport): void {
    for (const [artifact, count] of Object.entries(servedCount)) {
      if (this.servedCounts.get(artifact)?.count === count) continue;
      this.servedCounts.set(artifact, {count, at: sequence});
    }
  }

  private observePrefixes({cachedPrefixes, sequence}: AgentReport): void {
    const cached = new Set(cachedPrefixes);
    for (const prefix of this.addedAt.keys()) {
      if (cached.has(prefix)) continue;
      this.addedAt.delete(prefix);
      this.removedAt.set(prefix, sequence);
    }
    for (const prefix of cached) {
      if (this.addedAt.has(prefix)) continue;
      this.addedAt.set(prefix, sequence);
      this.removedAt.delete(prefix);
    }
    this.evictRemoved();
  }

  /** Entries with a report from before an evicted removal get a full report. */
  private evictRemoved(): void {
    for (const [prefix, sequence] of this.removedAt) {
      if (this.removedAt.size <= MAX_REMOVED_PREFIXES) return;
      this.removedAt.delete(prefix);
      this.baseSequence = Math.max(this.baseSequence, sequence);
    }
  }
}

/** Whether an answer contains changes instead of a full report. */
export function isReportChanges(
  answer: AgentReport | ReportChanges,
): answer is ReportChanges {
  return 'sinceSequence' in answer;
}

/**
 * Returns the full report that an answer represents, or undefined if it can't
 * be applied to the held report.
 *
 * Changes since a newer report than the held one would skip what happened
 * between the two, and a copy removed in that time would remain listed. Changes
 * since the held report or an older one imply that the copies are unchanged
 * since then, so those of the held report are current. Answers that can't be
 * applied are dropped. The next request names the report that is actually held,
 * so its answer can be applied.
 */
export function applyReportChanges(
  held: AgentReport | undefined,
  answer: AgentReport | ReportChanges,
): AgentReport | undefined {
  if (!isReportChanges(answer)) return answer;
  if (!held || held.incarnation !== answer.incarnation) return undefined;
  if (answer.sinceSequence > held.sequence) return undefined;
  if (answer.sequence <= held.sequence) return undefined;
  if (answer.copyIdleMs.length !== held.copies.length) return undefined;
  const {
    sinceSequence: _sinceSequence,
    copyIdleMs,
    servedSince,
    prefixesAdded,
    prefixesGone,
    ...rest
  } = answer;
  return {
    ...rest,
    copies: held.copies.map((copy, i) => ({
      ...copy,
      idleMs: copyIdleMs[i]!,
    })),
    services: held.services,
    servedCount: {...held.servedCount, ...servedSince},
    cachedPrefixes: applyPrefixChanges(
      held.cachedPrefixes,
      prefixesAdded,
      prefixesGone,
    ),
  };
}

/** Returns the same array if nothing changed, so that identity shows it. */
function applyPrefixChanges(
  held: string[],
  added: string[],
  removed: string[],
): string[] {
  if (added.length + removed.length === 0) return held;
  const dropped = new Set([...added, ...removed]);
  return [...added, ...held.filter(prefix => !dropped.has(prefix))];
}

/** Key of the lists whose changes require a full report. */
function listsKeyOf({copies, services}: AgentReport): string {
  const stable = copies.map(({idleMs: _idleMs, ...copy}) => copy);
  return JSON.stringify([stable, services]);
}
