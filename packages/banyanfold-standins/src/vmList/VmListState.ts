import type {Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {z} from 'zod';
import {FaultSwitches} from '../common/faultSwitches.js';
import {outageRefusal} from '../common/outage.js';
import {pauseFor} from '../common/pauseFor.js';
import {refuse, type Answer} from '../common/refusal.js';
import {resolveContext, type StateContext} from '../common/standinOptions.js';
import {TruthRecord} from '../common/truth.js';
import {
  listedVmSchema,
  vmListFaultsSchema,
  vmListOptionsSchema,
  type ListedVm,
  type VmListFaults,
  type VmListOptions,
} from './options.js';

export interface VmListPage {
  asOfMs: number;
  vms: ListedVm[];
}

interface Version {
  sinceMs: number;
  vms: ListedVm[];
}

/** The platform's list of VMs in memory, with its lag. */
export class VmListState {
  readonly faults: FaultSwitches<typeof vmListFaultsSchema>;
  readonly truth: TruthRecord;
  private readonly clock: Clock;
  private readonly versions: Version[];

  constructor(
    options: z.input<typeof vmListOptionsSchema> & {
      faults?: Partial<VmListFaults>;
    } = {},
    context: StateContext = {},
  ) {
    const {vms}: VmListOptions = vmListOptionsSchema.parse(options);
    this.faults = new FaultSwitches(vmListFaultsSchema, options.faults);
    this.clock = resolveContext(context).clock;
    this.truth = new TruthRecord(this.clock, context.onTruth);
    this.versions = [{sinceMs: Number.NEGATIVE_INFINITY, vms}];
  }

  /** Replaces the list; readers see it after the lag. */
  setVms(vms: unknown): Answer<ListedVm[]> {
    const checked = z.array(listedVmSchema).safeParse(vms);
    if (!checked.success) return refuse(400, 'bad-vms');
    this.versions.push({sinceMs: this.clock.wallMs(), vms: checked.data});
    this.truth.add('vms-set', {vms: checked.data});
    return ok(checked.data);
  }

  async list(): Promise<Answer<VmListPage>> {
    const {outage, lagMs, answerDelayMs} = this.faults.get();
    const refusal = outageRefusal(outage);
    if (refusal) return refusal;
    const asOfMs = this.clock.wallMs() - lagMs;
    const seen = this.versions.findLast(({sinceMs}) => sinceMs <= asOfMs);
    await pauseFor(this.clock, answerDelayMs);
    return ok({asOfMs, vms: seen?.vms ?? []});
  }
}
