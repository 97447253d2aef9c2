import type {Clock, Timer} from '@banyanfold/core';

export interface AnswerEndsOptions {
  clock: Clock;
  /** Whether it is being decided if the runner of an incarnation crashed. */
  isUndecided(crashId: string): boolean;
  /** Called with the fingerprints of an answer that no crash followed. */
  onAnswered(fingerprints: readonly string[]): void;
}

/** An answer that was complete for its caller. */
interface EndedAnswer {
  fingerprints: readonly string[];
  endedMs: number;
  /** A crash may have ended it, as it has neither a length nor chunks. */
  isDoubtful: boolean;
}

interface Incarnation {
  ended: EndedAnswer[];
  lastSignMs: number;
  timer?: Timer;
}

/** A crash that an answer causes comes while it is sent or shortly after. */
const LIVED_ON_MS = 300;
/** How long a doubtful end counts against its request if a crash is found. */
const DOUBTFUL_MS = 3_000;

/**
 * Decides which complete answers show that their requests don't crash runners:
 * those whose runner lived on. An answer with neither a length nor chunks may
 * have been ended by a crash, so it also needs a later sign of life.
 */
export class AnswerEnds {
  private readonly incarnations = new Map<string, Incarnation>();

  constructor(private readonly options: AnswerEndsOptions) {}

  add(
    crashId: string,
    fingerprints: readonly string[],
    isDoubtful: boolean,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const found = this.incarnations.get(crashId);
    const incarnation = found ?? {ended: [], lastSignMs: nowMs};
    if (!found) this.incarnations.set(crashId, incarnation);
    incarnation.ended.push({fingerprints, endedMs: nowMs, isDoubtful});
    incarnation.timer ??= this.setTimer(crashId, LIVED_ON_MS);
  }

  /** The runner has sent something or accepts connections. */
  noteSignOfLife(crashId: string): void {
    const incarnation = this.incarnations.get(crashId);
    if (incarnation) incarnation.lastSignMs = this.options.clock.nowMs();
  }

  /** Whether nothing has come from the runner since a doubtful end. */
  hasDoubtful(crashId: string): boolean {
    const incarnation = this.incarnations.get(crashId);
    if (!incarnation) return false;
    const {ended, lastSignMs} = incarnation;
    return ended.some(end => end.isDoubtful && end.endedMs >= lastSignMs);
  }

  /**
   * Removes the answers that ended shortly before a crash, or whose end may
   * have been the crash.
   *
   * @returns their fingerprints.
   */
  takeAtCrash(crashId: string, crashedMs: number): Set<string> {
    const incarnation = this.incarnations.get(crashId);
    if (!incarnation) return new Set();
    incarnation.timer?.cancel();
    this.incarnations.delete(crashId);
    const {ended, lastSignMs} = incarnation;
    const suspicious = ended.filter(({endedMs, isDoubtful}) => {
      const isUnconfirmed = isDoubtful && endedMs >= lastSignMs;
      return isUnconfirmed || endedMs >= crashedMs - LIVED_ON_MS;
    });
    return new Set(suspicious.flatMap(({fingerprints}) => fingerprints));
  }

  private setTimer(crashId: string, delayMs: number): Timer {
    return this.options.clock.setTimer(delayMs, () => this.settle(crashId));
  }

  private settle(crashId: string): void {
    const incarnation = this.incarnations.get(crashId);
    if (!incarnation) return;
    incarnation.timer = undefined;
    if (this.options.isUndecided(crashId)) {
      incarnation.timer = this.setTimer(crashId, LIVED_ON_MS);
      return;
    }
    const nowMs = this.options.clock.nowMs();
    const {lastSignMs} = incarnation;
    const left: EndedAnswer[] = [];
    const answered: EndedAnswer[] = [];
    for (const end of incarnation.ended) {
      const isOpen = nowMs - end.endedMs < LIVED_ON_MS;
      const isUnconfirmed = end.isDoubtful && end.endedMs >= lastSignMs;
      if (isOpen) left.push(end);
      else if (!isUnconfirmed) answered.push(end);
      else if (nowMs - end.endedMs < DOUBTFUL_MS) left.push(end);
    }
    incarnation.ended = left;
    if (left.length > 0) {
      incarnation.timer = this.setTimer(crashId, LIVED_ON_MS);
    } else {
      this.incarnations.delete(crashId);
    }
    for (const {fingerprints} of answered) {
      this.options.onAnswered(fingerprints);
    }
  }
}
