import type {Server} from 'node:http';
import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {GatewayContext} from './context.js';
import {FairShares} from './callers/fairShares.js';
import {UsageAccounts} from './callers/usageAccounts.js';
import {UsageKeeper} from './callers/usageKeeper.js';
import {AnsweredParts} from './crashes/answeredParts.js';
import {CrashLedger} from './crashes/crashLedger.js';
import {CrashSuspects} from './crashes/crashSuspects.js';
import {CrashDetector} from './crashes/crashDetector.js';
import {probeListener} from './crashes/probeListener.js';
import {QuarantineKeeper} from './crashes/quarantineKeeper.js';
import {Drain} from './drain.js';
import {GatewayServer} from './gatewayServer.js';
import {DEFAULT_OPTIONS, type GatewayOptions} from './options.js';
import {ConfigFetcher, encodePeerConfig} from './peers/configFetcher.js';
import {HolderLink} from './peers/holderLink.js';
import {fetchPeerConfig, offerLease} from './peers/peerClient.js';
import type {LeaseHandover, PeerHandlers} from './peers/peerContract.js';
import {PeerServer} from './peers/peerServer.js';
import {DemandMeter} from './placement/demandMeter.js';
import {LeaseHolder} from './placement/leaseHolder.js';
import {LoadRate} from './placement/loadRate.js';
import {repeatEvery} from './repeatEvery.js';
import {createMetricsServer, createReadinessServer} from './readinessServer.js';
import {BacklogWatch} from './resources/backlogWatch.js';
import {DescriptorBudget} from './resources/descriptorBudget.js';
import {createHeldBytes} from './resources/heldBytes.js';
import {createRequestPlaces} from './resources/requestPlaces.js';
import type {ResourceSettings} from './resources/resourceSettings.js';
import {HeldCopies} from './runners/heldCopies.js';
import {PromptGate} from './runners/promptGate.js';
import {RunnerRateLimits} from './runners/runnerRateLimits.js';
import {RunnerBackoffs} from './runners/runnerBackoffs.js';
import {RunnerCapacities} from './runners/runnerCapacities.js';
import {
  RunnerConnections,
  type ConnectionOpening,
} from './runners/runnerConnections.js';
import {WorkForecast} from './requests/workForecast.js';
import {GRANTED_FOR_MS, RetryBudgets} from './requests/retryBudgets.js';
import {MAX_LEASE_TTL_MS} from './placement/leaseTtlMs.js';
import {RetryGrants} from './placement/retryGrants.js';
import {RunnerStates} from './runners/runnerStates.js';
import type {
  FleetSource,
  LeaseSource,
  ListenAddress,
  OriginBatchStore,
  QuarantineStore,
  RequestCodec,
  RunnerControl,
  UsageStore,
  VersionNoteStore,
} from './types.js';
import {OriginService} from './streams/originService.js';
import {ReplicaList} from './streams/replicaList.js';
import {FleetView} from './view/fleetView.js';
import {ViewFreshness} from './view/viewFreshness.js';

/** Limits that the deployment sets on the system. */
export interface DeploymentBounds {
  /** Time from the signal to stop until the process must have ended. */
  graceMs: number;
  /** Retries allowed per request. */
  retryRatio: number;
  /** Retries allowed per window in addition, over all entries. */
  retrySlack: number;
  retryWindowMs: number;
  /** The window over which loads from the weight store are limited. */
  loadWindowMs: number;
  /** Time from its acknowledgement until a configuration applies everywhere. */
  configApplyMs: number;
  /**
   * How long keys are accepted after the configuration was last confirmed;
   * undefined if without limit.
   */
  keysTrustedMs?: number;
  /** Length of the window over which usage is summed up. */
  usageWindowMs: number;
}

export interface GatewaySettings {
  failureDomain: string;
  /** CPU cores that the process may use; may be a fraction. */
  processorShare: number;
  callers: ListenAddress;
  readiness: ListenAddress;
  peers: ListenAddress;
  /** No metrics are served if undefined. */
  metrics?: ListenAddress;
  bounds: DeploymentBounds;
  /** The whole system starts for the first time. */
  isFirstStart: boolean;
  /** What the process may use of its machine. */
  resources: ResourceSettings;
  /** Whether requests are refused that the process can't serve in time. */
  isBacklogWatched: boolean;
}

export interface GatewayDependencies {
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
  versionNotes: VersionNoteStore;
  originBatches: OriginBatchStore;
  random?: () => number;
}

/** The holder's state is used for this long; three exchanges may be lost. */
const HOLDER_STATE_TTL_MS = 1_500;
/** Number of entries assumed until the holder has reported it. */
const ASSUMED_ENTRY_COUNT = 8;
const MAINTENANCE_INTERVAL_MS = 500;
/** A connection to a runner usually opens within a few milliseconds. */
const SLOW_CONNECT_MS = 100;
/** Delay of the event loop that is logged. */
const LATE_LOOP_MS = 150;

/** The gateway process on an entry VM. */
export class Gateway {
  readonly view: FleetView;
  private readonly context: GatewayContext;
  private readonly callerServer: GatewayServer;
  private readonly readinessServer: Server;
  private readonly metricsServer: Server;
  private readonly peerServer: PeerServer;
  private readonly holder: LeaseHolder;
  private readonly holderLink: HolderLink;
  private readonly quarantineKeeper: QuarantineKeeper;
  private readonly configFetcher: ConfigFetcher;
  private readonly usageKeeper: UsageKeeper;
  private readonly originService: OriginService;
  private stopMaintenance: () => void = () => {};
  private stopBacklogWatch: (() => void) | undefined;
  /** Undefined until the holder has reported it. */
  private knownEntryCount: number | undefined;
  private lastMaintenanceMs = 0;
  private readonly drainRun: Drain;

  constructor(private readonly deps: GatewayDependencies) {
    const {clock, logger, metrics, settings, codec, lease, control} = deps;
    const options = {...DEFAULT_OPTIONS, ...deps.options};
    const address = `${settings.peers.host}:${settings.peers.port}`;
    this.view = new FleetView(clock, logger);
    const runnerStates = new RunnerStates(clock, logger, options);
    const heldCopies = new HeldCopies(
      this.view,
      () => clock.nowMs(),
      HOLDER_STATE_TTL_MS,
    );
    const demand = new DemandMeter();
    const random = deps.random ?? Math.random;
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
      currentStart: runnerId => this.view.runner(runnerId),
    });
    this.view.onRestart(runnerId => {
      capacities.handleRestart(runnerId);
      runnerStates.handleRestart(runnerId);
      heldCopies.handleRestart(runnerId);
      rateLimits.handleRestart(runnerId);
    });
    const usageAccounts = new UsageAccounts({
      clock,
      windowMs: settings.bounds.usageWindowMs,
      isFirstStart: settings.isFirstStart,
      random,
      usageCapOf: name => this.view.organisations?.findByName(name)?.usageCap,
    });
    const fairShares = new FairShares({
      clock,
      random,
      isEnabled: () =>
        options.fairShares && this.view.organisations !== undefined,
    });
    const answeredParts = new AnsweredParts(clock);
    const suspects = new CrashSuspects(clock, answeredParts);
    const crashLedger = new CrashLedger({
      clock,
      logger,
      metrics,
      epoch: `${address}#${clock.wallMs()}`,
      onQuarantine: key => this.quarantineKeeper.add(key),
      onRelease: key => this.quarantineKeeper.remove(key),
    });
    this.quarantineKeeper = new QuarantineKeeper({
      clock,
      logger,
      store: deps.quarantine,
      lease,
      suspects,
      isHolderReachable: () => this.holderLink.isHolderReachable,
    });
    const loadRate = new LoadRate(
      settings.bounds.loadWindowMs,
      clock.nowMs() + settings.bounds.loadWindowMs,
    );
    this.configFetcher = new ConfigFetcher({
      clock,
      logger,
      version: () => this.view.currentConfig?.version ?? 0,
      fetchFrom: peer => fetchPeerConfig(peer, options.peerTimeoutMs),
      apply: record => deps.fleet.takeConfig(record),
    });
    const onNewerConfig = (version: number, peer: string) => {
      logger.info('config-behind', {version, peer});
      deps.fleet.refreshConfig();
      this.configFetcher.noteNewerVersion(version, peer);
    };
    const {retryRatio, retrySlack, retryWindowMs} = settings.bounds;
    const replicaList = new ReplicaList();
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
      crashes: crashLedger,
      replicaList,
      processorShare: settings.processorShare,
      usage: usageAccounts,
      retryGrants: new RetryGrants({
        clock,
        permitsPerWindow: retrySlack * options.retryBudgetShare,
        windowMs: retryWindowMs,
        grantedForMs: GRANTED_FOR_MS,
        leaseTtlMs: MAX_LEASE_TTL_MS,
        entryCount: () => this.entryCount,
      }),
      runnersChange: () => deps.fleet.runnersChange,
      onNewerConfig,
      isLeaving: () => this.drainRun.hasStarted,
    });
    this.usageKeeper = new UsageKeeper({
      clock,
      logger,
      store: deps.usage,
      lease,
      accounts: usageAccounts,
      isFirstStart: settings.isFirstStart,
      nearLimit: () => this.holder.usageNearLimit(),
    });
    this.originService = new OriginService({
      clock,
      logger,
      metrics,
      options,
      lease,
      view: this.view,
      self: {address, failureDomain: settings.failureDomain},
      replicaList,
      noteStore: deps.versionNotes,
      batchStore: deps.originBatches,
      entryCount: () => this.entryCount,
      confirmRunners: () => deps.fleet.confirmRunners(),
    });
    this.holderLink = new HolderLink({
      clock,
      logger,
      metrics,
      options,
      lease,
      ownHandlers: this.holder,
      self: {
        address,
        failureDomain: settings.failureDomain,
        processorShare: settings.processorShare,
      },
      demand,
      usage: usageAccounts,
      fairShares,
      suspects,
      replicaList,
      states: runnerStates,
      rateLimits,
      capacities,
      heldCopies,
      view: this.view,
      loadRate,
      configVersion: () => this.view.currentConfig?.version ?? 0,
      onNewerConfig,
      runnersChange: () => deps.fleet.runnersChange,
      hasReadRunners: position => deps.fleet.hasReadRunners(position),
      onConfigCurrent: atMs => this.view.onConfigCurrent(atMs),
      onRunnersCurrent: atMs => this.view.onRunnersCurrent(atMs),
      onRunnersChange: position => deps.fleet.refreshRunners(position),
      random,
      onEntryCount: count => {
        this.knownEntryCount = count;
      },
    });
    const retryBudgets = new RetryBudgets({
      clock,
      logger,
      metrics,
      retryRatio,
      retryWindowMs,
      usedShare: options.retryBudgetShare,
      requestGrant: (service, count) =>
        this.holderLink.retryGrants.request(service, count),
      random,
    });
    const connections = new RunnerConnections(clock, options, opening =>
      this.noteOpening(opening),
    );
    const {maxDescriptors} = settings.resources;
    this.context = {
      clock,
      logger,
      metrics,
      options,
      failureDomain: settings.failureDomain,
      view: this.view,
      viewFreshness: new ViewFreshness({
        clock,
        logger,
        metrics,
        view: this.view,
        confirmRunners: () => deps.fleet.confirmRunners(),
      }),
      codec,
      connections,
      runnerStates,
      capacities,
      promptGate: new PromptGate(clock),
      rateLimits,
      runnerBackoffs: new RunnerBackoffs({clock, logger}),
      crashWatch: new CrashDetector({
        clock,
        logger,
        metrics,
        view: this.view,
        answeredParts,
        probe: at => probeListener(at, options.connectTimeoutMs),
        isAlerted: () => suspects.isAlerted,
        onCrash: crash => suspects.noteCrash(crash),
        onAnswered: fingerprints => suspects.noteServed(fingerprints),
      }),
      suspects,
      heldCopies,
      demand,
      usage: usageAccounts,
      heldBytes: createHeldBytes(settings.resources, {
        clock,
        logger,
        metrics,
        options,
      }),
      backlog: settings.isBacklogWatched
        ? new BacklogWatch({
            clock,
            logger,
            metrics,
            resources: settings.resources,
            movingBytes: () => this.context.heldBytes?.movingBytes ?? 0,
          })
        : undefined,
      descriptors:
        maxDescriptors === undefined
          ? undefined
          : new DescriptorBudget({
              metrics,
              maxDescriptors,
              connections,
            }),
      requestPlaces: createRequestPlaces(settings.resources, {
        metrics,
        options,
      }),
      fairShares,
      workForecast: new WorkForecast(() => clock.nowMs()),
      streamOrigins: this.originService.origins,
      keysTrustedMs: settings.bounds.keysTrustedMs,
      configApplyMs: settings.bounds.configApplyMs,
      refreshConfig: () => deps.fleet.refreshConfig(),
      entryCount: () => this.entryCount,
      retryBudgetOf: service => retryBudgets.of(service),
      ensureAdapter: this.holderLink.ensureAdapter,
      permitTrial: this.holderLink.permitTrial,
      random,
      isDraining: () => this.drainRun.hasStarted,
      drainDeadlineMs: () => this.drainRun.deadlineMs,
    };
    this.callerServer = new GatewayServer(this.context);
    this.drainRun = new Drain({
      clock,
      logger,
      lease,
      callers: this.callerServer,
      graceMs: settings.bounds.graceMs,
      options,
    });
    this.readinessServer = createReadinessServer(() => this.isReady);
    this.metricsServer = createMetricsServer(() => metrics.render());
    this.registerGauges();
    this.peerServer = new PeerServer(this.peerHandlers());
  }

  /** Whether the balancer may send callers to this process. */
  get isReady(): boolean {
    const isLate = this.context.backlog?.isUnready ?? false;
    return this.view.isReady && !this.drainRun.hasStarted && !isLate;
  }

  /** The process drains, and the balancer has stopped sending callers to it. */
  get isDrainNoticed(): boolean {
    return this.drainRun.deadlineMs !== undefined;
  }

  private get entryCount(): number {
    return this.knownEntryCount ?? ASSUMED_ENTRY_COUNT;
  }

  /** Memory held for callers, in bytes; undefined if it isn't limited. */
  get heldBytes(): number | undefined {
    return this.context.heldBytes?.heldBytes;
  }

  get callersPort(): number {
    return this.deps.settings.callers.port;
  }

  /**
   * Offers the lease to one peer after another until one takes it.
   *
   * @returns the address of that peer; undefined if none took it.
   */
  async handOverLease(handover: LeaseHandover): Promise<string | undefined> {
    const {peers} = this.deps.settings;
    const own = `${peers.host}:${peers.port}`;
    const {peerTimeoutMs} = this.context.options;
    for (const address of this.holder.activeEntryAddresses()) {
      if (address === own) continue;
      if (await offerLease(address, handover, peerTimeoutMs)) return address;
    }
    return undefined;
  }

  async start(): Promise<void> {
    const {settings, fleet, lease, logger, clock} = this.deps;
    const {callers, readiness, peers, metrics: metricsAddress} = settings;
    await this.callerServer.listen(callers.port, callers.host);
    await listen(this.readinessServer, readiness);
    if (metricsAddress) await this.listenForMetrics(metricsAddress);
    await this.peerServer.listen(peers);
    fleet.start({
      onConfig: config => this.view.onConfig(config),
      onConfigCurrent: atMs => this.view.onConfigCurrent(atMs),
      onRegistration: registration => this.view.onRegistration(registration),
      onRemoval: runnerId => this.view.onRemoval(runnerId),
      onRunnersCurrent: atMs => this.view.onRunnersCurrent(atMs),
      onRunnersGap: () => this.view.onRunnersGap(),
      onCaughtUp: () => this.view.onCaughtUp(),
      isRelayed: () => this.holderLink.isRelayed,
    });
    lease.start();
    this.holder.start();
    this.holderLink.start();
    this.quarantineKeeper.start();
    this.usageKeeper.start();
    this.originService.start();
    this.lastMaintenanceMs = clock.nowMs();
    this.stopMaintenance = repeatEvery(
      {
        clock,
        logger,
        step: 'maintenance',
        intervalMs: MAINTENANCE_INTERVAL_MS,
      },
      () => this.runMaintenance(),
    );
    this.stopBacklogWatch = this.context.backlog?.start();
    logger.info('started', {
      callers: `${callers.host}:${callers.port}`,
      peers: `${peers.host}:${peers.port}`,
    });
  }

  /** Drains the process; see {@link Drain}. */
  drain(): Promise<void> {
    return this.drainRun.run();
  }

  stop(): void {
    this.deps.fleet.stop();
    this.holder.stop();
    this.holderLink.stop();
    this.quarantineKeeper.stop();
    this.usageKeeper.stop();
    this.originService.stop();
    this.configFetcher.stop();
    this.stopMaintenance();
    this.stopBacklogWatch?.();
    this.callerServer.stopAccepting();
    this.readinessServer.close();
    this.metricsServer.close();
    this.peerServer.close();
  }

  /** To be called when the process exits. */
  logRequestsCutByExit(): void {
    this.callerServer.logRequestsCutByExit();
  }

  /** Only logs a failure, such as a port in use: callers need no metrics. */
  private async listenForMetrics(at: ListenAddress): Promise<void> {
    try {
      await listen(this.metricsServer, at);
    } catch (thrown) {
      this.deps.logger.warn('metrics-unavailable', {
        address: `${at.host}:${at.port}`,
        error: thrown instanceof Error ? thrown.message : String(thrown),
      });
    }
  }

  private peerHandlers(): PeerHandlers {
    const {holder, holderLink: link} = this;
    const {fleet} = this.deps;
    return {
      config: () => fleet.configRecord && encodePeerConfig(fleet.configRecord),
      exchange: link.handleExchange,
      ensureAdapter: input => holder.ensureAdapter(input),
      permitTrial: input => holder.permitTrial(input),
      requestRetries: link.retryGrants.handle,
      lastOrder: input => holder.lastOrder(input),
      takeOver: handover => holder.takeOver(handover),
      noteOrigins: input => this.originService.handleNote(input),
      findOrigins: input => this.originService.origins.handleFind(input),
    };
  }

  /** Registers values that are read when the metrics are rendered. */
  private registerGauges(): void {
    const {clock, metrics, lease} = this.deps;
    const ageMs = (atMs: number) => Math.round(clock.nowMs() - atMs);
    metrics.gauge(
      'config_version',
      () => this.view.currentConfig?.version ?? 0,
    );
    metrics.gauge('config_heard_age_ms', () =>
      Math.round(this.view.configAgeMs ?? ageMs(0)),
    );
    metrics.gauge('runners_heard_age_ms', () =>
      Math.round(this.view.runnersAgeMs ?? ageMs(0)),
    );
    metrics.gauge('runners_known', () => [...this.view.allRunners()].length);
    metrics.gauge(
      'runners_of_unusual_speed',
      () => this.context.capacities.notableCount,
    );
    metrics.gauge('open_requests', () => this.callerServer.openRequests);
    metrics.gauge('runner_connections_opened', () => {
      return this.context.connections.opened;
    });
    metrics.gauge('is_holder', () => Number(lease.current().isHolder));
    metrics.gauge('order_token', () => lease.current().fencingToken);
    metrics.gauge(
      'organisations_limited',
      () => this.context.fairShares.limitedCount,
    );
    metrics.gauge('entries_heard', () => this.entryCount);
    metrics.gauge('origin_records', () => this.context.streamOrigins.size);
  }

  private noteOpening({address, tookMs, isOpen}: ConnectionOpening): void {
    const {logger, metrics} = this.deps;
    metrics.observeMs('runner_connect_ms', tookMs);
    if (tookMs < SLOW_CONNECT_MS) return;
    logger.info('connect-slow', {
      address,
      tookMs: Math.round(tookMs),
      isOpen,
    });
  }

  /** Measures the event loop's delay, ejects runners and drops stale state. */
  private runMaintenance(): void {
    const nowMs = this.deps.clock.nowMs();
    const lateMs = nowMs - this.lastMaintenanceMs - MAINTENANCE_INTERVAL_MS;
    this.deps.metrics.observeMs('loop_delay_ms', Math.max(0, lateMs));
    this.lastMaintenanceMs = nowMs;
    if (lateMs >= LATE_LOOP_MS) {
      this.deps.logger.info('loop-late', {lateMs: Math.round(lateMs)});
    }

    const {capacities} = this.context;
    this.context.streamOrigins.refresh();
    this.context.runnerStates.ejectOutliers(id => capacities.speed(id));
    this.context.runnerStates.prune(id => this.view.runner(id) !== undefined);
    this.context.capacities.prune(id => this.view.runner(id) !== undefined);
    this.context.rateLimits.prune(id => this.view.runner(id) !== undefined);
    this.context.runnerBackoffs.prune();
    this.context.promptGate.prune(id => this.view.runner(id) !== undefined);
    this.context.connections.closeIdle();
    this.callerServer.closeStaleConnections();
    this.callerServer.freeUnusedMemory();
    this.context.descriptors?.measure();
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
