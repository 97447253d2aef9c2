import type {UsageReport} from '@banyanfold/decisions';
import type {DemandMeter} from '../placement/demandMeter.js';
import type {OutcomeMeter} from '../runners/outcomeMeter.js';
import type {RateUse} from '../runners/rateUseMeter.js';
import type {DemandBatch} from './peerContract.js';

/**
 * Demand on its way to the holder. What an exchange carried that got no answer
 * is sent again, the same batch under the same id: dropped instead, the holder
 * planned for the demand that its busiest moments left over, and copies came
 * for models that were asked for when it had time to listen.
 */
export class PendingDemand {
  private batch: DemandBatch | undefined;
  private batches = 0;

  /** @param lifeId differs between lives of a process at one address. */
  constructor(
    private readonly meter: DemandMeter,
    private readonly takeUsage: () => UsageReport[],
    private readonly takeRateUse: () => RateUse[],
    private readonly outcomes: OutcomeMeter,
    private readonly lifeId: string,
  ) {}

  /** The batch that was not answered yet, or a new one. */
  nextBatch(): DemandBatch {
    this.batches += this.batch ? 0 : 1;
    this.batch ??= {
      batchId: `${this.lifeId}#${this.batches}`,
      demand: this.meter.take(),
      usage: this.takeUsage(),
      rateUse: this.takeRateUse(),
      outcomes: this.outcomes.take(),
    };
    return this.batch;
  }

  acknowledge(): void {
    this.batch = undefined;
  }
}
