import type {Clock} from '@banyanfold/core';
import {decideTrial, type TrialDecision} from '@banyanfold/decisions';
import type {TrialInput} from './crashContract.js';

/** What the ledger knows about a suspect that requests a trial. */
export interface SuspectFacts {
  crashes: number;
  isVerdictPending: boolean;
}

interface Trial {
  runnerId: string;
  untilMs: number;
}

/** A suspect that hasn't requested a trial for so long doesn't delay others. */
const REQUEST_EXPIRY_MS = 500;

/** Tracks the running trials and the suspects that wait, at the holder. */
export class CrashTrials {
  private readonly running = new Map<string, Trial>();
  private readonly requestedMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Starts a trial of a suspect, or returns why it has to wait. */
  permit(
    {fingerprint, runnerIds, forMs}: TrialInput,
    facts: SuspectFacts,
    crashesOf: (fingerprint: string) => number,
  ): TrialDecision {
    const nowMs = this.clock.nowMs();
    this.requestedMs.set(fingerprint, nowMs);
    const decision = decideTrial({
      ...facts,
      fingerprint,
      runnerIds,
      activeTrials: new Map(
        [...this.running].map(([id, {runnerId}]) => [id, runnerId]),
      ),
      otherCrashCounts: this.othersWaiting(fingerprint).map(crashesOf),
    });
    if (decision.kind === 'run') {
      const {runnerId} = decision;
      this.running.set(fingerprint, {runnerId, untilMs: nowMs + forMs});
      this.requestedMs.delete(fingerprint);
    }
    return decision;
  }

  /** Whether the crash happened at the runner of the request's trial. */
  isTrialCrash(fingerprint: string, crashId: string): boolean {
    const trial = this.running.get(fingerprint);
    // A crash is identified by the runner and the start time of its process.
    return trial !== undefined && crashId.startsWith(`${trial.runnerId}@`);
  }

  /** @returns whether a trial of the request was running. */
  end(fingerprint: string): boolean {
    this.requestedMs.delete(fingerprint);
    return this.running.delete(fingerprint);
  }

  /** Ends the trials that exceeded their maximum duration without a result. */
  expireOverdue(): string[] {
    const nowMs = this.clock.nowMs();
    const overdue = [...this.running]
      .filter(([, {untilMs}]) => nowMs > untilMs)
      .map(([fingerprint]) => fingerprint);
    for (const fingerprint of overdue) this.end(fingerprint);
    return overdue;
  }

  private othersWaiting(fingerprint: string): string[] {
    const nowMs = this.clock.nowMs();
    for (const [other, atMs] of this.requestedMs) {
      if (nowMs - atMs > REQUEST_EXPIRY_MS) this.requestedMs.delete(other);
    }
    return [...this.requestedMs.keys()].filter(
      other => other !== fingerprint && !this.running.has(other),
    );
  }
}
