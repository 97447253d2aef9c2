import type {
  AgentReport,
  ReportChanges,
  ReportCursor,
} from './agentContract.js';

/** Gone prefixes that are remembered for entries that still have them. */
const MAX_REMEMBERED_GONE = 1024;

/**
 * Works out, at an agent, what changed in its reports since a given one.
 *
 * It keeps nothing about the entries that ask: each names the report that it
 * holds, so a lost answer, a question asked twice or another entry's question
 * can't make it believe that an entry has what it hasn't.
 *
 * @example history.answer(report, {incarnation: 7, sequence: 41})
 */
export class ReportHistory {
  private incarnation: number | undefined;
  private wholeKey = '';
  /** Reports before this sequence can't be brought up to date by changes. */
  private baseSequence = 0;
  private lastSequence = 0;
  private readonly served = new Map<string, {count: number; at: number}>();
  private readonly cachedAt = new Map<string, number>();
  /** In the order of their going. */
  private readonly goneAt = new Map<string, number>();

  /** Takes each report that the agent makes, before any is handed out. */
  observe(report: AgentReport): void {
    if (report.incarnation !== this.incarnation) this.restart(report);
    this.lastSequence = report.sequence;
    const wholeKey = wholeKeyOf(report);
    if (wholeKey !== this.wholeKey) this.baseSequence = report.sequence;
    this.wholeKey = wholeKey;
    this.observeServed(report);
    this.observePrefixes(report);
  }

  /** The report just observed: whole, or what changed since the cursor. */
  answer(
    report: AgentReport,
    cursor: ReportCursor | undefined,
  ): AgentReport | ReportChanges {
    this.observe(report);
    if (!cursor || !this.covers(cursor)) return report;
    const {copies, services: _, servedCount, cachedPrefixes, ...rest} = report;
    const since = cursor.sequence;
    return {
      ...rest,
      sinceSequence: since,
      copyIdleMs: copies.map(({idleMs}) => idleMs),
      servedSince: Object.fromEntries(
        Object.entries(servedCount).filter(
          ([artifact]) => this.served.get(artifact)!.at > since,
        ),
      ),
      prefixesAdded: cachedPrefixes.filter(
        prefix => this.cachedAt.get(prefix)! > since,
      ),
      prefixesGone: [...this.goneAt.keys()].filter(
        prefix => this.goneAt.get(prefix)! > since,
      ),
    };
  }

  /**
   * An entry that holds a report of another process, or one from before the
   * copies last changed, would go on with a stale list that looks fresh: it
   * gets the whole report. Incarnations are offsets of the log, or drawn at
   * random while it is out, so that no two processes share one; and within one
   * process the sequence never falls. So equal cursors mean the same report.
   */
  private covers({incarnation, sequence}: ReportCursor): boolean {
    return (
      incarnation === this.incarnation &&
      sequence >= this.baseSequence &&
      sequence < this.lastSequence
    );
  }

  private restart(report: AgentReport): void {
    this.incarnation = report.incarnation;
    this.baseSequence = report.sequence;
    this.served.clear();
    this.cachedAt.clear();
    this.goneAt.clear();
  }

  private observeServed({servedCount, sequence}: AgentReport): void {
    for (const [artifact, count] of Object.entries(servedCount)) {
      if (this.served.get(artifact)?.count === count) continue;
      this.served.set(artifact, {count, at: sequence});
    }
  }

  private observePrefixes({cachedPrefixes, sequence}: AgentReport): void {
    const cached = new Set(cachedPrefixes);
    for (const prefix of this.cachedAt.keys()) {
      if (cached.has(prefix)) continue;
      this.cachedAt.delete(prefix);
      this.goneAt.set(prefix, sequence);
    }
    for (const prefix of cached) {
      if (this.cachedAt.has(prefix)) continue;
      this.cachedAt.set(prefix, sequence);
      this.goneAt.delete(prefix);
    }
    this.forgetGone();
  }

  /** An entry that misses a forgotten one gets the whole report. */
  private forgetGone(): void {
    for (const [prefix, sequence] of this.goneAt) {
      if (this.goneAt.size <= MAX_REMEMBERED_GONE) return;
      this.goneAt.delete(prefix);
      this.baseSequence = Math.max(this.baseSequence, sequence);
    }
  }
}

export function isReportChanges(
  answer: AgentReport | ReportChanges,
): answer is ReportChanges {
  return 'sinceSequence' in answer;
}

/**
 * The whole report that an answer stands for, or undefined if the entry holds
 * nothing that it fits on.
 *
 * Changes since a report newer than the one held skip what came between them;
 * a copy that went in that time would stay believed in. Changes since the held
 * one or an older one say that the copies are still those of that report, so
 * they are those of the held one as well. Whatever doesn't fit is dropped, and
 * the next question names what is really held, so the next answer mends it.
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
    copies: held.copies.map((copy, nth) => ({
      ...copy,
      idleMs: copyIdleMs[nth]!,
    })),
    services: held.services,
    servedCount: {...held.servedCount, ...servedSince},
    cachedPrefixes: changePrefixes(
      held.cachedPrefixes,
      prefixesAdded,
      prefixesGone,
    ),
  };
}

/** The same list if nothing changed, so that its reader can tell. */
function changePrefixes(
  held: string[],
  added: string[],
  gone: string[],
): string[] {
  if (added.length + gone.length === 0) return held;
  const dropped = new Set([...added, ...gone]);
  return [...added, ...held.filter(prefix => !dropped.has(prefix))];
}

/** What makes the whole report necessary when it changes. */
function wholeKeyOf({copies, services}: AgentReport): string {
  const lasting = copies.map(({idleMs: _idleMs, ...copy}) => copy);
  return JSON.stringify([lasting, services]);
}
