import type {Clock, Logger, Timer} from '@banyanfold/core';
import type {EnsureAdapter} from '../context.js';
import type {DemandMeter} from '../placement/demandMeter.js';
import type {LoadRate} from '../placement/loadRate.js';
import type {KnownRevision} from '../placement/copyRevisions.js';
import type {HeldCopies} from '../runners/heldCopies.js';
import type {RunnerStates} from '../runners/runnerStates.js';
import type {GatewayOptions} from '../options.js';
import type {LeaseSource} from '../types.js';
import {createPeerClient, type PeerClient} from './peerClient.js';
import type {
  ExchangeOutput,
  HolderHandlers,
  NotHolder,
} from './peerContract.js';

export interface HolderLinkOptions {
  clock: Clock;
  logger: Logger;
  options: GatewayOptions;
  lease: LeaseSource;
  /** This process's own holder, for when it has the lease. */
  own: HolderHandlers;
  /** Address of this process's internal listener. */
  address: string;
  /** Cores' worth of processor that this process may use. */
  processorShare: number;
  demand: DemandMeter;
  states: RunnerStates;
  held: HeldCopies;
  loadRate: LoadRate;
  onEntries(count: number): void;
  configVersion(): number;
  /** A peer has this configuration, and this process an older one. */
  onNewerConfig(version: number): void;
  runnersChange(): number;
  /** A peer has read the runners up to this change. */
  onRunnersChange(runnersChange: number): void;
}

/** Three exchanges; after that this process reads for itself again. */
const RELAY_FRESH_MS = 800;
/**
 * Longer than the store takes to give the lease of a dead holder to another that
 * is in the group, so that others join only when none of those is left: first
 * those that are to stand by, then the rest.
 */
const STANDBY_JOINS_MS = 1_200;
const OTHER_JOINS_MS = 2_500;
/** The holder reads the runners once a second. */
const RELAY_READ_AGE_MS = 1_500;

/** How an entry speaks to the holder of orders, itself or another. */
export class HolderLink {
  private timer: Timer | undefined;
  private client: {address: string; peer: PeerClient} | undefined;
  private wasHeard = true;
  private known: KnownRevision | undefined;
  private relay: {atMs: number; readAgeMs: number} | undefined;
  private lastMs = 0;
  private heardMs = 0;
  private isStandby = true;

  constructor(private readonly deps: HolderLinkOptions) {}

  start(): void {
    this.deps.demand.onWaiting = () => this.exchangeSoon();
    void this.run();
  }

  stop(): void {
    this.timer?.cancel();
    this.client?.peer.close();
  }

  /**
   * Another holder tells of changes and has read the store lately. One that is
   * cut off from the store, or silent, would leave this process with runners
   * that have left; it then reads for itself.
   */
  get isRelayed(): boolean {
    const {lease, clock} = this.deps;
    if (lease.current().isHolder || !this.relay) return false;
    const ageMs = clock.nowMs() - this.relay.atMs;
    return (
      ageMs < RELAY_FRESH_MS && this.relay.readAgeMs + ageMs < RELAY_READ_AGE_MS
    );
  }

  readonly ensureAdapter: EnsureAdapter = async wanted => {
    const {own, lease, held, logger, options, clock} = this.deps;
    try {
      const answer = lease.current().isHolder
        ? await own.ensureAdapter(wanted)
        : await this.peer()?.client.ensureAdapter.mutate(wanted);
      if (!answer?.isThere) {
        logger.info('adapter-not-there', {
          ...wanted,
          reason: answer?.reason ?? 'no-holder',
        });
        if (answer?.reason === 'not-holder') lease.refreshHolder();
        return false;
      }
    } catch (thrown) {
      this.lost(thrown);
      return false;
    }
    held.noteAdapter(wanted.runnerId, wanted.model, wanted.adapter);
    await new Promise<void>(resolve => {
      clock.setTimer(options.adapterSettleMs, resolve);
    });
    return true;
  };

  private async run(): Promise<void> {
    const {clock, options} = this.deps;
    this.timer?.cancel();
    this.timer = undefined;
    this.lastMs = clock.nowMs();
    await this.exchange();
    const silentMs = clock.nowMs() - this.heardMs;
    const joinsMs = this.isStandby ? STANDBY_JOINS_MS : OTHER_JOINS_MS;
    if (silentMs > joinsMs) this.deps.lease.setStandby(true);
    this.schedule(options.exchangeIntervalMs);
  }

  /** A caller that waits for a copy need not wait for the next exchange too. */
  private exchangeSoon(): void {
    const {clock, options} = this.deps;
    // Without a timer an exchange is under way; the next one tells the rest.
    if (!this.timer) return;
    const gapMs = clock.nowMs() - this.lastMs;
    this.schedule(Math.max(0, options.urgentIntervalMs - gapMs));
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.deps.clock.setTimer(delayMs, () => void this.run());
  }

  private async exchange(): Promise<void> {
    const {own, lease, demand, states, address, configVersion} = this.deps;
    const input = {
      entry: address,
      processorShare: this.deps.processorShare,
      configVersion: configVersion(),
      runnersChange: this.deps.runnersChange(),
      known: this.known,
      openWork: states.ownOpenWork(),
      adaptersInUse: states.ownAdaptersInUse(),
      modelsInUse: states.ownModelsInUse(),
      demand: demand.take(),
    };
    if (lease.current().isHolder) {
      this.adopt(own.exchange(input));
      return;
    }
    const peer = this.peer();
    if (!peer) {
      lease.refreshHolder();
      return;
    }
    try {
      this.adopt(await peer.client.exchange.mutate(input));
    } catch (thrown) {
      this.lost(thrown);
    }
  }

  private adopt(output: ExchangeOutput | NotHolder): void {
    const {held, states, onEntries, logger, lease, loadRate, clock} = this.deps;
    if (output.kind === 'not-holder') {
      lease.noteHolder(output.holderAddress);
      lease.refreshHolder();
      return;
    }
    if (!this.wasHeard) logger.info('holder-heard');
    this.wasHeard = true;
    if (output.configVersion > this.deps.configVersion()) {
      this.deps.onNewerConfig(output.configVersion);
    }
    this.deps.onRunnersChange(output.runnersChange);
    this.relay = {atMs: clock.nowMs(), readAgeMs: output.runnersReadAgeMs};
    held.tell(output.copies);
    held.tellCopiesInMs(output.copiesInMs);
    const {epoch, revision} = output.copies;
    this.known = {epoch, revision};
    // Its own word says nothing that it doesn't know.
    if (!lease.current().isHolder) {
      loadRate.learn(output.loadAgesMs, clock.nowMs());
    }
    states.notePeersWork(output.peersWork, output.peersRequests);
    onEntries(output.entries);
    this.heardMs = clock.nowMs();
    this.isStandby = output.isStandby;
    if (!this.isStandby) lease.setStandby(false);
  }

  private lost(thrown: unknown): void {
    const error = thrown instanceof Error ? thrown.message : String(thrown);
    if (this.wasHeard) {
      this.deps.logger.warn('holder-lost', {
        holder: this.client?.address,
        error,
      });
    }
    this.wasHeard = false;
    this.deps.lease.refreshHolder();
  }

  private peer(): PeerClient | undefined {
    const {holderAddress} = this.deps.lease.current();
    if (holderAddress === undefined) return undefined;
    if (holderAddress === this.deps.address) return undefined;
    if (this.client?.address !== holderAddress) {
      this.client?.peer.close();
      const {peerTimeoutMs} = this.deps.options;
      const peer = createPeerClient(holderAddress, peerTimeoutMs);
      this.client = {address: holderAddress, peer};
    }
    return this.client.peer;
  }
}
