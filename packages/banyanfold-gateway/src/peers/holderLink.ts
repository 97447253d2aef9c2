import {relayOf, type RelayCandidate} from '@banyanfold/decisions';
import type {Clock, Logger, Metrics, Timer} from '@banyanfold/core';
import type {EnsureAdapter, PermitTrial} from '../context.js';
import type {TrialInput, TrialOutput} from '../crashes/crashContract.js';
import type {CrashSuspects} from '../crashes/crashSuspects.js';
import type {UsageAccounts} from '../callers/usageAccounts.js';
import type {DemandMeter} from '../placement/demandMeter.js';
import type {LoadRate} from '../placement/loadRate.js';
import type {KnownRevision} from '../placement/copyRevisions.js';
import type {EntryLoad} from '../placement/entryLoads.js';
import type {HeldCopies} from '../runners/heldCopies.js';
import type {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import type {RunnerStates} from '../runners/runnerStates.js';
import type {GatewayOptions} from '../options.js';
import type {LeaseSource} from '../types.js';
import {added, Relay} from './relay.js';
import {LeaseTurn, placeInLine} from './leaseTurn.js';
import {PeerClients} from './peerClients.js';
import {UnansweredDemand} from './unansweredDemand.js';
import {urgentIntervalMs} from './urgentIntervalMs.js';
import type {
  EnsureInput,
  EnsureOutput,
  ExchangeInput,
  ExchangeOutput,
  HolderHandlers,
  NotHolder,
} from './peerContract.js';

export interface HolderLinkOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  options: GatewayOptions;
  lease: LeaseSource;
  /** This process's own holder, for when it has the lease. */
  own: HolderHandlers;
  /** This process, as its peers see it. */
  self: RelayCandidate;
  demand: DemandMeter;
  usage: UsageAccounts;
  suspects: CrashSuspects;
  states: RunnerStates;
  rateLimits: RunnerRateLimits;
  held: HeldCopies;
  loadRate: LoadRate;
  onEntries(count: number): void;
  configVersion(): number;
  /** A peer has this configuration, and this process an older one. */
  onNewerConfig(version: number, peer: string): void;
  /** The configuration in force here was the newest one at that time, in ms. */
  onConfigCurrent(atMs: number): void;
  runnersChange(): number;
  /** A peer has read the runners up to this change. */
  onRunnersChange(runnersChange: number): void;
  random(): number;
}

/** Three exchanges; after that this process reads for itself again. */
const RELAY_FRESH_MS = 800;
/**
 * The holder reads the runners once a second; its word is an exchange older at a
 * relay. A runner that leaves must get nothing more after two seconds.
 */
const RELAY_READ_AGE_MS = 1_700;
/** Six exchanges; a lease that changes hands takes less, as a rule. */
const WORD_LOST_MS = 1_500;
/**
 * A relay that gave no word is left alone for so long; the holder hears no more
 * of one that is gone for two seconds, and names another.
 */
const RELAY_PAUSE_MS = 3_000;

/** How an entry speaks to the holder of orders, itself, directly or by a relay. */
export class HolderLink {
  private readonly relay: Relay;
  private readonly clients: PeerClients;
  private readonly unanswered: UnansweredDemand;
  private timer: Timer | undefined;
  private wasHeard = true;
  private known: KnownRevision | undefined;
  private lastWord: {atMs: number; readAgeMs: number} | undefined;
  private lastMs = 0;
  private heardMs = 0;
  /** As the holder last said, in the order in which they take the lease. */
  private standbys: readonly string[] = [];
  private readonly turn = new LeaseTurn();
  private entries = 1;
  /** In this failure domain, as the holder last said. */
  private relays: readonly string[] = [];
  private relayPausedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: HolderLinkOptions) {
    const {clock, self, demand, usage, suspects, lease, options} = deps;
    this.relay = new Relay({
      clock,
      address: self.address,
      demand,
      usage: usage.meter,
      outcomes: deps.states.outcomes,
      rateLimits: deps.rateLimits,
      suspects,
      ownLoad: () => this.ownLoad(),
      configVersion: () => deps.configVersion(),
      onNewerConfig: (version, peer) => deps.onNewerConfig(version, peer),
      holderAddress: () => lease.current().holderAddress,
    });
    this.clients = new PeerClients(
      options.peerTimeoutMs,
      options.adapterTimeoutMs,
    );
    const lifeId = `${self.address}#${clock.wallMs()}`;
    this.unanswered = new UnansweredDemand(
      demand,
      () => usage.takeReports(),
      () => deps.rateLimits.takeReports(),
      deps.states.outcomes,
      lifeId,
    );
  }

  start(): void {
    this.deps.demand.onWaiting = () => this.exchangeSoon();
    this.deps.suspects.onNews = () => this.exchangeSoon();
    void this.run();
  }

  stop(): void {
    this.timer?.cancel();
    this.clients.close();
  }

  /** Answers an entry: as the holder, or else with the holder's last word. */
  readonly answer = (input: ExchangeInput): ExchangeOutput | NotHolder => {
    const {lease, own} = this.deps;
    return lease.current().owns
      ? own.exchange(input)
      : this.relay.exchange(input);
  };

  /**
   * Another holder tells of changes and has read the store lately. One that is
   * cut off from the store, or silent, would leave this process with runners
   * that have left; it then reads for itself.
   */
  get isRelayed(): boolean {
    const {lease, clock} = this.deps;
    if (lease.current().isHolder || !this.lastWord) return false;
    const ageMs = clock.nowMs() - this.lastWord.atMs;
    const readAgeMs = this.lastWord.readAgeMs + ageMs;
    return ageMs < RELAY_FRESH_MS && readAgeMs < RELAY_READ_AGE_MS;
  }

  /** Whether any word of a holder has come within a few exchanges. */
  get isHolderHeard(): boolean {
    const {clock} = this.deps;
    const atMs = this.lastWord?.atMs ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - atMs < WORD_LOST_MS;
  }

  readonly ensureAdapter: EnsureAdapter = async wanted => {
    const {lease, held, logger, options, clock} = this.deps;
    const answer = await this.askForAdapter(wanted);
    if (!answer) return false;
    if (!answer.isThere) {
      logger.info('adapter-not-there', {...wanted, reason: answer.reason});
      if (answer.reason === 'not-holder') lease.refreshHolder();
      return false;
    }
    held.addAdapter(wanted.runnerId, wanted.model, wanted.adapter);
    await new Promise<void>(resolve => {
      clock.setTimer(options.adapterSettleMs, resolve);
    });
    return true;
  };

  /** Undefined while a suspect has to wait, also for want of a holder. */
  readonly permitTrial: PermitTrial = async wanted => {
    const {lease, logger} = this.deps;
    const answer = await this.askForTrial(wanted);
    if (!answer) return undefined;
    const {runnerId, reason} = answer;
    if (runnerId !== undefined) return runnerId;
    logger.info('trial-waits', {fingerprint: wanted.fingerprint, reason});
    if (reason === 'not-holder') lease.refreshHolder();
    return undefined;
  };

  /** Undefined when the holder gave no answer. */
  private async askForTrial(
    wanted: TrialInput,
  ): Promise<TrialOutput | undefined> {
    const {own, lease} = this.deps;
    if (lease.current().isHolder) return own.permitTrial(wanted);
    const holder = this.holderAddress();
    if (holder === undefined) return {reason: 'no-holder'};
    try {
      return await this.clients.to(holder).permitTrial(wanted);
    } catch (thrown) {
      this.lost(holder, thrown);
      return undefined;
    }
  }

  /** Undefined when the holder gave no answer. */
  private async askForAdapter(
    wanted: EnsureInput,
  ): Promise<EnsureOutput | undefined> {
    const {own, lease} = this.deps;
    if (lease.current().isHolder) return own.ensureAdapter(wanted);
    const holder = this.holderAddress();
    if (holder === undefined) return {isThere: false, reason: 'no-holder'};
    try {
      return await this.clients.to(holder).ensureAdapter(wanted);
    } catch (thrown) {
      this.lost(holder, thrown);
      return undefined;
    }
  }

  private async run(): Promise<void> {
    const {clock, options} = this.deps;
    this.timer?.cancel();
    this.timer = undefined;
    this.lastMs = clock.nowMs();
    await this.exchange();
    this.watchLease();
    this.schedule(options.exchangeIntervalMs);
  }

  /** Looks after the lease while no holder is heard. */
  private watchLease(): void {
    const {lease, clock, self, random} = this.deps;
    const step = this.turn.next({
      nowMs: clock.nowMs(),
      silentMs: clock.nowMs() - this.heardMs,
      isVacant: lease.current().isVacant,
      place: placeInLine(self.address, this.standbys, random),
    });
    if (step === 'join') lease.setStandby(true);
    if (step === 'ask') lease.refreshHolder();
  }

  /** A caller that waits for a copy need not wait for the next exchange too. */
  private exchangeSoon(): void {
    const {clock, options} = this.deps;
    // Without a timer an exchange is under way; the next one tells the rest.
    if (!this.timer) return;
    const gapMs = clock.nowMs() - this.lastMs;
    const soonMs = urgentIntervalMs(this.entries, options);
    this.schedule(Math.max(0, soonMs - gapMs));
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.deps.clock.setTimer(delayMs, () => void this.run());
  }

  private ownLoad(): EntryLoad {
    const {self, states, demand} = this.deps;
    return {
      members: [self],
      openWork: states.ownOpenWork(),
      adaptersInUse: states.ownAdaptersInUse(),
      modelsInUse: states.ownModelsInUse(),
      waiting: demand.waitingCounts(),
    };
  }

  private input(): ExchangeInput {
    const {self, configVersion, runnersChange} = this.deps;
    const own = {
      configVersion: configVersion(),
      runnersChange: runnersChange(),
    };
    const load = this.relay.load(self);
    return {
      ...load,
      ...this.relay.newest(own),
      entry: self.address,
      members: [...load.members],
      adaptersInUse: load.adaptersInUse as ExchangeInput['adaptersInUse'],
      modelsInUse: load.modelsInUse as ExchangeInput['modelsInUse'],
      known: this.known,
      batch: this.unanswered.next(),
      rateLimits: this.deps.rateLimits.reportedLimits(),
      crashes: this.deps.suspects.news(),
      knownSuspects: this.deps.suspects.known,
    };
  }

  private async exchange(): Promise<void> {
    const {own, lease, self} = this.deps;
    if (lease.current().owns) {
      this.adopt(own.exchange(this.input()), self.address);
      return;
    }
    const relay = this.relayNow();
    const address = relay ?? this.holderAddress();
    if (address === undefined) {
      lease.refreshHolder();
      return;
    }
    try {
      const output = await this.clients.to(address).exchange(this.input());
      this.adopt(output, address);
    } catch (thrown) {
      this.clients.drop(address);
      if (relay === undefined) this.lost(address, thrown);
      else this.relayLost(relay, errorText(thrown));
    }
  }

  /** Undefined where this process asks the holder itself. */
  private relayNow(): string | undefined {
    const {clock, self} = this.deps;
    if (clock.nowMs() < this.relayPausedUntilMs) return undefined;
    return relayOf(self.address, this.relays);
  }

  /** Without a relay's word this process asks the holder itself for a while. */
  private relayLost(relay: string, error: string): void {
    const {clock, logger} = this.deps;
    this.relayPausedUntilMs = clock.nowMs() + RELAY_PAUSE_MS;
    logger.info('relay-lost', {relay, error});
  }

  /** @param teller the process that answered, a relay or the holder itself. */
  private adopt(output: ExchangeOutput | NotHolder, teller: string): void {
    const {lease, self} = this.deps;
    if (output.kind === 'not-holder') {
      lease.noteHolder(output.holderAddress);
      lease.refreshHolder();
      if (this.relays.includes(teller)) {
        this.relayLost(teller, 'it has no word of the holder');
      }
      return;
    }
    this.unanswered.noteAnswered();
    this.deps.suspects.noteAnswered();
    this.deps.suspects.adopt(output.suspects);
    if (!this.wasHeard) this.deps.logger.info('holder-heard');
    this.wasHeard = true;
    const isPassedOn = output.holder !== teller;
    if (isPassedOn) lease.noteHolder(output.holder);
    else if (teller !== self.address) this.relay.noteWord(output);
    this.deps.usage.tell(output.usage ?? {}, output.ageMs, isPassedOn);
    this.deps.rateLimits.applyFleetLimits(
      output.rateLimits ?? {},
      output.ageMs,
      isPassedOn,
    );
    this.deps.states.applyEjections(output.ejectedForMs ?? {}, output.ageMs);
    this.adoptVersions(output, teller);
    this.adoptLoads(output, isPassedOn);
    this.adoptRoles(output);
  }

  private adoptVersions(output: ExchangeOutput, teller: string): void {
    const {clock, held, metrics} = this.deps;
    const nowMs = clock.nowMs();
    const {ageMs, runnersReadAgeMs, configReadAgeMs} = output;
    const readAgeMs = Math.max(runnersReadAgeMs, configReadAgeMs ?? 0) + ageMs;
    if (output.configVersion > this.deps.configVersion()) {
      this.deps.onNewerConfig(output.configVersion, teller);
    } else if (configReadAgeMs !== undefined) {
      this.deps.onConfigCurrent(nowMs - configReadAgeMs - ageMs);
    }
    this.deps.onRunnersChange(output.runnersChange);
    this.lastWord = {atMs: nowMs, readAgeMs};
    if (output.isOrdering) this.heardMs = nowMs;
    metrics.observeMs('holder_word_age_ms', ageMs);
    held.applyChanges(output.copies, ageMs);
    held.setCopyDelays(output.copiesInMs);
    const {epoch, revision} = output.copies;
    this.known = {epoch, revision};
  }

  private adoptLoads(output: ExchangeOutput, isPassedOn: boolean): void {
    const {lease, loadRate, clock, states, self, onEntries} = this.deps;
    // Its own word says nothing that it doesn't know.
    if (!lease.current().isHolder) {
      loadRate.restore(output.loadAgesMs, clock.nowMs());
    }
    const {peersWork, peersRequests} = output;
    if (isPassedOn) {
      states.setPeersWork(peersWork, peersRequests);
    } else {
      const group = this.relay.groupWithout(self.address);
      states.setPeersWork(
        added(peersWork, group.work),
        added(peersRequests, group.requests),
      );
    }
    this.entries = output.entries;
    onEntries(output.entries);
  }

  private adoptRoles({standbys, relays}: ExchangeOutput): void {
    const {lease, self} = this.deps;
    this.relays = relays;
    this.standbys = standbys;
    if (!standbys.includes(self.address)) lease.setStandby(false);
  }

  private lost(holder: string, thrown: unknown): void {
    const {logger, lease, metrics} = this.deps;
    metrics.count('holder_exchanges_lost_total');
    if (this.wasHeard) {
      logger.warn('holder-lost', {holder, error: errorText(thrown)});
    }
    this.wasHeard = false;
    lease.refreshHolder();
  }

  /** Undefined while none is known but this process itself. */
  private holderAddress(): string | undefined {
    const {lease, self} = this.deps;
    const {holderAddress} = lease.current();
    return holderAddress === self.address ? undefined : holderAddress;
  }
}

function errorText(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
