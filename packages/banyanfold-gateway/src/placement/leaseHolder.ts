import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
} from '@banyanfold/core';
import {
  chooseRelays,
  planCopies,
  type CopyOrder,
  type CopyPlanInput,
  type CopyRunner,
  FleetUsage,
  type FleetUsageSnapshot,
  type UsageLimit,
  type RelaysByDomain,
} from '@banyanfold/decisions';
import type {TrialInput, TrialOutput} from '../crashes/crashContract.js';
import type {UsageAccounts} from '../callers/usageAccounts.js';
import type {CrashLedger} from '../crashes/crashLedger.js';
import type {GatewayOptions} from '../options.js';
import type {
  EnsureAdapterInput,
  EnsureAdapterOutput,
  ExchangeInput,
  ExchangeOutput,
  NotHolder,
  HolderHandlers,
  RunnerCopies,
} from '../peers/peerContract.js';
import type {
  EngineSpec,
  LeaseSource,
  RunnerControl,
  RunnerRegistration,
  RunnerReport,
} from '../types.js';
import type {
  LastOrder,
  SuccessorHolder,
  LeaseHandover,
} from '../peers/peerContract.js';
import type {ReplicaList} from '../streams/replicaList.js';
import type {RetryGrant, RetryGrantInput} from '../peers/retryGrantContract.js';
import type {FleetView, ViewChange} from '../view/fleetView.js';
import {repeatEvery} from '../repeatEvery.js';
import {CopyRevisions} from './copyRevisions.js';
import {estimateCopyDelayMs, estimateLoadMs} from './copyTimes.js';
import {summarizeCopies} from './summarizeCopies.js';
import {toCopyRunner} from './toCopyRunner.js';
import type {ModelDemand} from './demandMeter.js';
import {FleetDemand} from './fleetDemand.js';
import {EntryLoads} from './entryLoads.js';
import {FleetOutcomes} from './fleetOutcomes.js';
import {FleetRateLimits} from './fleetRateLimits.js';
import {HolderShares} from './holderShares.js';
import {HolderSpeeds} from './holderSpeeds.js';
import {ReplicaRoster} from './replicaRoster.js';
import {LoadRate} from './loadRate.js';
import {REPORT_TICK_MS, ReportPoller} from './reportPoller.js';
import {RetryGrants} from './retryGrants.js';
import {RunnerController} from './runnerController.js';
import {SeenBatches} from './seenBatches.js';
import {StandbyRoster} from './standbyRoster.js';

/**
 * Entries are told when a copy will be ready for models requested within this
 * time.
 */
const RECENT_DEMAND_MS = 5_000;
/**
 * No copy is evicted before demand has been observed for this long, because the
 * first requests would seem to be all of the demand. Most of the smoothing time
 * of the rates.
 */
const MIN_DEMAND_HISTORY_MS = 1_000;
/** Shorter than the shortest exchange interval of one entry. */
const COPIES_UPDATE_INTERVAL_MS = 40;
/**
 * A holder still answers exchanges for this long after its lease has lapsed, in
 * ms. The renewal may only be late, and what runners hold hardly changes
 * without orders.
 */
const LAPSED_ANSWER_MS = 1_500;
/**
 * After a plan or a pass over all runners, the next one waits for this many
 * times its duration, so that lease renewals and answers are not delayed.
 */
const PAUSE_FACTOR = 8;
/**
 * Bounds the pause, because a run may take long only because the process was
 * frozen.
 */
const MAX_PAUSE_MS = 2_000;
/** Interval at which the use of the runners' memory is logged. */
const COPIES_LOG_INTERVAL_MS = 1_000;
/** An unload completes right after the requests in progress. */
const EXPECTED_UNLOAD_MS = 100;

export interface LeaseHolderOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  lease: LeaseSource;
  control: RunnerControl;
  view: FleetView;
  options: GatewayOptions;
  /** Address of this process, which orders name as their sender. */
  holder: string;
  loadRate: LoadRate;
  crashes: CrashLedger;
  replicaList: ReplicaList;
  /** Number of cores that the process may use. */
  processorShare: number;
  usage: UsageAccounts;
  /** Permits to retry that this process grants while it holds the lease. */
  retryGrants: RetryGrants;
  /** Position of the last change to the runners that this process has read. */
  runnersChange(): number;
  /** Called when an entry has a newer configuration than this process. */
  onNewerConfig(version: number, peer: string): void;
  isLeaving: () => boolean;
}

/**
 * Plans placement and sends all orders to runners while this process holds the
 * lease.
 */
export class LeaseHolder implements HolderHandlers {
  private readonly controllers = new Map<string, RunnerController>();
  private readonly demand = new FleetDemand();
  private readonly entryLoads = new EntryLoads();
  private readonly batches = new SeenBatches();
  private readonly outcomes: FleetOutcomes;
  private rateLimits: FleetRateLimits;
  private speeds = new HolderSpeeds();
  private fleetUsage: FleetUsage;
  private readonly shares: HolderShares;
  /** Term of the lease during which all use was reported to this process. */
  private usageTerm: number | undefined;
  private relays: RelaysByDomain = new Map();
  private relaysChosenMs = Number.NEGATIVE_INFINITY;
  private copiesUpdatedMs = Number.NEGATIVE_INFINITY;
  private copiesUpdateTookMs = 0;
  private copyDelaysMs: Record<string, number> = {};
  private readonly stopTimers: Array<() => void> = [];
  private readonly revisions: CopyRevisions;
  private newestConfigVersion = 0;
  private newestRunnersChange = 0;
  private plannedMs = Number.NEGATIVE_INFINITY;
  private planTookMs = 0;
  private readonly copiesLoggedMs = new Map<string, number>();
  /** When this process last held the lease. */
  private lastHeldMs = Number.NEGATIVE_INFINITY;
  private readonly reportPoller: ReportPoller;
  private readonly standbyRoster: StandbyRoster;
  private readonly replicaRoster: ReplicaRoster;
  private readonly startedMs: number;

  constructor(private readonly deps: LeaseHolderOptions) {
    this.startedMs = deps.clock.nowMs();
    this.fleetUsage = this.createFleetUsage(this.startedMs, false);
    this.outcomes = new FleetOutcomes(deps);
    this.rateLimits = new FleetRateLimits(deps.clock);
    const isSwitchedOn = deps.options.fairShares;
    this.shares = new HolderShares({...deps, isSwitchedOn});
    this.reportPoller = new ReportPoller({
      ...deps,
      onReport: (queried, report, requestedMs) => {
        const {runnerId} = queried.registration;
        const {bornMs, isLeaving} = report;
        deps.view.noteStart({runnerId, bornMs});
        if (isLeaving) deps.view.noteLeaving({runnerId, bornMs}, 'report');
        this.controllerFor(queried, report)?.applyReport(report, requestedMs);
      },
    });
    const epoch = `${deps.holder}#${deps.clock.wallMs()}`;
    this.revisions = new CopyRevisions(epoch);
    this.replicaRoster = new ReplicaRoster({
      epoch,
      intervalMs: deps.options.exchangeIntervalMs,
      list: deps.replicaList,
      members: nowMs => this.entryLoads.members(nowMs),
    });
    this.standbyRoster = new StandbyRoster(deps.holder, nowMs =>
      this.entryLoads.members(nowMs),
    );
  }

  start(): void {
    const {options, clock, logger} = this.deps;
    this.stopTimers.push(
      repeatEvery(
        {clock, logger, step: 'plan', intervalMs: options.planIntervalMs},
        () => this.plan(),
      ),
      repeatEvery(
        {clock, logger, step: 'poll-reports', intervalMs: REPORT_TICK_MS},
        () => this.pollReports(),
      ),
    );
    this.deps.view.onChange(change => this.handleViewChange(change));
  }

  stop(): void {
    for (const stop of this.stopTimers.splice(0)) stop();
  }

  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {lease, clock} = this.deps;
    const nowMs = clock.nowMs();
    const {isHolder, owns, holderAddress, term} = lease.current();
    if (isHolder) this.lastHeldMs = nowMs;
    const ageMs = nowMs - this.lastHeldMs;
    if (!owns || ageMs > LAPSED_ANSWER_MS) {
      return {kind: 'not-holder', holderAddress};
    }
    this.handleTermChange(term, nowMs);
    this.recordInput(input, nowMs);
    this.refreshCopies(nowMs);
    const {entry} = input;
    return {
      kind: 'told',
      holder: this.deps.holder,
      isOrdering: isHolder,
      ageMs,
      configVersion: this.newestConfigVersion,
      // As of now, like the age of the view: an entry that is told only the age
      // would take its own view for as recent.
      runnersChange: Math.max(
        this.newestRunnersChange,
        this.deps.runnersChange(),
      ),
      runnersReadAgeMs: this.deps.view.runnersAgeMs ?? nowMs,
      configReadAgeMs: this.deps.view.configAgeMs,
      entries: this.entryLoads.count(nowMs),
      standbys: this.standbyRoster.current(input.members, term, nowMs),
      relays: this.relaysFor(input, nowMs),
      loadAgesMs: this.deps.loadRate.loadAgesMs(nowMs),
      copies: this.revisions.since(input.known),
      copiesInMs: this.copyDelaysMs,
      peersWork: this.entryLoads.openWorkExcept(entry, nowMs),
      peersRequests: this.entryLoads.openRequestsExcept(entry, nowMs),
      ejectedForMs: this.outcomes.ejections(),
      usage: this.fleetUsage.snapshot(nowMs),
      rateLimits: this.rateLimits.snapshot(),
      organisationShares: this.shares.limits(
        () => this.entryLoads.poolBacklogs(nowMs) ?? {},
      ),
      ...this.deps.view.departures(),
      runnerSpeeds: this.speeds.snapshot(nowMs),
      suspects: this.deps.crashes.suspectListFor(input.knownSuspects),
      replicas: this.replicaRoster.updateFor(input.knownReplicas, term, nowMs),
    };
  }

  /**
   * Resets the counts, because entries reported their use to another holder
   * before.
   */
  private handleTermChange(term: number, nowMs: number): void {
    if (term === this.usageTerm) return;
    const {retryGrants, loadRate, lease} = this.deps;
    const {isFirst} = lease.current();
    retryGrants.begin(isFirst);
    if (isFirst) loadRate.markSynced();
    this.usageTerm = term;
    this.fleetUsage = this.createFleetUsage(nowMs, isFirst);
    this.shares.reset();
    this.rateLimits = new FleetRateLimits(this.deps.clock);
    this.speeds = new HolderSpeeds();
  }

  /** Starts from the amounts that this process last received as an entry. */
  private createFleetUsage(sinceMs: number, isFirst: boolean): FleetUsage {
    const {usage} = this.deps;
    const assumedShare = isFirst ? 0 : usage.assumedUseShare;
    return new FleetUsage({
      windowMs: usage.windowMs,
      startMs: sinceMs,
      limitOf: name => this.limitOf(name),
      knownUse: usage.knownUse(),
      assumedUse: ({perWindow}) => perWindow * assumedShare,
    });
  }

  /**
   * Returns the remaining usage of organisations that are near their limits.
   */
  usageNearLimit(): Record<string, FleetUsageSnapshot> {
    const fleetUsage = this.fleetUsage.snapshot(this.deps.clock.nowMs());
    return this.deps.usage.nearLimit(fleetUsage, name => this.limitOf(name));
  }

  private limitOf(organisation: string): UsageLimit | undefined {
    const {usage, view} = this.deps;
    const cap = view.organisations?.findByName(organisation)?.usageCap;
    return cap && usage.limitOf(cap);
  }

  private recordInput(input: ExchangeInput, nowMs: number): void {
    const {entry, batch, waiting, crashes} = input;
    const {rateLimits = []} = input;
    this.entryLoads.record(entry, input, nowMs);
    this.rateLimits.recordLimits(rateLimits);
    this.speeds.record(input.runnerSpeeds ?? [], nowMs);
    this.deps.view.noteDepartures(input);
    if (crashes) this.deps.crashes.addReport(crashes);
    if (this.batches.addIfNew(entry, batch.batchId)) {
      this.demand.record(batch.demand, nowMs);
      this.recordAdapterUse(batch.demand);
      this.outcomes.record(batch.outcomes ?? []);
      this.fleetUsage.addReports(batch.usage ?? [], nowMs);
      this.rateLimits.recordUse(batch.rateUse ?? []);
      this.shares.record(batch);
    }
    const {view, holder, onNewerConfig} = this.deps;
    const version = view.currentConfig?.version ?? 0;
    if (input.configVersion > version && entry !== holder) {
      onNewerConfig(input.configVersion, entry);
    }
    this.newestConfigVersion = Math.max(
      this.newestConfigVersion,
      input.configVersion,
    );
    this.newestRunnersChange = Math.max(
      this.newestRunnersChange,
      input.runnersChange,
    );
    if (Object.keys(waiting).length > 0) this.planIfDue();
  }

  private recordAdapterUse(demand: readonly ModelDemand[]): void {
    for (const {model, adapters} of demand) {
      for (const adapter of Object.keys(adapters)) {
        for (const controller of this.controllers.values()) {
          controller.recordAdapterUse(model, adapter);
        }
      }
    }
  }

  /**
   * Updates what runners hold and load, once for several exchanges: with 82
   * runners it takes longer than everything else in an exchange.
   */
  private refreshCopies(nowMs: number): void {
    const pauseMs = Math.max(
      COPIES_UPDATE_INTERVAL_MS,
      pauseAfterMs(this.copiesUpdateTookMs),
    );
    if (nowMs - this.copiesUpdatedMs < pauseMs) return;
    this.copiesUpdatedMs = nowMs;
    this.revisions.update(this.reportedRunners());
    this.copyDelaysMs = this.estimateCopyDelays(nowMs);
    this.copiesUpdateTookMs = this.deps.clock.nowMs() - nowMs;
  }

  private relaysFor({members}: ExchangeInput, nowMs: number): string[] {
    const {options, holder} = this.deps;
    if (nowMs - this.relaysChosenMs >= options.exchangeIntervalMs) {
      this.relaysChosenMs = nowMs;
      this.relays = chooseRelays(
        this.entryLoads.members(nowMs),
        holder,
        this.relays,
      );
    }
    return [...(this.relays.get(members[0]?.failureDomain ?? '') ?? [])];
  }

  /** A model with waiting requests counts as requested now. */
  private modelIdleMs(model: string, nowMs: number): number {
    const hasWaiting = this.entryLoads.waitingRequests(model, nowMs) > 0;
    return hasWaiting ? 0 : this.demand.idleMs(model, nowMs);
  }

  /**
   * Estimates for models that were requested recently and that no runner
   * serves. A leaving runner gets no more requests, so its copies don't count.
   */
  private estimateCopyDelays(nowMs: number): Record<string, number> {
    const delaysMs: Record<string, number> = {};
    const controllers = [...this.controllers.values()].filter(
      ({registration: {runnerId}}) => !this.deps.view.runner(runnerId)?.leaving,
    );
    const servedModels = new Set(
      controllers.flatMap(each => each.servingModels()),
    );
    for (const {engine} of this.deps.view.currentConfig?.services.values() ??
      []) {
      for (const spec of engine?.models.values() ?? []) {
        if (servedModels.has(spec.name)) continue;
        if (this.modelIdleMs(spec.name, nowMs) > RECENT_DEMAND_MS) continue;
        delaysMs[spec.name] = Math.round(
          estimateCopyDelayMs(spec, controllers),
        );
      }
    }
    return delaysMs;
  }

  private reportedRunners(): RunnerCopies[] {
    return [...this.controllers.values()]
      .filter(controller => controller.isReady)
      .map(controller => ({
        runnerId: controller.registration.runnerId,
        bornMs: controller.registration.bornMs,
        models: controller.isReachable ? controller.servingModels() : [],
        adapters: controller.servingAdapters(),
        isBusy: controller.isBusy,
      }));
  }

  async ensureAdapter(input: EnsureAdapterInput): Promise<EnsureAdapterOutput> {
    const {lease, view} = this.deps;
    if (!lease.current().isHolder) {
      return {isThere: false, reason: 'not-holder'};
    }
    const controller = this.controllers.get(input.runnerId);
    if (!controller?.isReady) return {isThere: false, reason: 'runner-unknown'};
    const engine = this.engineOf(controller.registration);
    if (!engine || view.runner(input.runnerId)?.leaving) {
      return {isThere: false, reason: 'runner-leaving'};
    }
    if (controller.isBusy) return {isThere: false, reason: 'runner-busy'};
    const isThere = await controller.ensureAdapter(
      input.model,
      input.adapter,
      engine.adapterSlots,
    );
    return {isThere, reason: isThere ? 'there' : 'not-fetched'};
  }

  permitTrial(input: TrialInput): TrialOutput {
    const {lease, crashes} = this.deps;
    if (!lease.current().isHolder) return {reason: 'not-holder'};
    return crashes.permitTrial(input);
  }

  /**
   * Undefined from a process that doesn't hold the lease. One whose lease has
   * expired grants nothing, as its successor may do so before it knows.
   */
  grantRetries({service, count}: RetryGrantInput): RetryGrant | undefined {
    const {lease, clock, logger, retryGrants} = this.deps;
    const {isUnexpired, term} = lease.current();
    if (!isUnexpired) return undefined;
    this.handleTermChange(term, clock.nowMs());
    const grant = retryGrants.grant(service, count);
    logger.info('retries-granted', {service, requested: count, ...grant});
    return grant;
  }

  takeOver(handover: LeaseHandover): boolean {
    return !this.deps.isLeaving() && this.deps.lease.takeOver(handover);
  }

  /** Addresses of the entries that reported recently, the most recent first. */
  activeEntryAddresses(): string[] {
    const members = this.entryLoads.members(this.deps.clock.nowMs());
    return members.map(({address}) => address);
  }

  lastOrder(later: SuccessorHolder): LastOrder {
    const {clock, isLeaving, lease} = this.deps;
    const hasLostStore = lease.yieldTo(later.generation, later.address);
    let latestMs: number | undefined;
    for (const {lastOrderMs} of this.controllers.values()) {
      if (lastOrderMs === undefined) continue;
      latestMs = Math.max(latestMs ?? lastOrderMs, lastOrderMs);
    }
    return {
      agoMs: latestMs === undefined ? undefined : clock.nowMs() - latestMs,
      upMs: clock.nowMs() - this.startedMs,
      isOver: isLeaving() || hasLostStore,
    };
  }

  private readonly viewHandlers: {
    [K in ViewChange['kind']]: (change: Extract<ViewChange, {kind: K}>) => void;
  } = {
    config: () => this.syncControllers(),
    'caught-up': () => {},
    'runners-gap': () => {},
    runner: ({runnerId}) => this.syncController(runnerId),
    'runner-removed': ({runnerId}) => this.controllers.delete(runnerId),
  };

  private handleViewChange(change: ViewChange): void {
    this.viewHandlers[change.kind](change as never);
  }

  /** A new configuration may turn other services into model services. */
  private syncControllers(): void {
    for (const {runnerId} of this.deps.view.allRunners()) {
      this.syncController(runnerId);
    }
  }

  /** Creates the controller of a model runner that is new or has restarted. */
  private syncController(runnerId: string): void {
    const registration = this.deps.view.runner(runnerId);
    if (!registration || !this.engineOf(registration)) return;
    const existing = this.controllers.get(runnerId);
    if (existing && existing.registration.bornMs >= registration.bornMs) return;
    this.createController(registration);
  }

  /**
   * Creates a controller without the orders, copies and uncertain state of an
   * earlier start of the runner. A restarted runner holds nothing, and with the
   * old state requests would be routed to models that are not there.
   */
  private createController(registration: RunnerRegistration): RunnerController {
    const {clock, logger, metrics, lease, control, holder} = this.deps;
    const {runnerId} = registration;
    const controller = new RunnerController(registration, {
      clock,
      logger,
      metrics,
      lease,
      control,
      holder,
      isAdapterInUse: adapter =>
        this.entryLoads.isAdapterInUse(runnerId, adapter, clock.nowMs()),
    });
    this.controllers.set(runnerId, controller);
    return controller;
  }

  private engineOf({service}: RunnerRegistration): EngineSpec | undefined {
    return this.deps.view.currentConfig?.services.get(service)?.engine;
  }

  private pollReports(): void {
    if (!this.deps.lease.current().isHolder) return;
    this.reportPoller.pollDue([...this.controllers.values()]);
  }

  /**
   * Returns the controller for the process start that sent the report;
   * undefined if the runner has restarted since.
   */
  private controllerFor(
    queriedController: RunnerController,
    {bornMs}: RunnerReport,
  ): RunnerController | undefined {
    const {registration} = queriedController;
    const current = this.controllers.get(registration.runnerId);
    if (!current || bornMs < current.registration.bornMs) return undefined;
    if (bornMs === current.registration.bornMs) return current;
    return this.createController({...registration, bornMs, models: []});
  }

  private planIfDue(): void {
    const {clock, options} = this.deps;
    if (clock.nowMs() - this.plannedMs >= options.urgentIntervalMs) this.plan();
  }

  private plan(): void {
    const {lease, view, clock, metrics} = this.deps;
    const nowMs = clock.nowMs();
    if (nowMs - this.plannedMs < pauseAfterMs(this.planTookMs)) return;
    this.plannedMs = nowMs;
    if (!lease.current().isHolder) return;
    for (const {name, engine} of view.currentConfig?.services.values() ?? []) {
      if (engine) this.planService(name, engine);
    }
    this.planTookMs = clock.nowMs() - this.plannedMs;
    metrics.observeMs('plan_ms', this.planTookMs);
  }

  private planService(service: string, engine: EngineSpec): void {
    const {clock, view, loadRate} = this.deps;
    const nowMs = clock.nowMs();
    const runners: CopyRunner[] = [];
    for (const controller of this.controllers.values()) {
      const {runnerId} = controller.registration;
      const registered = view.runner(runnerId);
      if (registered?.service !== service || registered.leaving) continue;
      if (!controller.isReachable) continue;
      const inUse = this.entryLoads.modelsInUse(runnerId, nowMs);
      const speed = this.speeds.speed(runnerId, nowMs);
      runners.push({...toCopyRunner(controller, engine), inUse, speed});
    }
    const input: CopyPlanInput = {
      runners,
      models: [...engine.models.values()].map(
        ({name, weightsMb, storeLoadMs, diskLoadMs, memoryLoadMs}) => ({
          name,
          weightsMb,
          storeLoadMs,
          diskLoadMs,
          memoryLoadMs,
          workPerSecond: this.demand.workPerSecond(name, nowMs),
          requestsPerSecond: this.demand.requestsPerSecond(name, nowMs),
          longTermRequestsPerSecond: this.demand.usualRequestsPerSecond(
            name,
            nowMs,
          ),
          waiting: this.entryLoads.waitingRequests(name, nowMs),
          idleMs: this.modelIdleMs(name, nowMs),
        }),
      ),
      canEvict: this.demand.observedForMs(nowMs) >= MIN_DEMAND_HISTORY_MS,
      storeLoadsLeft: loadRate.remaining(engine.loadsPerSecond, nowMs),
    };
    this.logCopies(service, input, nowMs);
    for (const order of planCopies(input)) {
      const {logger} = this.deps;
      runInBackground({logger, step: 'order', peer: order.runnerId}, () =>
        this.sendOrder(order, engine),
      );
    }
  }

  private logCopies(
    service: string,
    input: CopyPlanInput,
    nowMs: number,
  ): void {
    const loggedMs = this.copiesLoggedMs.get(service) ?? -Infinity;
    if (nowMs - loggedMs < COPIES_LOG_INTERVAL_MS) return;
    this.copiesLoggedMs.set(service, nowMs);
    this.deps.logger.info('copies', {service, ...summarizeCopies(input)});
  }

  private async sendOrder(order: CopyOrder, engine: EngineSpec): Promise<void> {
    const controller = this.controllers.get(order.runnerId);
    if (!controller) return;
    if (order.isFromStore) this.deps.loadRate.record(this.deps.clock.nowMs());
    const {kind, model, reason, roomFor} = order;
    const expectedMs =
      kind === 'load'
        ? estimateLoadMs(engine.models.get(model), controller)
        : EXPECTED_UNLOAD_MS;
    const outcome = await controller.orderModel(
      {kind, model, reason},
      expectedMs,
    );
    if (outcome === 'refused') return;
    controller.intendedModel = roomFor;
  }
}

function pauseAfterMs(tookMs: number): number {
  return Math.min(tookMs * PAUSE_FACTOR, MAX_PAUSE_MS);
}
