import type {Clock, Timer} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {FaultSwitches} from '../common/faultSwitches.js';
import {outageRefusal} from '../common/outage.js';
import {pauseFor} from '../common/pauseFor.js';
import {RateLimit} from '../common/rateLimit.js';
import {refuse, type Answer} from '../common/refusal.js';
import {resolveContext, type StateContext} from '../common/standinOptions.js';
import {TruthRecord} from '../common/truth.js';
import {
  weightStoreFaultsSchema,
  weightStoreOptionsSchema,
  type WeightStoreFaults,
  type WeightStoreOptions,
} from './options.js';

const MS_PER_SECOND = 1000;

export interface LoadGrant {
  loadId: string;
  durationMs: number;
}

/** Where engines get weights: the store itself or its HTTP client. */
export interface WeightSource {
  beginLoad(artifact: string, bytes: number): Promise<Answer<LoadGrant>>;
  endLoad(loadId: string): Promise<void>;
}

/** The rate-limited weight store in memory. */
export class WeightStoreState implements WeightSource {
  readonly faults: FaultSwitches<typeof weightStoreFaultsSchema>;
  readonly truth: TruthRecord;
  private readonly options: WeightStoreOptions;
  private readonly clock: Clock;
  private readonly rateLimit: RateLimit;
  private readonly expiries = new Map<string, Timer>();
  private lastLoad = 0;

  constructor(
    options: Partial<WeightStoreOptions> & {
      faults?: Partial<WeightStoreFaults>;
    } = {},
    context: StateContext = {},
  ) {
    this.options = weightStoreOptionsSchema.parse(options);
    this.faults = new FaultSwitches(weightStoreFaultsSchema, options.faults);
    this.clock = resolveContext(context).clock;
    this.truth = new TruthRecord(this.clock, context.onTruth);
    this.rateLimit = new RateLimit(this.clock, this.options.loadsPerSecond);
  }

  get loadsInProgress(): number {
    return this.expiries.size;
  }

  async beginLoad(artifact: string, bytes: number): Promise<Answer<LoadGrant>> {
    const {answerDelayMs} = this.faults.get();
    await pauseFor(this.clock, answerDelayMs);
    const refusal = outageRefusal(this.faults.get().outage);
    if (refusal) return refusal;
    if (this.expiries.size >= this.options.loadsAtOnce) {
      return this.refuseLoad(artifact, 'loads-at-once', MS_PER_SECOND);
    }
    const retryAfterMs = this.rateLimit.take();
    if (retryAfterMs > 0) {
      return this.refuseLoad(artifact, 'loads-per-second', retryAfterMs);
    }
    return ok(this.grant(artifact, bytes));
  }

  async endLoad(loadId: string): Promise<void> {
    this.expiries.get(loadId)?.cancel();
    if (this.expiries.delete(loadId)) this.truth.add('load-ended', {loadId});
  }

  private grant(artifact: string, bytes: number): LoadGrant {
    const {bytesPerSecond, baseLoadMs, expiryFactor} = this.options;
    const transferMs = (bytes / bytesPerSecond) * MS_PER_SECOND;
    const durationMs = (baseLoadMs + transferMs) * this.faults.get().slowFactor;
    const loadId = `load-${++this.lastLoad}`;
    const expiry = this.clock.setTimer(durationMs * expiryFactor, () => {
      this.expiries.delete(loadId);
    });
    this.expiries.set(loadId, expiry);
    this.truth.add('load-granted', {loadId, artifact, bytes, durationMs});
    return {loadId, durationMs};
  }

  private refuseLoad(artifact: string, code: string, retryAfterMs: number) {
    this.truth.add('load-refused', {artifact, code});
    return refuse(429, code, {retryAfterMs});
  }
}
