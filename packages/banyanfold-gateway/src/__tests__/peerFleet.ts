import {
  MemoryLogger,
  Metrics,
  sleep,
  type Clock,
  type VirtualClock,
} from '@banyanfold/core';
import {FairShares} from '../callers/fairShares.js';
import {UsageAccounts} from '../callers/usageAccounts.js';
import {CrashLedger} from '../crashes/crashLedger.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {HolderLink} from '../peers/holderLink.js';
import type {PeerClients} from '../peers/peerClients.js';
import type {
  ExchangeInput,
  ExchangeOutput,
  NotHolder,
} from '../peers/peerContract.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {LeaseHolder} from '../placement/leaseHolder.js';
import {LoadRate} from '../placement/loadRate.js';
import {HeldCopies} from '../runners/heldCopies.js';
import {RunnerCapacities} from '../runners/runnerCapacities.js';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {RunnerStates} from '../runners/runnerStates.js';
import {ReplicaList} from '../streams/replicaList.js';
import type {
  FleetSource,
  LeaseSource,
  LeaseState,
  RunnerControl,
} from '../types.js';
import {FleetView} from '../view/fleetView.js';
import {ViewFreshness} from '../view/viewFreshness.js';
import {exampleRetryGrants} from './exampleRetryGrants.js';

const DOMAINS = 6;
/** Entries that have more of a processor, and become relays. */
const LARGE_SHARE = 1.3;
const SMALL_SHARE = 0.5;
const MESSAGE_MS = 1;
/** Number of entries from which exchanges go through relays. */
const RELAYED_ENTRIES = 16;
/** A process on half a core runs for half of each slice. */
const SLICE_MS = 100;
const RUNNING_MS = 50;

export interface PeerFleetOptions {
  clock: VirtualClock;
  entries: number;
  /** Creates the source of an entry's view; its timers run on `clock`. */
  createSource(index: number, clock: Clock): FleetSource;
  /** Uniform in [0, 1). */
  random(): number;
}

/** Runs the timers of a process only while it has its share of a core. */
class HalfCoreClock implements Clock {
  constructor(
    private readonly clock: VirtualClock,
    private readonly phaseMs: number,
  ) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  setTimer(delayMs: number, callback: () => void) {
    const dueMs = this.clock.nowMs() + Math.max(0, delayMs);
    const inSliceMs = (dueMs + this.phaseMs) % SLICE_MS;
    const stalledMs = inSliceMs < RUNNING_MS ? 0 : SLICE_MS - inSliceMs;
    return this.clock.setTimer(delayMs + stalledMs, callback);
  }
}

/** One entry, with its own view of the runners. */
export class PeerNode {
  readonly address: string;
  readonly view: FleetView;
  readonly source: FleetSource;
  readonly link: HolderLink;
  readonly clock: Clock;
  private readonly freshness: ViewFreshness;
  /** It gives no answers and takes none, as if killed or frozen. */
  isDown = false;
  /** The bound on leaving runners doesn't hold for it. */
  isOutOfTouch = false;

  constructor(
    private readonly fleet: PeerFleet,
    readonly index: number,
    options: PeerFleetOptions,
  ) {
    this.address = addressOf(index);
    this.clock = new HalfCoreClock(options.clock, options.random() * SLICE_MS);
    this.view = new FleetView(this.clock, new MemoryLogger());
    this.source = options.createSource(index, this.clock);
    this.link = this.createLink(options);
    this.freshness = new ViewFreshness({
      clock: this.clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      view: this.view,
      confirmRunners: () => this.source.confirmRunners(),
    });
  }

  start(): void {
    this.source.start({
      onConfig: config => this.view.onConfig(config),
      onConfigCurrent: atMs => this.view.onConfigCurrent(atMs),
      onRegistration: registration => this.view.onRegistration(registration),
      onRemoval: runnerId => this.view.onRemoval(runnerId),
      onRunnersCurrent: atMs => this.view.onRunnersCurrent(atMs),
      onCaughtUp: () => this.view.onCaughtUp(),
      isRelayed: () => this.link.isRelayed,
    });
    this.link.start();
  }

  takeDown(): void {
    this.isDown = true;
    this.isOutOfTouch = true;
  }

  stop(): void {
    this.source.stop();
    this.link.stop();
  }

  /** Whether this entry, which always has requests, sends them to a runner. */
  wouldSendTo(runnerId: string): boolean {
    void this.freshness.untilFresh();
    if (!this.freshness.check()) return false;
    return this.view.runner(runnerId)?.leaving === false;
  }

  private createLink({random}: PeerFleetOptions): HolderLink {
    const {clock, view, source, fleet, index} = this;
    const logger = new MemoryLogger();
    const metrics = new Metrics();
    const lease = fleet.leaseOf(index);
    const usage = new UsageAccounts({
      clock,
      windowMs: 8_000,
      isFirstStart: true,
      random,
      usageCapOf: () => undefined,
    });
    const rateLimits = new RunnerRateLimits({
      clock,
      logger,
      metrics,
      random,
    });
    const capacities = new RunnerCapacities({
      clock,
      logger,
      metrics,
      currentStart: () => undefined,
    });
    const isLarge = index < DOMAINS;
    const processorShare = isLarge ? LARGE_SHARE : SMALL_SHARE;
    const loadRate = new LoadRate(1_000, 0);
    const replicaList = new ReplicaList();
    return new HolderLink({
      clock,
      logger,
      metrics,
      options: DEFAULT_OPTIONS,
      lease,
      ownHandlers: new LeaseHolder({
        clock,
        logger,
        metrics,
        lease,
        control: {} as unknown as RunnerControl,
        view,
        options: DEFAULT_OPTIONS,
        holder: this.address,
        loadRate,
        replicaList,
        crashes: new CrashLedger({clock, logger, metrics, epoch: this.address}),
        processorShare,
        runnersChange: () => source.runnersChange,
        onNewerConfig: () => {},
        usage,
        retryGrants: exampleRetryGrants(clock),
        isLeaving: () => false,
      }),
      self: {
        address: this.address,
        failureDomain: `d${index % DOMAINS}`,
        processorShare,
      },
      clients: fleet.clientsOf(this),
      demand: new DemandMeter(),
      usage,
      fairShares: new FairShares({clock, random, isEnabled: () => false}),
      suspects: new CrashSuspects(clock),
      replicaList,
      states: new RunnerStates(clock, logger, DEFAULT_OPTIONS),
      rateLimits,
      capacities,
      heldCopies: new HeldCopies(view, () => clock.nowMs(), 1_500),
      view,
      loadRate,
      onEntryCount: () => {},
      configVersion: () => 0,
      onNewerConfig: () => {},
      onConfigCurrent: () => {},
      onRunnersCurrent: atMs => view.onRunnersCurrent(atMs),
      runnersChange: () => source.runnersChange,
      hasReadRunners: position => source.hasReadRunners(position),
      onRunnersChange: position => source.refreshRunners(position),
      random,
    });
  }
}

/**
 * Entries that exchange state with the holder of the lease, the first one, or
 * with its relays, each on half a core.
 */
export class PeerFleet {
  readonly nodes: PeerNode[] = [];

  constructor(private readonly options: PeerFleetOptions) {
    for (let i = 0; i < options.entries; i++) {
      this.nodes.push(new PeerNode(this, i, options));
    }
    for (const node of this.nodes) node.start();
  }

  get holder(): PeerNode {
    return this.nodes[0]!;
  }

  /** Entries through which others contact the holder; one of a few entries. */
  get relays(): PeerNode[] {
    const isRelayed = this.nodes.length >= RELAYED_ENTRIES;
    return this.nodes.slice(1, isRelayed ? DOMAINS : 2);
  }

  stop(): void {
    for (const node of this.nodes) node.stop();
  }

  leaseOf(index: number): LeaseSource {
    const isHolder = index === 0;
    const state: LeaseState = {
      isHolder,
      owns: isHolder,
      isUnexpired: isHolder,
      isVacant: false,
      fencingToken: 1,
      term: 1,
      isFirst: true,
      holderAddress: addressOf(0),
    };
    return {
      current: () => state,
      setStandby: () => {},
      refreshHolder: () => {},
      noteHolder: () => {},
    } as unknown as LeaseSource;
  }

  clientsOf(from: PeerNode): PeerClients {
    return {
      clientFor: (address: string) => ({
        exchange: (input: ExchangeInput) => this.exchange(from, address, input),
      }),
      drop: () => {},
      close: () => {},
    } as unknown as PeerClients;
  }

  /** @throws if either process is down, after the timeout of calls. */
  private async exchange(
    from: PeerNode,
    address: string,
    input: ExchangeInput,
  ): Promise<ExchangeOutput | NotHolder> {
    const target = this.nodes.find(node => node.address === address)!;
    const sent = structuredClone(input);
    await sleep(target.clock, MESSAGE_MS);
    if (target.isDown || from.isDown) {
      await sleep(from.clock, DEFAULT_OPTIONS.peerTimeoutMs);
      throw new Error('no answer');
    }
    const output = structuredClone(target.link.handleExchange(sent));
    await sleep(from.clock, MESSAGE_MS);
    return output;
  }
}

function addressOf(index: number): string {
  return `e${index}:7`;
}
