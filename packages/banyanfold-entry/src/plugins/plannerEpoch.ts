import {claimPlanner, rendezvousOrder} from '@banyanfold/log';
import {v4 as uuidV4} from 'uuid';
import type {EntryContext} from '../context.js';

const CLAIM_BACKOFF_MS = 1000;
const MAX_CLAIM_BACKOFF_MS = 30_000;

/**
 * The epoch this entry plans with. Two entries with different VM lists may
 * both think that they plan; agents refuse the lower epoch, so the worst is a
 * few moves too many.
 */
export class PlannerEpoch {
  private epoch = 0;
  private claiming = false;
  private failures = 0;
  private nextClaimMs = 0;

  constructor(private readonly context: EntryContext) {}

  /** 0 while this entry doesn't plan. */
  get current(): number {
    return this.epoch;
  }

  /** Keeps, claims or gives up the epoch, as the VM list has it now. */
  refresh(): void {
    if (!this.isChosen()) {
      this.epoch = 0;
      return;
    }
    // While the log is out the epoch stays good: nobody can claim a higher
    // one, and agents know it already.
    if (this.epoch === 0) this.claim();
  }

  /** An agent has seen a higher one; claims again only after a while. */
  invalidate(): void {
    this.epoch = 0;
    this.backOff();
  }

  private isChosen(): boolean {
    const {view, settings, lifecycle} = this.context;
    const candidates = view.plannerCandidates(lifecycle.leaving);
    return rendezvousOrder('planner', candidates)[0] === settings.vmId;
  }

  private claim(): void {
    const {log, settings, clock} = this.context;
    if (this.claiming || clock.nowMs() < this.nextClaimMs) return;
    this.claiming = true;
    void claimPlanner({log, vmId: settings.vmId, nonce: uuidV4()}).match(
      epoch => {
        this.claiming = false;
        this.failures = 0;
        this.epoch = epoch;
        this.context.logger.info('planner-claimed', {epoch});
      },
      ({code, step, peer}) => {
        this.claiming = false;
        this.backOff();
        this.context.logger.warn('planner-claim-failed', {code, step, peer});
      },
    );
  }

  private backOff(): void {
    const {clock, random} = this.context;
    const ceilingMs = CLAIM_BACKOFF_MS * 2 ** this.failures++;
    const boundedMs = Math.min(MAX_CLAIM_BACKOFF_MS, ceilingMs);
    this.nextClaimMs = clock.nowMs() + random() * boundedMs;
  }
}
