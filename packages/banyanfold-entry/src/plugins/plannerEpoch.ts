import {runInBackground, type BanyanfoldError} from '@banyanfold/core';
import type {Result} from 'neverthrow';
import {claimPlanner, rendezvousOrder} from '@banyanfold/log';
import {v4 as uuidV4} from 'uuid';
import type {EntryContext} from '../context.js';

const CLAIM_BACKOFF_MS = 1000;
const MAX_CLAIM_BACKOFF_MS = 30_000;

/**
 * Claims and holds the epoch under which this entry plans. Two entries with
 * different VM lists may both consider themselves the planner; agents refuse
 * the lower epoch, so the worst effect is a few superfluous moves.
 */
export class PlannerEpoch {
  private epoch = 0;
  private claiming = false;
  private failures = 0;
  private nextClaimMs = 0;

  constructor(private readonly context: EntryContext) {}

  /** The current epoch; 0 while this entry isn't the planner. */
  get current(): number {
    return this.epoch;
  }

  /** Keeps, claims or drops the epoch according to the current VM list. */
  refresh(): void {
    if (!this.isSelected()) {
      this.epoch = 0;
      return;
    }
    // The epoch stays valid while the log is unavailable: no entry can claim a
    // higher one, and the agents already know it.
    if (this.epoch === 0) this.claim();
  }

  /** Drops the epoch after an agent has seen a higher one; backs off. */
  invalidate(): void {
    this.epoch = 0;
    this.backOff();
  }

  private isSelected(): boolean {
    const {view, settings, lifecycle} = this.context;
    const candidates = view.plannerCandidates(lifecycle.leaving);
    return rendezvousOrder('planner', candidates)[0] === settings.vmId;
  }

  private claim(): void {
    const {log, logger, settings, clock} = this.context;
    if (this.claiming || clock.nowMs() < this.nextClaimMs) return;
    this.claiming = true;
    runInBackground({logger, step: 'claim-planner'}, async () => {
      try {
        const nonce = uuidV4();
        this.noteClaim(await claimPlanner({log, vmId: settings.vmId, nonce}));
      } finally {
        this.claiming = false;
      }
    });
  }

  private noteClaim(claimed: Result<number, BanyanfoldError>): void {
    const {logger} = this.context;
    if (claimed.isErr()) {
      const {code, step, peer} = claimed.error;
      this.backOff();
      logger.warn('planner-claim-failed', {code, step, peer});
      return;
    }
    this.failures = 0;
    this.epoch = claimed.value;
    logger.info('planner-claimed', {epoch: claimed.value});
  }

  private backOff(): void {
    const {clock, random} = this.context;
    const uncappedMs = CLAIM_BACKOFF_MS * 2 ** this.failures++;
    const cappedMs = Math.min(MAX_CLAIM_BACKOFF_MS, uncappedMs);
    this.nextClaimMs = clock.nowMs() + random() * cappedMs;
  }
}
