import type {RelayCandidate} from '@banyanfold/decisions';
import type {Clock} from '@banyanfold/core';
import type {ShareMeter} from '../callers/shareMeter.js';
import type {UsageMeter} from '../callers/usageMeter.js';
import type {CrashSuspects} from '../crashes/crashSuspects.js';
import {CopyRevisions} from '../placement/copyRevisions.js';
import {addCounts} from '../placement/counts.js';
import type {DemandMeter} from '../placement/demandMeter.js';
import {EntryLoads, type EntryLoad} from '../placement/entryLoads.js';
import {SeenBatches} from '../placement/seenBatches.js';
import type {ReplicaList} from '../streams/replicaList.js';
import type {RunnerCapacities} from '../runners/runnerCapacities.js';
import type {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import type {OutcomeMeter} from '../runners/outcomeMeter.js';
import type {FleetView} from '../view/fleetView.js';
import type {
  DemandBatch,
  ExchangeInput,
  ExchangeOutput,
  NotHolder,
  RunnerCopies,
} from './peerContract.js';
import {emptyRecord} from '../emptyRecord.js';

export interface RelayOptions {
  clock: Clock;
  /** Address of this process's internal listener. */
  address: string;
  /** Counts the demand of this process; the group's demand is added to it. */
  demand: DemandMeter;
  usage: UsageMeter;
  shares: ShareMeter;
  outcomes: OutcomeMeter;
  rateLimits: RunnerRateLimits;
  capacities: RunnerCapacities;
  suspects: CrashSuspects;
  replicaList: ReplicaList;
  view: KnownDepartures;
  /** Load of this process, without its group. */
  ownLoad(): EntryLoad;
  holderAddress(): string | undefined;
  /** Version in force in this process; 0 if there is none. */
  configVersion(): number;
  /**
   * Called when an entry of the group has a newer version than this process.
   */
  onNewerConfig(version: number, peer: string): void;
}

/** The runners that are leaving or gone. */
export type KnownDepartures = Pick<FleetView, 'noteDepartures' | 'departures'>;

/** The last state received from the holder, and when it was asked for. */
interface HolderState {
  output: ExchangeOutput;
  atMs: number;
}

/**
 * Maximum age of a state that is forwarded: three exchanges. With an older one,
 * the requesting entry is sent to the holder.
 */
const MAX_STATE_AGE_MS = 800;
/**
 * Four exchanges. The load of an entry that has left the group is counted twice
 * for at most this long.
 */
const MEMBER_TIMEOUT_MS = 1_000;

/**
 * Relays between the holder and a group of entries: it aggregates the state
 * that the entries send, and forwards to them the holder's last state. It
 * serves any entry as long as it has recent state from the holder itself, so a
 * state is forwarded at most once and never circulates between relays.
 */
export class Relay {
  private readonly loads = new EntryLoads(MEMBER_TIMEOUT_MS);
  private readonly batches = new SeenBatches();
  private readonly revisions: CopyRevisions;
  private readonly runners = new Map<string, RunnerCopies>();
  private holderState: HolderState | undefined;
  private newestConfig = 0;
  private newestRunnersChange = 0;

  constructor(private readonly options: RelayOptions) {
    const {address, clock} = options;
    this.revisions = new CopyRevisions(`${address}#${clock.wallMs()}`);
  }

  /**
   * Stores a state received from another process that is the holder, never one
   * that was forwarded. Nor may it be a state that this process produced while
   * it was the holder itself: once forwarded, it made all others leave the
   * lease group although another process held the lease by then.
   *
   * @param sentMs when the holder was asked for it.
   */
  noteHolderState(
    output: ExchangeOutput,
    sentMs = this.options.clock.nowMs(),
  ): void {
    const {isWhole, runners, gone} = output.copies;
    if (isWhole) this.runners.clear();
    for (const runner of runners) this.runners.set(runner.runnerId, runner);
    for (const runnerId of gone) this.runners.delete(runnerId);
    this.revisions.update([...this.runners.values()]);
    this.holderState = {output, atMs: sentMs};
  }

  /** Load of this process and its group, as it is sent to the holder. */
  groupLoad(own: RelayCandidate): EntryLoad {
    const {clock, address, ownLoad} = this.options;
    const nowMs = clock.nowMs();
    this.loads.record(address, ownLoad(), nowMs);
    const load = this.loads.sum(nowMs);
    const others = load.members.filter(m => m.address !== own.address);
    return {...load, members: [own, ...others]};
  }

  /** Highest version and position known to this process and its group. */
  newestVersions(own: {configVersion: number; runnersChange: number}) {
    return {
      configVersion: Math.max(own.configVersion, this.newestConfig),
      runnersChange: Math.max(own.runnersChange, this.newestRunnersChange),
    };
  }

  /** Open work and requests of the group, excluding those of one entry. */
  groupLoadExcluding(entry: string) {
    const nowMs = this.options.clock.nowMs();
    return {
      work: this.loads.openWorkExcept(entry, nowMs),
      requests: this.loads.openRequestsExcept(entry, nowMs),
    };
  }

  private addBatch(batch: DemandBatch): void {
    const {clock, demand, usage, shares, outcomes, rateLimits} = this.options;
    demand.add(batch.demand);
    usage.add(batch.usage ?? [], clock.nowMs());
    shares.add(batch);
    outcomes.add(batch.outcomes ?? []);
    rateLimits.meter.add(batch.rateUse ?? []);
  }

  /** Adds the limits to those that this process reports as its own. */
  private noteRateLimits({rateLimits = []}: ExchangeInput): void {
    for (const limit of rateLimits) this.options.rateLimits.addRelayed(limit);
  }

  /** Handles an entry's exchange; without recent state it names the holder. */
  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {clock, suspects, address, ownLoad, holderAddress, view} =
      this.options;
    const {replicaList} = this.options;
    const nowMs = clock.nowMs();
    const {holderState} = this;
    if (!holderState || nowMs - holderState.atMs > MAX_STATE_AGE_MS) {
      return {kind: 'not-holder', holderAddress: holderAddress()};
    }
    const {entry, batch, configVersion, runnersChange} = input;
    this.loads.record(entry, input, nowMs);
    this.loads.record(address, ownLoad(), nowMs);
    if (this.batches.addIfNew(entry, batch.batchId)) this.addBatch(batch);
    this.noteRateLimits(input);
    this.options.capacities.addRelayed(input.runnerSpeeds ?? []);
    view.noteDepartures(input);
    suspects.forward(input.crashes);
    if (Object.keys(input.waiting).length > 0) this.options.demand.onWaiting();
    if (configVersion > this.options.configVersion()) {
      this.options.onNewerConfig(configVersion, entry);
    }
    this.newestConfig = Math.max(this.newestConfig, configVersion);
    this.newestRunnersChange = Math.max(
      this.newestRunnersChange,
      runnersChange,
    );
    const {output, atMs} = holderState;
    const group = this.groupLoadExcluding(entry);
    return {
      ...output,
      ageMs: output.ageMs + nowMs - atMs,
      configVersion: Math.max(output.configVersion, this.newestConfig),
      runnersChange: Math.max(output.runnersChange, this.newestRunnersChange),
      copies: this.revisions.since(input.known),
      peersWork: sumByKey(output.peersWork, group.work),
      peersRequests: sumByKey(output.peersRequests, group.requests),
      ...view.departures(),
      suspects: suspects.suspectListFor(input.knownSuspects),
      replicas: replicaList.updateFor(input.knownReplicas),
    };
  }
}

/**
 * Adds two records of numbers, key by key.
 *
 * @example sumByKey({a: 1}, {a: 2, b: 3}) // {a: 3, b: 3}
 */
export function sumByKey(
  one: Readonly<Record<string, number>>,
  other: Readonly<Record<string, number>>,
): Record<string, number> {
  const sums = emptyRecord<number>();
  addCounts(sums, one);
  addCounts(sums, other);
  return sums;
}
