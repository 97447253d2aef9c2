import type {Clock} from '@banyanfold/core';
import {decideTrial, type TrialDecision} from '@banyanfold/decisions';
import type {TrialInput} from './crashContract.js';

/** What the ledger knows of a suspect that asks for a trial. */
export interface SuspectFacts {
  crashes: number;
  isVerdictPending: boolean;
}

interface Trial {
  runnerId: string;
  untilMs: number;
}

/** A suspect that hasn't asked for a run for so long gives way to others. */
const ASKING_MS = 500;

/** The trials under way, at the holder, and who waits for one. */
export class CrashTrials {
  private readonly underWay = new Map<string, Trial>();
  private readonly askedMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Lets a suspect run, or says why it has to wait. */
  permit(
    {fingerprint, runnerIds, forMs}: TrialInput,
    facts: SuspectFacts,
    crashesOf: (fingerprint: string) => number,
  ): TrialDecision {
    const nowMs = this.clock.nowMs();
    this.askedMs.set(fingerprint, nowMs);
    const decision = decideTrial({
      ...facts,
      fingerprint,
      runnerIds,
      activeTrials: new Map(
        [...this.underWay].map(([id, {runnerId}]) => [id, runnerId]),
      ),
      otherCrashCounts: this.othersWaiting(fingerprint).map(crashesOf),
    });
    if (decision.kind === 'run') {
      const {runnerId} = decision;
      this.underWay.set(fingerprint, {runnerId, untilMs: nowMs + forMs});
      this.askedMs.delete(fingerprint);
    }
    return decision;
  }

  /** Whether this life of a runner is the one at which it is tried. */
  isTriedAt(fingerprint: string, life: string): boolean {
    const trial = this.underWay.get(fingerprint);
    // A life is named by its runner and its start.
    return trial !== undefined && life.startsWith(`${trial.runnerId}@`);
  }

  /** @returns whether a trial of it was under way. */
  end(fingerprint: string): boolean {
    this.askedMs.delete(fingerprint);
    return this.underWay.delete(fingerprint);
  }

  /** Ends those of which nothing was heard in their time. */
  endOverdue(): string[] {
    const nowMs = this.clock.nowMs();
    const overdue = [...this.underWay]
      .filter(([, {untilMs}]) => nowMs > untilMs)
      .map(([fingerprint]) => fingerprint);
    for (const fingerprint of overdue) this.end(fingerprint);
    return overdue;
  }

  private othersWaiting(fingerprint: string): string[] {
    const nowMs = this.clock.nowMs();
    for (const [other, atMs] of this.askedMs) {
      if (nowMs - atMs > ASKING_MS) this.askedMs.delete(other);
    }
    return [...this.askedMs.keys()].filter(
      other => other !== fingerprint && !this.underWay.has(other),
    );
  }
}
