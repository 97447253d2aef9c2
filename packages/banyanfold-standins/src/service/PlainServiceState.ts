import type {Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {FaultSwitches} from '../common/faultSwitches.js';
import {outageRefusal} from '../common/outage.js';
import {pauseFor} from '../common/pauseFor.js';
import {lostAnswer, refuse, type Answer} from '../common/refusal.js';
import {resolveContext, type StateContext} from '../common/standinOptions.js';
import {TruthRecord} from '../common/truth.js';
import {
  serviceFaultsSchema,
  serviceOptionsSchema,
  type ServiceFaults,
  type ServiceOptions,
} from './options.js';

export interface ServiceCall {
  method: string;
  path: string;
  idempotencyKey?: string;
  body?: unknown;
}

export interface ServiceAnswer {
  service: string;
  path: string;
  /** How many calls have taken effect, this one included. */
  calls: number;
}

/** A plain service in memory: each call that takes effect is in the truth. */
export class PlainServiceState {
  readonly faults: FaultSwitches<typeof serviceFaultsSchema>;
  readonly truth: TruthRecord;
  private readonly options: ServiceOptions;
  private readonly clock: Clock;
  private calls = 0;

  constructor(
    options: Partial<ServiceOptions> & {faults?: Partial<ServiceFaults>} = {},
    context: StateContext = {},
  ) {
    this.options = serviceOptionsSchema.parse(options);
    const {clock, random} = resolveContext(context);
    this.faults = new FaultSwitches(
      serviceFaultsSchema,
      options.faults,
      random,
    );
    this.clock = clock;
    this.truth = new TruthRecord(clock, context.onTruth);
  }

  async call(call: ServiceCall): Promise<Answer<ServiceAnswer>> {
    await pauseFor(this.clock, this.faults.get().requestDelayMs);
    const refusal = outageRefusal(this.faults.get().outage);
    if (refusal) return refusal;
    if (this.faults.takeNext('failNext')) return refuse(500, 'failed');
    this.calls += 1;
    const {name: service} = this.options;
    const answer = {service, path: call.path, calls: this.calls};
    this.truth.add('call', {...call});
    await pauseFor(this.clock, this.faults.get().answerDelayMs);
    if (this.losesAnswer()) return this.loseAnswer(call);
    return ok(answer);
  }

  private losesAnswer(): boolean {
    if (this.faults.takeNext('loseNextAnswers')) return true;
    return this.faults.happens('answerLossProbability');
  }

  private loseAnswer({path}: ServiceCall): Promise<Answer<ServiceAnswer>> {
    this.truth.add('answer-lost', {path});
    return lostAnswer(this.faults.get().lostAnswersHang);
  }
}
