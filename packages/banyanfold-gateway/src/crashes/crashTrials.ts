import type {Clock} from '@banyanfold/core';
import {
  decideTrial,
  splitFingerprints,
  type TrialDecision,
} from '@banyanfold/decisions';
import type {TrialInput} from './crashContract.js';

interface Trial {
  runnerId: string;
  untilMs: number;
}

/** A suspect that hasn't requested a trial for so long doesn't delay others. */
const REQUEST_EXPIRY_MS = 500;

export interface PermitTrialOptions {
  isVerdictPending: boolean;
  /** The fewest crashes that one of the suspects of a key has. */
  fewestCrashes(key: string): number;
}

/**
 * Tracks the running trials and the requests that wait for one, at the holder.
 * A trial is identified by the key of its suspects.
 */
export class CrashTrials {
  private readonly running = new Map<string, Trial>();
  private readonly requestedMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Starts a trial, or returns why the request has to wait. */
  permit(
    {fingerprint: key, runnerIds, forMs}: TrialInput,
    {isVerdictPending, fewestCrashes}: PermitTrialOptions,
  ): TrialDecision {
    const nowMs = this.clock.nowMs();
    this.requestedMs.set(key, nowMs);
    const decision = decideTrial({
      fingerprints: splitFingerprints(key),
      crashes: fewestCrashes(key),
      isVerdictPending,
      runnerIds,
      activeTrials: [...this.running].map(([active, {runnerId}]) => ({
        runnerId,
        fingerprints: splitFingerprints(active),
      })),
      others: this.othersWaiting(key).map(other => ({
        crashes: fewestCrashes(other),
        suspects: splitFingerprints(other).length,
      })),
    });
    if (decision.kind === 'run') {
      const {runnerId} = decision;
      this.running.set(key, {runnerId, untilMs: nowMs + forMs});
      this.requestedMs.delete(key);
    }
    return decision;
  }

  /**
   * Ends the trial whose runner crashed with all its suspects in flight.
   *
   * @returns the key of its suspects; undefined if there is none.
   */
  endByCrash(
    crashId: string,
    fingerprints: readonly string[],
  ): string | undefined {
    for (const [key, {runnerId}] of this.running) {
      // A crash is identified by the runner and the start time of its process.
      if (!crashId.startsWith(`${runnerId}@`)) continue;
      const suspects = splitFingerprints(key);
      if (!suspects.every(each => fingerprints.includes(each))) continue;
      this.end(key);
      return key;
    }
    return undefined;
  }

  /** @returns whether the trial was running. */
  end(key: string): boolean {
    this.requestedMs.delete(key);
    return this.running.delete(key);
  }

  /** Ends the trials that exceeded their maximum duration without a result. */
  expireOverdue(): string[] {
    const nowMs = this.clock.nowMs();
    const overdue = [...this.running]
      .filter(([, {untilMs}]) => nowMs > untilMs)
      .map(([key]) => key);
    for (const key of overdue) this.end(key);
    return overdue;
  }

  private othersWaiting(key: string): string[] {
    const nowMs = this.clock.nowMs();
    for (const [other, atMs] of this.requestedMs) {
      if (nowMs - atMs > REQUEST_EXPIRY_MS) this.requestedMs.delete(other);
    }
    return [...this.requestedMs.keys()].filter(
      other => other !== key && !this.running.has(other),
    );
  }
}
