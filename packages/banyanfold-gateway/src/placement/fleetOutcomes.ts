import type {Clock, Logger} from '@banyanfold/core';
import {
  decideEjections,
  SlidingWindow,
  type EjectionOptions,
} from '@banyanfold/decisions';
import type {RunnerOutcome} from '../runners/outcomeMeter.js';
import type {FleetView} from '../view/fleetView.js';

/** Older outcomes are not evidence of a runner's current state. */
const WINDOW_MS = 3_000;
const UPDATE_INTERVAL_MS = 250;
/** Faults of a runner last some seconds; after this time it is tried again. */
const EJECTION_MS = 2_000;
const EJECTION_OPTIONS: EjectionOptions = {
  minOutcomes: 6,
  minPeers: 3,
  failureMargin: 0.25,
  // Entries don't report response times.
  slowFactor: Number.POSITIVE_INFINITY,
  slowMarginMs: Number.POSITIVE_INFINITY,
  maxEjectedShare: 0.4,
  ejectionMs: EJECTION_MS,
};

interface RunnerAccount {
  successes: SlidingWindow;
  failures: SlidingWindow;
  ejectedUntilMs: number;
}

/**
 * Aggregates the outcomes of each runner over all entries. With many entries,
 * each sees too few outcomes of one runner to distinguish a failing runner from
 * its peers. Together they can within a second.
 */
export class FleetOutcomes {
  private readonly accounts = new Map<string, RunnerAccount>();
  private updatedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly deps: {clock: Clock; logger: Logger; view: FleetView},
  ) {}

  record(outcomes: readonly RunnerOutcome[]): void {
    const nowMs = this.deps.clock.nowMs();
    for (const {runnerId, successes, failures} of outcomes) {
      const account = this.getOrCreate(runnerId);
      account.successes.add(successes, nowMs);
      account.failures.add(failures, nowMs);
    }
  }

  /** Returns the remaining time of each ejection, by runner. */
  ejections(): Record<string, number> {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.updatedMs >= UPDATE_INTERVAL_MS) this.update(nowMs);
    const remainingMs: Record<string, number> = {};
    for (const [runnerId, {ejectedUntilMs}] of this.accounts) {
      const leftMs = Math.round(ejectedUntilMs - nowMs);
      if (leftMs > 0) remainingMs[runnerId] = leftMs;
    }
    return remainingMs;
  }

  private update(nowMs: number): void {
    const {view, logger} = this.deps;
    this.updatedMs = nowMs;
    for (const runnerId of this.accounts.keys()) {
      if (!view.runner(runnerId)) this.accounts.delete(runnerId);
    }
    const outcomes = [...this.accounts].map(([vmId, account]) => ({
      vmId,
      successes: account.successes.sum(nowMs),
      failures: account.failures.sum(nowMs),
      firstTokenMs: 0,
      ejectedUntilMs: account.ejectedUntilMs,
      peerGroup: view.runner(vmId)?.service,
    }));
    const {ejected} = decideEjections(outcomes, nowMs, EJECTION_OPTIONS);
    for (const {vmId, untilMs, reason} of ejected) {
      this.accounts.set(vmId, {
        ...this.createAccount(),
        ejectedUntilMs: untilMs,
      });
      logger.warn('runner-ejected', {runner: vmId, reason, by: 'fleet'});
    }
  }

  private getOrCreate(runnerId: string): RunnerAccount {
    let account = this.accounts.get(runnerId);
    if (!account) {
      account = this.createAccount();
      this.accounts.set(runnerId, account);
    }
    return account;
  }

  private createAccount(): RunnerAccount {
    return {
      successes: new SlidingWindow(WINDOW_MS),
      failures: new SlidingWindow(WINDOW_MS),
      ejectedUntilMs: 0,
    };
  }
}
