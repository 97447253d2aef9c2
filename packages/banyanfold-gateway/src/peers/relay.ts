import type {RelayCandidate} from '@banyanfold/decisions';
import type {Clock} from '@banyanfold/core';
import type {UsageMeter} from '../callers/usageMeter.js';
import type {CrashSuspects} from '../crashes/crashSuspects.js';
import {CopyRevisions} from '../placement/copyRevisions.js';
import type {DemandMeter} from '../placement/demandMeter.js';
import {EntryLoads, type EntryLoad} from '../placement/entryLoads.js';
import {SeenBatches} from '../placement/seenBatches.js';
import type {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import type {OutcomeMeter} from '../runners/outcomeMeter.js';
import type {
  DemandBatch,
  ExchangeInput,
  ExchangeOutput,
  NotHolder,
  ToldRunner,
} from './peerContract.js';

export interface RelayOptions {
  clock: Clock;
  /** Address of this process's internal listener. */
  address: string;
  /** Where this process counts its own demand; that of its group adds to it. */
  demand: DemandMeter;
  usage: UsageMeter;
  outcomes: OutcomeMeter;
  rateLimits: RunnerRateLimits;
  suspects: CrashSuspects;
  /** What this process itself has open. */
  ownLoad(): EntryLoad;
  holderAddress(): string | undefined;
  /** Version in force here; 0 for none. */
  configVersion(): number;
  /** An entry of the group has this version, and this process an older one. */
  onNewerConfig(version: number, peer: string): void;
}

/** The holder's last word, as this process itself heard it. */
interface HeardWord {
  word: ExchangeOutput;
  atMs: number;
}

/**
 * An older word than this is not passed on, in ms: three exchanges. Who asks
 * goes to the holder then.
 */
const WORD_FRESH_MS = 800;
/** Four exchanges; one that left the group is told twice for no longer. */
const MEMBER_LOST_MS = 1_000;

/**
 * Speaks with the holder of orders for a group of entries: it adds up what they
 * tell, and tells them what the holder last said. It relays for whoever asks, as
 * long as the holder itself has spoken to it lately, so that a word is passed on
 * once and never goes round.
 */
export class Relay {
  private readonly loads = new EntryLoads(MEMBER_LOST_MS);
  private readonly batches = new SeenBatches();
  private readonly revisions: CopyRevisions;
  private readonly runners = new Map<string, ToldRunner>();
  private heard: HeardWord | undefined;
  private newestConfig = 0;
  private newestRunnersChange = 0;

  constructor(private readonly options: RelayOptions) {
    const {address, clock} = options;
    this.revisions = new CopyRevisions(`${address}#${clock.wallMs()}`);
  }

  /**
   * Another process has spoken as the holder; a word that was passed on isn't
   * kept. Its own word of when it was the holder itself must not be either: it
   * told all others to leave the group of the lease, which another had by then.
   */
  noteWord(word: ExchangeOutput): void {
    const {isWhole, runners, gone} = word.copies;
    if (isWhole) this.runners.clear();
    for (const runner of runners) this.runners.set(runner.runnerId, runner);
    for (const runnerId of gone) this.runners.delete(runnerId);
    this.revisions.update([...this.runners.values()]);
    this.heard = {word, atMs: this.options.clock.nowMs()};
  }

  /** What this process tells the holder: its own, with that of its group. */
  load(own: RelayCandidate): EntryLoad {
    const {clock, address, ownLoad} = this.options;
    const nowMs = clock.nowMs();
    this.loads.record(address, ownLoad(), nowMs);
    const load = this.loads.sum(nowMs);
    const others = load.members.filter(m => m.address !== own.address);
    return {...load, members: [own, ...others]};
  }

  /** The highest version and position that this process and its group know. */
  newest(own: {configVersion: number; runnersChange: number}) {
    return {
      configVersion: Math.max(own.configVersion, this.newestConfig),
      runnersChange: Math.max(own.runnersChange, this.newestRunnersChange),
    };
  }

  /** Open work and requests of the group, without an entry's own. */
  groupWithout(entry: string) {
    const nowMs = this.options.clock.nowMs();
    return {
      work: this.loads.openWorkExcept(entry, nowMs),
      requests: this.loads.openRequestsExcept(entry, nowMs),
    };
  }

  private addBatch(batch: DemandBatch): void {
    const {demand, usage, outcomes, rateLimits} = this.options;
    demand.add(batch.demand);
    usage.add(batch.usage ?? []);
    outcomes.add(batch.outcomes ?? []);
    rateLimits.meter.add(batch.rateUse ?? []);
  }

  /** This process tells them on as its own. */
  private noteRateLimits({rateLimits = []}: ExchangeInput): void {
    for (const limit of rateLimits) this.options.rateLimits.addRelayed(limit);
  }

  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {clock, suspects, address, ownLoad, holderAddress} = this.options;
    const nowMs = clock.nowMs();
    const {heard} = this;
    if (!heard || nowMs - heard.atMs > WORD_FRESH_MS) {
      return {kind: 'not-holder', holderAddress: holderAddress()};
    }
    const {entry, batch, configVersion, runnersChange} = input;
    this.loads.record(entry, input, nowMs);
    this.loads.record(address, ownLoad(), nowMs);
    if (this.batches.addIfNew(entry, batch.batchId)) this.addBatch(batch);
    this.noteRateLimits(input);
    suspects.relay(input.crashes);
    if (Object.keys(input.waiting).length > 0) this.options.demand.onWaiting();
    if (configVersion > this.options.configVersion()) {
      this.options.onNewerConfig(configVersion, entry);
    }
    this.newestConfig = Math.max(this.newestConfig, configVersion);
    this.newestRunnersChange = Math.max(
      this.newestRunnersChange,
      runnersChange,
    );
    const {word, atMs} = heard;
    const group = this.groupWithout(entry);
    return {
      ...word,
      ageMs: word.ageMs + nowMs - atMs,
      configVersion: Math.max(word.configVersion, this.newestConfig),
      runnersChange: Math.max(word.runnersChange, this.newestRunnersChange),
      copies: this.revisions.since(input.known),
      peersWork: added(word.peersWork, group.work),
      peersRequests: added(word.peersRequests, group.requests),
      suspects: suspects.tell(input.knownSuspects),
    };
  }
}

/** @example added({a: 1}, {a: 2, b: 3}) // {a: 3, b: 3} */
export function added(
  one: Readonly<Record<string, number>>,
  other: Readonly<Record<string, number>>,
): Record<string, number> {
  const sums: Record<string, number> = {...one};
  for (const [key, value] of Object.entries(other)) {
    sums[key] = (sums[key] ?? 0) + value;
  }
  return sums;
}
