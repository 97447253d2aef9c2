import type {Server} from 'node:http';
import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {GatewayContext} from './context.js';
import {UsageAccounts} from './callers/usageAccounts.js';
import {UsageKeeper} from './callers/usageKeeper.js';
import {CrashLedger} from './crashes/crashLedger.js';
import {CrashSuspects} from './crashes/crashSuspects.js';
import {CrashWatch} from './crashes/crashWatch.js';
import {probeListener} from './crashes/probeListener.js';
import {QuarantineKeeper} from './crashes/quarantineKeeper.js';
import {GatewayServer} from './gatewayServer.js';
import {DEFAULT_OPTIONS, type GatewayOptions} from './options.js';
import {ConfigFetcher, toldConfigOf} from './peers/configFetcher.js';
import {HolderLink} from './peers/holderLink.js';
import {askConfig, offerLease} from './peers/peerClient.js';
import type {LeaseHandover, PeerHandlers} from './peers/peerContract.js';
import {PeerServer} from './peers/peerServer.js';
import {DemandMeter} from './placement/demandMeter.js';
import {LeaseHolder} from './placement/leaseHolder.js';
import {LoadRate} from './placement/loadRate.js';
import {repeatEvery} from './repeatEvery.js';
import {createMetricsServer, createReadinessServer} from './readinessServer.js';
import {HeldCopies} from './runners/heldCopies.js';
import {PromptGate} from './runners/promptGate.js';
import {RunnerRateLimits} from './runners/runnerRateLimits.js';
import {RunnerConnections} from './runners/runnerConnections.js';
import {ComingWork} from './requests/comingWork.js';
import {ServiceBudgets} from './requests/serviceBudgets.js';
import {RunnerStates} from './runners/runnerStates.js';
import type {
  FleetSource,
  LeaseSource,
  ListenAddress,
  QuarantineStore,
  RequestCodec,
  RunnerControl,
  UsageStore,
} from './types.js';
import {FleetView} from './view/fleetView.js';

/** Bounds that the deployment sets on the system. */
export interface DeploymentBounds {
  graceMs: number;
  retryRatio: number;
  retrySlack: number;
  retryWindowMs: number;
  loadWindowMs: number;
  /** So long after its acknowledgement a configuration is in force everywhere. */
  configApplyMs: number;
  /** Undefined where keys are accepted from an outdated configuration too. */
  keysTrustedMs?: number;
  /** The span over which usage caps are summed up. */
  usageWindowMs: number;
}

export interface GatewaySettings {
  failureDomain: string;
  /** Cores' worth of processor that the process may use. */
  processorShare: number;
  callers: ListenAddress;
  readiness: ListenAddress;
  peers: ListenAddress;
  /** Without it no metrics are served. */
  metrics?: ListenAddress;
  bounds: DeploymentBounds;
  /** The whole system starts for the first time. */
  isFirstStart: boolean;
}

export interface GatewayParts {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: GatewaySettings;
  options?: Partial<GatewayOptions>;
  codec: RequestCodec;
  fleet: FleetSource;
  lease: LeaseSource;
  control: RunnerControl;
  quarantine: QuarantineStore;
  usage: UsageStore;
  random?: () => number;
}

/** What the holder told counts this long; three exchanges may be lost. */
const TOLD_FRESH_MS = 1_500;
/** Entries assumed before the holder has told how many there are. */
const ASSUMED_ENTRIES = 8;
const JUDGE_INTERVAL_MS = 500;
const DRAIN_POLL_MS = 50;
/** To leave the group, or to offer the lease to peers while the store is out. */
const RELEASE_MS = 2_000;

/** The process on an entry VM. */
export class Gateway {
  readonly view: FleetView;
  private readonly context: GatewayContext;
  private readonly callers: GatewayServer;
  private readonly readiness: Server;
  private readonly metricsServer: Server;
  private readonly peers: PeerServer;
  private readonly holder: LeaseHolder;
  private readonly link: HolderLink;
  private readonly quarantine: QuarantineKeeper;
  private readonly configs: ConfigFetcher;
  private readonly usage: UsageKeeper;
  private stopTidying: () => void = () => {};
  private entries = ASSUMED_ENTRIES;
  private tidiedMs = 0;
  private isLeaving = false;
  private cutOffMs: number | undefined;

  constructor(private readonly parts: GatewayParts) {
    const {clock, logger, metrics, settings, codec, lease, control} = parts;
    const options = {...DEFAULT_OPTIONS, ...parts.options};
    const address = `${settings.peers.host}:${settings.peers.port}`;
    this.view = new FleetView(clock, logger);
    const states = new RunnerStates(clock, logger, options);
    const held = new HeldCopies(this.view, () => clock.nowMs(), TOLD_FRESH_MS);
    const demand = new DemandMeter();
    const random = parts.random ?? Math.random;
    const rateLimits = new RunnerRateLimits({
      clock,
      logger,
      metrics,
      random,
      entries: () => this.entries,
    });
    this.view.onRestart(runnerId => {
      states.handleRestart(runnerId);
      held.handleRestart(runnerId);
      rateLimits.handleRestart(runnerId);
    });
    const usage = new UsageAccounts({
      clock,
      windowMs: settings.bounds.usageWindowMs,
      isFirstStart: settings.isFirstStart,
      random,
      isKnown: name => this.view.organisations?.named(name) !== undefined,
    });
    const suspects = new CrashSuspects(clock);
    const crashes = new CrashLedger({
      clock,
      logger,
      metrics,
      epoch: `${address}#${clock.wallMs()}`,
      onQuarantine: fingerprint => this.quarantine.note(fingerprint),
    });
    this.quarantine = new QuarantineKeeper({
      clock,
      logger,
      store: parts.quarantine,
      lease,
      suspects,
      isHolderHeard: () => this.link.isHolderHeard,
    });
    const loadRate = new LoadRate(
      settings.bounds.loadWindowMs,
      settings.isFirstStart
        ? clock.nowMs()
        : clock.nowMs() + settings.bounds.loadWindowMs,
    );
    this.configs = new ConfigFetcher({
      clock,
      logger,
      version: () => this.view.currentConfig?.version ?? 0,
      ask: peer => askConfig(peer, options.peerTimeoutMs),
      take: record => parts.fleet.takeConfig(record),
    });
    const onNewerConfig = (version: number, peer: string) => {
      logger.info('config-behind', {version, peer});
      parts.fleet.refreshConfig();
      this.configs.noteNewer(version, peer);
    };
    this.holder = new LeaseHolder({
      clock,
      logger,
      metrics,
      lease,
      control,
      view: this.view,
      options,
      holder: address,
      loadRate,
      crashes,
      processorShare: settings.processorShare,
      usage,
      onNewerConfig,
      isLeaving: () => this.isLeaving,
    });
    this.usage = new UsageKeeper({
      clock,
      logger,
      store: parts.usage,
      lease,
      accounts: usage,
      isFirstStart: settings.isFirstStart,
      nearLimit: () => this.holder.usageNearLimit(),
    });
    this.link = new HolderLink({
      clock,
      logger,
      metrics,
      options,
      lease,
      own: this.holder,
      self: {
        address,
        failureDomain: settings.failureDomain,
        processorShare: settings.processorShare,
      },
      demand,
      usage,
      suspects,
      states,
      rateLimits,
      held,
      loadRate,
      configVersion: () => this.view.currentConfig?.version ?? 0,
      onNewerConfig,
      runnersChange: () => parts.fleet.runnersChange,
      onConfigCurrent: atMs => this.view.onConfigCurrent(atMs),
      onRunnersChange: position => parts.fleet.refreshRunners(position),
      random,
      onEntries: count => {
        this.entries = count;
      },
    });
    const {retryRatio, retrySlack, retryWindowMs} = settings.bounds;
    const budgets = new ServiceBudgets({
      clock,
      metrics,
      retryRatio,
      retrySlack,
      retryWindowMs,
      usedShare: options.retryBudgetShare,
      entries: () => this.entries,
    });
    this.context = {
      clock,
      logger,
      metrics,
      options,
      failureDomain: settings.failureDomain,
      view: this.view,
      codec,
      connections: new RunnerConnections(clock, options),
      states,
      gate: new PromptGate(clock),
      rateLimits,
      crashWatch: new CrashWatch({
        clock,
        logger,
        metrics,
        view: this.view,
        probe: at => probeListener(at, options.connectTimeoutMs),
        onCrash: crash => suspects.noteCrash(crash),
      }),
      suspects,
      held,
      demand,
      usage,
      coming: new ComingWork(() => clock.nowMs()),
      keysTrustedMs: settings.bounds.keysTrustedMs,
      configApplyMs: settings.bounds.configApplyMs,
      refreshConfig: () => parts.fleet.refreshConfig(),
      entries: () => this.entries,
      retryBudgetOf: service => budgets.of(service),
      ensureAdapter: this.link.ensureAdapter,
      permitTrial: this.link.permitTrial,
      random,
      isLeaving: () => this.isLeaving,
      cutOffMs: () => this.cutOffMs,
    };
    this.callers = new GatewayServer(this.context);
    this.readiness = createReadinessServer(() => this.isReady);
    this.metricsServer = createMetricsServer(() => metrics.render());
    this.addGauges();
    this.peers = new PeerServer(this.peerHandlers());
  }

  /** Whether the balancer may send callers here. */
  get isReady(): boolean {
    return this.view.isReady && !this.isLeaving;
  }

  /** It leaves, and the balancer sends no callers here any more. */
  get hasBeenNoticed(): boolean {
    return this.cutOffMs !== undefined;
  }

  get callersPort(): number {
    return this.parts.settings.callers.port;
  }

  /** Offers the lease to the peers, one after the other, until one takes it. */
  async handOverLease(handover: LeaseHandover): Promise<string | undefined> {
    const {peers} = this.parts.settings;
    const own = `${peers.host}:${peers.port}`;
    const {peerTimeoutMs} = this.context.options;
    for (const address of this.holder.activeEntryAddresses()) {
      if (address === own) continue;
      if (await offerLease(address, handover, peerTimeoutMs)) return address;
    }
    return undefined;
  }

  async start(): Promise<void> {
    const {settings, fleet, lease, logger, clock} = this.parts;
    const {callers, readiness, peers, metrics: metricsAt} = settings;
    await this.callers.listen(callers.port, callers.host);
    await listen(this.readiness, readiness);
    if (metricsAt) await this.listenForMetrics(metricsAt);
    await this.peers.listen(peers);
    fleet.start({
      onConfig: config => this.view.onConfig(config),
      onConfigCurrent: () => this.view.onConfigCurrent(),
      onRegistration: registration => this.view.onRegistration(registration),
      onRemoval: runnerId => this.view.onRemoval(runnerId),
      onCaughtUp: () => this.view.onCaughtUp(),
      isRelayed: () => this.link.isRelayed,
    });
    lease.start();
    this.holder.start();
    this.link.start();
    this.quarantine.start();
    this.usage.start();
    this.tidiedMs = clock.nowMs();
    this.stopTidying = repeatEvery(clock, JUDGE_INTERVAL_MS, () => this.tidy());
    logger.info('started', {
      callers: `${callers.host}:${callers.port}`,
      peers: `${peers.host}:${peers.port}`,
    });
  }

  /**
   * Leaves without cutting a request off. The balancer sends callers here
   * until it has noticed that this process isn't ready; those are still
   * served, each on a connection that closes with its answer, and idle
   * connections close only then.
   *
   * A holder of the lease gives orders until then: the next one may have to wait
   * before it orders, and may be stopped itself while it waits. Any other process
   * leaves the group at once, so that the lease isn't dealt to it.
   */
  async drain(): Promise<void> {
    const {clock, lease, logger, settings} = this.parts;
    const {noticeMs, graceMarginMs} = this.context.options;
    const startedMs = clock.nowMs();
    this.isLeaving = true;
    logger.info('draining', {open: this.callers.openRequests});
    const endMs = startedMs + settings.bounds.graceMs - graceMarginMs;
    let released = lease.current().isHolder ? undefined : lease.release();
    await released;
    while (clock.nowMs() < endMs) {
      if (clock.nowMs() >= endMs - RELEASE_MS) released ??= lease.release();
      const isNoticed = clock.nowMs() - startedMs >= noticeMs;
      if (isNoticed) this.cutOffMs = endMs;
      // A caller that comes back after a refusal needs time at another entry.
      if (isNoticed) this.callers.refuseUnsent();
      if (isNoticed) this.callers.closeIdleConnections();
      if (isNoticed && this.callers.openRequests === 0) break;
      await new Promise<void>(resolve => {
        clock.setTimer(DRAIN_POLL_MS, resolve);
      });
    }
    await (released ?? lease.release());
    logger.info('drained', {
      open: this.callers.openRequests,
      tookMs: Math.round(clock.nowMs() - startedMs),
    });
  }

  stop(): void {
    this.parts.fleet.stop();
    this.holder.stop();
    this.link.stop();
    this.quarantine.stop();
    this.usage.stop();
    this.configs.stop();
    this.stopTidying();
    this.callers.stopAccepting();
    this.readiness.close();
    this.metricsServer.close();
    this.peers.close();
  }

  /** Callers are served without metrics too; a taken port is only told. */
  private async listenForMetrics(at: ListenAddress): Promise<void> {
    try {
      await listen(this.metricsServer, at);
    } catch (thrown) {
      this.parts.logger.warn('metrics-unavailable', {
        address: `${at.host}:${at.port}`,
        error: thrown instanceof Error ? thrown.message : String(thrown),
      });
    }
  }

  private peerHandlers(): PeerHandlers {
    const {holder, link} = this;
    const {fleet} = this.parts;
    return {
      config: () => fleet.configRecord && toldConfigOf(fleet.configRecord),
      exchange: link.answer,
      ensureAdapter: input => holder.ensureAdapter(input),
      permitTrial: input => holder.permitTrial(input),
      lastOrder: input => holder.lastOrder(input),
      takeOver: handover => holder.takeOver(handover),
    };
  }

  /** Values that are read when the metrics are. */
  private addGauges(): void {
    const {clock, metrics, lease} = this.parts;
    const sinceMs = (atMs: number) => Math.round(clock.nowMs() - atMs);
    metrics.gauge(
      'config_version',
      () => this.view.currentConfig?.version ?? 0,
    );
    metrics.gauge('config_heard_age_ms', () =>
      Math.round(this.view.configAgeMs ?? sinceMs(0)),
    );
    metrics.gauge('runners_heard_age_ms', () =>
      sinceMs(this.view.runnersReadMs),
    );
    metrics.gauge('runners_known', () => [...this.view.allRunners()].length);
    metrics.gauge('open_requests', () => this.callers.openRequests);
    metrics.gauge('runner_connections_opened', () => {
      return this.context.connections.opened;
    });
    metrics.gauge('is_holder', () => Number(lease.current().isHolder));
    metrics.gauge('order_token', () => lease.current().fencingToken);
    metrics.gauge('entries_heard', () => this.entries);
  }

  private tidy(): void {
    const nowMs = this.parts.clock.nowMs();
    const lateMs = nowMs - this.tidiedMs - JUDGE_INTERVAL_MS;
    this.parts.metrics.observeMs('loop_delay_ms', Math.max(0, lateMs));
    this.tidiedMs = nowMs;

    this.context.states.ejectOutliers();
    this.context.states.prune(id => this.view.runner(id) !== undefined);
    this.context.rateLimits.prune(id => this.view.runner(id) !== undefined);
    this.context.gate.prune(id => this.view.runner(id) !== undefined);
    this.context.connections.closeIdle();
  }
}

function listen(server: Server, {host, port}: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
