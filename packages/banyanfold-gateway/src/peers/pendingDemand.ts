import type {UsageReport} from '@banyanfold/decisions';
import type {DemandMeter} from '../placement/demandMeter.js';
import type {ShareReport} from '../callers/shareMeter.js';
import type {OutcomeMeter} from '../runners/outcomeMeter.js';
import type {RateUse} from '../runners/rateUseMeter.js';
import type {DemandBatch} from './peerContract.js';

/**
 * Holds the batch of demand that is in flight to the holder. An unanswered
 * batch is sent again under the same id. If it were dropped, the holder would
 * miss the demand of its busiest moments, and would load copies only for the
 * models requested while it had time to answer.
 */
export class PendingDemand {
  private batch: DemandBatch | undefined;
  private batches = 0;

  /** @param processId differs between process starts at the same address. */
  constructor(
    private readonly meter: DemandMeter,
    private readonly takeUsage: () => UsageReport[],
    private readonly takeRateUse: () => RateUse[],
    private readonly outcomes: OutcomeMeter,
    private readonly processId: string,
    private readonly takeShares: () => Partial<ShareReport> = () => ({}),
  ) {}

  /** Returns the unacknowledged batch, or a new one if there is none. */
  nextBatch(): DemandBatch {
    this.batches += this.batch ? 0 : 1;
    this.batch ??= {
      batchId: `${this.processId}#${this.batches}`,
      demand: this.meter.take(),
      usage: this.takeUsage(),
      rateUse: this.takeRateUse(),
      outcomes: this.outcomes.take(),
      ...this.takeShares(),
    };
    return this.batch;
  }

  /** Marks the last batch as received. */
  acknowledge(): void {
    this.batch = undefined;
  }
}
