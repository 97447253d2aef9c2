import {relayOf, type RelayCandidate} from '@banyanfold/decisions';
import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import type {EnsureAdapter, PermitTrial} from '../context.js';
import type {TrialInput, TrialOutput} from '../crashes/crashContract.js';
import type {CrashSuspects} from '../crashes/crashSuspects.js';
import type {FairShares} from '../callers/fairShares.js';
import type {UsageAccounts} from '../callers/usageAccounts.js';
import type {DemandMeter} from '../placement/demandMeter.js';
import type {LoadRate} from '../placement/loadRate.js';
import type {KnownRevision} from '../placement/copyRevisions.js';
import type {EntryLoad} from '../placement/entryLoads.js';
import type {HeldCopies} from '../runners/heldCopies.js';
import type {RunnerCapacities} from '../runners/runnerCapacities.js';
import type {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import type {RunnerStates} from '../runners/runnerStates.js';
import type {GatewayOptions} from '../options.js';
import type {LeaseSource} from '../types.js';
import type {ReplicaList} from '../streams/replicaList.js';
import {sumByKey, Relay, type KnownDepartures} from './relay.js';
import {LeaseAcquisition, acquisitionRank} from './leaseAcquisition.js';
import {PeerClients} from './peerClients.js';
import {PendingDemand} from './pendingDemand.js';
import {urgentIntervalMs} from './urgentIntervalMs.js';
import type {
  EnsureAdapterInput,
  EnsureAdapterOutput,
  ExchangeInput,
  ExchangeOutput,
  HolderHandlers,
  NotHolder,
} from './peerContract.js';
import {RetryGrantLink} from './retryGrantLink.js';

export interface HolderLinkOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  options: GatewayOptions;
  lease: LeaseSource;
  /** Handlers of this process, used while it holds the lease itself. */
  ownHandlers: HolderHandlers;
  /** The properties of this process by which relays are chosen. */
  self: RelayCandidate;
  demand: DemandMeter;
  usage: UsageAccounts;
  fairShares: FairShares;
  suspects: CrashSuspects;
  states: RunnerStates;
  rateLimits: RunnerRateLimits;
  capacities: RunnerCapacities;
  heldCopies: HeldCopies;
  replicaList: ReplicaList;
  view: KnownDepartures;
  loadRate: LoadRate;
  /** Clients of the peers; by default, they connect over the network. */
  clients?: PeerClients;
  onEntryCount(count: number): void;
  configVersion(): number;
  /** Called when a peer has a newer configuration than this process. */
  onNewerConfig(version: number, peer: string): void;
  /** Called with a time at which the configuration here was current. */
  onConfigCurrent(atMs: number): void;
  runnersChange(): number;
  /** Whether this process has read the runners up to this change. */
  hasReadRunners(runnersChange: number): boolean;
  /** Called with a time up to which this process knows the runners. */
  onRunnersCurrent(atMs: number): void;
  /** Called when a peer has read the runners up to this change. */
  onRunnersChange(runnersChange: number): void;
  random(): number;
}

/** Three exchanges; with older state this process reads the store itself. */
const MAX_STATE_AGE_MS = 800;
/**
 * Maximum time since the holder sent its last answered read. The holder reads
 * at least every 0.8 s, and an entry learns of it one or two exchanges later.
 * Below the age up to which requests are sent by a view, so that this process
 * reads the store itself before they have to wait.
 */
const MAX_READ_AGE_MS = 1_400;
/** Six exchanges. A change of holder usually takes less. */
const HOLDER_TIMEOUT_MS = 1_500;
/**
 * Pause before a failed relay is used again. Within two seconds the holder
 * notices that a relay has ended, and names another one.
 */
const RELAY_RETRY_MS = 3_000;

/**
 * Exchanges state between an entry and the holder of the lease: in process if
 * this entry is the holder, else directly or through a relay.
 */
export class HolderLink {
  private readonly relay: Relay;
  private readonly clients: PeerClients;
  private readonly pendingDemand: PendingDemand;
  readonly retryGrants: RetryGrantLink;
  private timer: Timer | undefined;
  private wasRelayed = false;
  private wasHolderReachable = true;
  private knownCopies: KnownRevision | undefined;
  /** When a holder's last state arrived, and as of when it knew the fleet. */
  private lastState: {atMs: number; readMs: number} | undefined;
  private lastExchangeMs = 0;
  private lastContactMs = 0;
  /** Last list from the holder, in the order of acquiring the lease. */
  private standbys: readonly string[] = [];
  private readonly leaseAcquisition = new LeaseAcquisition();
  private entries = 1;
  /** Last list from the holder, for this failure domain. */
  private relays: readonly string[] = [];
  private relayPausedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: HolderLinkOptions) {
    const {clock, self, demand, usage, suspects, lease, options} = deps;
    this.relay = new Relay({
      clock,
      address: self.address,
      demand,
      usage: usage.meter,
      shares: deps.fairShares.meter,
      outcomes: deps.states.outcomes,
      rateLimits: deps.rateLimits,
      capacities: deps.capacities,
      suspects,
      replicaList: deps.replicaList,
      view: deps.view,
      ownLoad: () => this.ownLoad(),
      configVersion: () => deps.configVersion(),
      onNewerConfig: (version, peer) => deps.onNewerConfig(version, peer),
      holderAddress: () => lease.current().holderAddress,
    });
    this.clients =
      deps.clients ??
      new PeerClients(options.peerTimeoutMs, options.adapterTimeoutMs);
    this.retryGrants = new RetryGrantLink({
      clock,
      logger: deps.logger,
      lease,
      ownHandlers: deps.ownHandlers,
      clients: this.clients,
      relayAddress: () => this.currentRelay(),
      holderAddress: () => this.holderAddress(),
    });
    const processId = `${self.address}#${clock.wallMs()}`;
    this.pendingDemand = new PendingDemand(
      demand,
      () => usage.takeReports(),
      () => deps.rateLimits.takeReports(),
      deps.states.outcomes,
      processId,
      () => deps.fairShares.takeReport(),
    );
  }

  start(): void {
    this.deps.demand.onWaiting = () => this.expediteExchange();
    this.deps.suspects.onReport = () => this.expediteExchange();
    this.exchangeInBackground();
  }

  stop(): void {
    this.timer?.cancel();
    this.clients.close();
  }

  /** Handles a peer's exchange, as the holder or else as a relay. */
  readonly handleExchange = (
    input: ExchangeInput,
  ): ExchangeOutput | NotHolder => {
    const {lease, ownHandlers} = this.deps;
    return lease.current().owns
      ? ownHandlers.exchange(input)
      : this.relay.exchange(input);
  };

  /**
   * Whether another process, as the holder, reports changes and has read the
   * store recently. If the holder is silent or can't reach the store, this
   * process reads the store itself, or it would keep runners that have left.
   */
  get isRelayed(): boolean {
    const {lease, clock} = this.deps;
    if (lease.current().isHolder || !this.lastState) return false;
    const {atMs, readMs} = this.lastState;
    const nowMs = clock.nowMs();
    return nowMs - atMs < MAX_STATE_AGE_MS && nowMs - readMs < MAX_READ_AGE_MS;
  }

  /** Whether state from a holder arrived within the last few exchanges. */
  get isHolderReachable(): boolean {
    const {clock} = this.deps;
    const atMs = this.lastState?.atMs ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - atMs < HOLDER_TIMEOUT_MS;
  }

  readonly ensureAdapter: EnsureAdapter = async request => {
    const {lease, heldCopies, logger, options, clock} = this.deps;
    const answer = await this.requestAdapter(request);
    if (!answer) return false;
    if (!answer.isThere) {
      logger.info('adapter-unavailable', {...request, reason: answer.reason});
      if (answer.reason === 'not-holder') lease.refreshHolder();
      return false;
    }
    heldCopies.addAdapter(request.runnerId, request.model, request.adapter);
    await new Promise<void>(resolve => {
      clock.setTimer(options.adapterSettleMs, resolve);
    });
    return true;
  };

  /** Undefined while a suspect has to wait, also because there is no holder. */
  readonly permitTrial: PermitTrial = async request => {
    const {lease, logger} = this.deps;
    const answer = await this.requestTrial(request);
    if (!answer) return undefined;
    const {runnerId, reason} = answer;
    if (runnerId !== undefined) return runnerId;
    logger.info('trial-waits', {fingerprint: request.fingerprint, reason});
    if (reason === 'not-holder') lease.refreshHolder();
    return undefined;
  };

  /** Undefined if the holder doesn't answer. */
  private async requestTrial(
    request: TrialInput,
  ): Promise<TrialOutput | undefined> {
    const {ownHandlers, lease} = this.deps;
    if (lease.current().isHolder) return ownHandlers.permitTrial(request);
    const holder = this.holderAddress();
    if (holder === undefined) return {reason: 'no-holder'};
    try {
      return await this.clients.clientFor(holder).permitTrial(request);
    } catch (thrown) {
      this.handleHolderFailure(holder, thrown);
      return undefined;
    }
  }

  /** Undefined if the holder doesn't answer. */
  private async requestAdapter(
    request: EnsureAdapterInput,
  ): Promise<EnsureAdapterOutput | undefined> {
    const {ownHandlers, lease} = this.deps;
    if (lease.current().isHolder) return ownHandlers.ensureAdapter(request);
    const holder = this.holderAddress();
    if (holder === undefined) return {isThere: false, reason: 'no-holder'};
    try {
      return await this.clients.clientFor(holder).ensureAdapter(request);
    } catch (thrown) {
      this.handleHolderFailure(holder, thrown);
      return undefined;
    }
  }

  private exchangeInBackground(): void {
    const {logger} = this.deps;
    runInBackground({logger, step: 'exchange'}, () => this.runExchange());
  }

  private async runExchange(): Promise<void> {
    const {clock, options} = this.deps;
    this.timer?.cancel();
    this.timer = undefined;
    this.lastExchangeMs = clock.nowMs();
    try {
      await this.exchange();
      this.logIfRelayChanged();
      this.checkLease();
    } finally {
      this.schedule(options.exchangeIntervalMs);
    }
  }

  /** Logs whether this process relies on the holder or reads the store itself. */
  private logIfRelayChanged(): void {
    const {isRelayed, lastState} = this;
    if (isRelayed === this.wasRelayed) return;
    this.wasRelayed = isRelayed;
    const {clock, logger} = this.deps;
    logger.info('fleet-source', {
      source: isRelayed ? 'holder' : 'store',
      stateAgeMs: lastState && Math.round(clock.nowMs() - lastState.atMs),
      readAgeMs: lastState && Math.round(clock.nowMs() - lastState.readMs),
    });
  }

  /** While no holder responds, queries the lease or tries to acquire it. */
  private checkLease(): void {
    const {lease, clock, self, random} = this.deps;
    const action = this.leaseAcquisition.nextAction({
      nowMs: clock.nowMs(),
      silentMs: clock.nowMs() - this.lastContactMs,
      isVacant: lease.current().isVacant,
      rank: acquisitionRank(self.address, this.standbys, random),
    });
    if (action === 'join') lease.setStandby(true);
    if (action === 'ask') lease.refreshHolder();
  }

  /** Moves the next exchange forward, for callers that wait for a copy. */
  private expediteExchange(): void {
    const {clock, options} = this.deps;
    // Without a timer an exchange is in flight; the next one sends the rest.
    if (!this.timer) return;
    const elapsedMs = clock.nowMs() - this.lastExchangeMs;
    const urgentMs = urgentIntervalMs(this.entries, options);
    this.schedule(Math.max(0, urgentMs - elapsedMs));
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.deps.clock.setTimer(delayMs, () =>
      this.exchangeInBackground(),
    );
  }

  private ownLoad(): EntryLoad {
    const {self, states, demand} = this.deps;
    return {
      members: [self],
      openWork: states.ownOpenWork(),
      adaptersInUse: states.ownAdaptersInUse(),
      modelsInUse: states.ownModelsInUse(),
      waiting: demand.waitingCounts(),
      poolBacklogs: this.deps.fairShares.ownBacklogs(),
    };
  }

  private exchangeInput(): ExchangeInput {
    const {self, configVersion, runnersChange} = this.deps;
    const versions = {
      configVersion: configVersion(),
      runnersChange: runnersChange(),
    };
    const load = this.relay.groupLoad(self);
    return {
      ...load,
      ...this.relay.newestVersions(versions),
      entry: self.address,
      members: [...load.members],
      adaptersInUse: load.adaptersInUse as ExchangeInput['adaptersInUse'],
      modelsInUse: load.modelsInUse as ExchangeInput['modelsInUse'],
      known: this.knownCopies,
      batch: this.pendingDemand.nextBatch(),
      rateLimits: this.deps.rateLimits.reportedLimits(),
      ...this.deps.view.departures(),
      runnerSpeeds: this.deps.capacities.takeReports(),
      crashes: this.deps.suspects.pendingReport(),
      knownSuspects: this.deps.suspects.knownVersion,
      knownReplicas: this.deps.replicaList.version,
    };
  }

  private async exchange(): Promise<void> {
    const {ownHandlers, lease, self, clock} = this.deps;
    const sentMs = clock.nowMs();
    if (lease.current().owns) {
      const output = ownHandlers.exchange(this.exchangeInput());
      this.applyOutput(output, self.address, sentMs);
      return;
    }
    const relay = this.currentRelay();
    const address = relay ?? this.holderAddress();
    if (address === undefined) {
      lease.refreshHolder();
      return;
    }
    try {
      const output = await this.clients
        .clientFor(address)
        .exchange(this.exchangeInput());
      this.applyOutput(output, address, sentMs);
    } catch (thrown) {
      this.clients.drop(address);
      if (relay === undefined) this.handleHolderFailure(address, thrown);
      else this.handleRelayFailure(relay, errorText(thrown));
    }
  }

  /** Undefined if this process contacts the holder directly. */
  private currentRelay(): string | undefined {
    const {clock, self} = this.deps;
    if (clock.nowMs() < this.relayPausedUntilMs) return undefined;
    return relayOf(self.address, this.relays);
  }

  /** Contacts the holder directly for a while after a relay has failed. */
  private handleRelayFailure(relay: string, error: string): void {
    const {clock, logger} = this.deps;
    this.relayPausedUntilMs = clock.nowMs() + RELAY_RETRY_MS;
    logger.info('relay-lost', {relay, error});
  }

  /**
   * @param sender address of the process that answered, a relay or the holder.
   * @param sentMs when it was asked; ages in the answer count from then.
   */
  private applyOutput(
    output: ExchangeOutput | NotHolder,
    sender: string,
    sentMs: number,
  ): void {
    const {lease, self} = this.deps;
    if (output.kind === 'not-holder') {
      lease.noteHolder(output.holderAddress);
      lease.refreshHolder();
      if (this.relays.includes(sender)) {
        this.handleRelayFailure(
          sender,
          'it has no recent state from the holder',
        );
      }
      return;
    }
    this.pendingDemand.acknowledge();
    this.deps.suspects.acknowledge();
    this.deps.suspects.applyList(output.suspects);
    this.deps.replicaList.apply(output.replicas);
    if (!this.wasHolderReachable) this.deps.logger.info('holder-reachable');
    this.wasHolderReachable = true;
    const isForwarded = output.holder !== sender;
    if (isForwarded) lease.noteHolder(output.holder);
    else if (sender !== self.address) {
      this.relay.noteHolderState(output, sentMs);
    }
    this.deps.usage.applyFleetUsage(
      output.usage ?? {},
      output.ageMs,
      isForwarded,
    );
    this.deps.fairShares.applyLimits(output.organisationShares, output.ageMs);
    this.deps.rateLimits.applyFleetLimits(
      output.rateLimits ?? {},
      output.ageMs,
      isForwarded,
    );
    this.deps.view.noteDepartures(output, output.ageMs);
    this.deps.states.applyEjections(output.ejectedForMs ?? {}, output.ageMs);
    this.deps.capacities.applyFleetSpeeds(
      output.runnerSpeeds ?? {},
      output.ageMs,
    );
    this.applyVersions(output, sender, sentMs);
    this.applyLoads(output, isForwarded);
    this.applyRoles(output);
  }

  private applyVersions(
    output: ExchangeOutput,
    sender: string,
    sentMs: number,
  ): void {
    const {clock, heldCopies, metrics} = this.deps;
    const nowMs = clock.nowMs();
    const {ageMs, runnersReadAgeMs, configReadAgeMs} = output;
    const readAgeMs = Math.max(runnersReadAgeMs, configReadAgeMs ?? 0) + ageMs;
    if (output.configVersion > this.deps.configVersion()) {
      this.deps.onNewerConfig(output.configVersion, sender);
    } else if (configReadAgeMs !== undefined) {
      this.deps.onConfigCurrent(sentMs - configReadAgeMs - ageMs);
    }
    if (this.deps.hasReadRunners(output.runnersChange)) {
      this.deps.onRunnersCurrent(sentMs - runnersReadAgeMs - ageMs);
    }
    this.deps.onRunnersChange(output.runnersChange);
    this.lastState = {atMs: nowMs, readMs: sentMs - readAgeMs};
    if (output.isOrdering) this.lastContactMs = nowMs;
    metrics.observeMs('holder_word_age_ms', ageMs);
    heldCopies.applyChanges(output.copies, ageMs);
    heldCopies.setCopyDelays(output.copiesInMs);
    const {epoch, revision} = output.copies;
    this.knownCopies = {epoch, revision};
  }

  private applyLoads(output: ExchangeOutput, isForwarded: boolean): void {
    const {lease, loadRate, clock, states, self, onEntryCount} = this.deps;
    // The holder already knows its own loads.
    if (!lease.current().isHolder) {
      loadRate.restore(output.loadAgesMs, clock.nowMs());
    }
    const {peersWork, peersRequests} = output;
    if (isForwarded) {
      states.setPeersWork(peersWork, peersRequests);
    } else {
      const group = this.relay.groupLoadExcluding(self.address);
      states.setPeersWork(
        sumByKey(peersWork, group.work),
        sumByKey(peersRequests, group.requests),
      );
    }
    this.entries = output.entries;
    onEntryCount(output.entries);
  }

  private applyRoles({standbys, relays}: ExchangeOutput): void {
    const {lease, self} = this.deps;
    this.relays = relays;
    this.standbys = standbys;
    if (!standbys.includes(self.address)) lease.setStandby(false);
  }

  private handleHolderFailure(holder: string, thrown: unknown): void {
    const {logger, lease, metrics} = this.deps;
    metrics.count('holder_exchanges_lost_total');
    if (this.wasHolderReachable) {
      logger.warn('holder-lost', {holder, error: errorText(thrown)});
    }
    this.wasHolderReachable = false;
    lease.refreshHolder();
  }

  /** Undefined while no holder other than this process is known. */
  private holderAddress(): string | undefined {
    const {lease, self} = this.deps;
    const {holderAddress} = lease.current();
    return holderAddress === self.address ? undefined : holderAddress;
  }
}

function errorText(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
