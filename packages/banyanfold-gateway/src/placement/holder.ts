import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  chooseRelays,
  planCopies,
  type CopyOrder,
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
import type {FleetView, ViewChange} from '../view/fleetView.js';
import {repeatEvery} from '../repeatEvery.js';
import {CopyRevisions} from './copyRevisions.js';
import {copyInMs, loadMsOf} from './copyTimes.js';
import {copyRunnerOf} from './copyRunnerOf.js';
import type {ModelDemand} from './demandMeter.js';
import {DemandView} from './demandView.js';
import {EntryLoads} from './entryLoads.js';
import {FleetOutcomes} from './fleetOutcomes.js';
import {FleetRateLimits} from './fleetRateLimits.js';
import {LoadRate} from './loadRate.js';
import {REPORT_TICK_MS, ReportAsker} from './reportAsker.js';
import {RunnerController} from './runnerController.js';
import {SeenBatches} from './seenBatches.js';
import {StandbyRoster} from './standbyRoster.js';

/** Who asks for a model is told when it comes for this long after. */
const ASKED_LATELY_MS = 5_000;
/**
 * No copy makes way before: in the first moments whoever asks first has all of
 * the demand. Most of the time over which rates are smoothed.
 */
const DEMAND_KNOWN_MS = 1_000;
/** Shorter than the shortest interval at which one entry asks. */
const COPIES_NOTED_MS = 40;
/**
 * For so long after its lease has lapsed a holder still tells what it knows, in
 * ms: a renewal came late, and what runners hold hardly changes without orders.
 */
const LAPSED_WORD_MS = 1_500;
/**
 * After a plan, or after it went through all runners, the holder does other things
 * for at least so many times as long, or renewals of the lease and answers would
 * wait for it.
 */
const REST_FACTOR = 8;
/** What took long because the process was frozen doesn't put off the next time. */
const LONGEST_REST_MS = 2_000;
/** An unload waits for the runs under way, then is over at once. */
const UNLOAD_MS = 100;

export interface HolderOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  lease: LeaseSource;
  control: RunnerControl;
  view: FleetView;
  options: GatewayOptions;
  /** Address of this process, by which runners know who orders. */
  holder: string;
  loadRate: LoadRate;
  crashes: CrashLedger;
  /** Cores' worth of processor that the process may use. */
  processorShare: number;
  usage: UsageAccounts;
  /** An entry has this version, and this process an older one. */
  onNewerConfig(version: number, peer: string): void;
  isLeaving: () => boolean;
}

/** Gives all orders to runners while this process holds the lease. */
export class Holder implements HolderHandlers {
  private readonly controllers = new Map<string, RunnerController>();
  private readonly demand = new DemandView();
  private readonly loads = new EntryLoads();
  private readonly batches = new SeenBatches();
  private readonly outcomes: FleetOutcomes;
  private rateLimits: FleetRateLimits;
  private fleetUsage: FleetUsage;
  /** Of the lease, in which all use was reported here. */
  private usageTerm: number | undefined;
  private relays: RelaysByDomain = new Map();
  private relaysChosenMs = Number.NEGATIVE_INFINITY;
  private copiesNotedMs = Number.NEGATIVE_INFINITY;
  private copiesNoteTookMs = 0;
  private comingCopies: Record<string, number> = {};
  private readonly repeated: Array<() => void> = [];
  private readonly revisions: CopyRevisions;
  private newestConfig = 0;
  private newestRunnersChange = 0;
  private plannedMs = Number.NEGATIVE_INFINITY;
  private planTookMs = 0;
  /** When this process last could give orders. */
  private orderedMs = Number.NEGATIVE_INFINITY;
  private readonly reports: ReportAsker;
  private readonly standbys: StandbyRoster;
  private readonly startedMs: number;

  constructor(private readonly deps: HolderOptions) {
    this.startedMs = deps.clock.nowMs();
    this.fleetUsage = this.countUsage(this.startedMs);
    this.outcomes = new FleetOutcomes(deps);
    this.rateLimits = new FleetRateLimits(deps.clock);
    this.reports = new ReportAsker({
      ...deps,
      onReport: (asked, report, askedMs) =>
        this.lifeOf(asked, report)?.noteReport(report, askedMs),
    });
    const epoch = `${deps.holder}#${deps.clock.wallMs()}`;
    this.revisions = new CopyRevisions(epoch);
    this.standbys = new StandbyRoster(deps.holder, nowMs =>
      this.loads.members(nowMs),
    );
  }

  start(): void {
    const {options, clock} = this.deps;
    this.repeated.push(
      repeatEvery(clock, options.planIntervalMs, () => this.plan()),
      repeatEvery(clock, REPORT_TICK_MS, () => this.askReports()),
    );
    this.deps.view.onChange(change => this.noteViewChange(change));
  }

  stop(): void {
    for (const stop of this.repeated.splice(0)) stop();
  }

  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {lease, clock} = this.deps;
    const nowMs = clock.nowMs();
    const {isHolder, owns, holderAddress, term} = lease.current();
    if (isHolder) this.orderedMs = nowMs;
    const ageMs = nowMs - this.orderedMs;
    if (!owns || ageMs > LAPSED_WORD_MS) {
      return {kind: 'not-holder', holderAddress};
    }
    this.noteTerm(term, nowMs);
    this.noteInput(input, nowMs);
    this.noteCopies(nowMs);
    const {entry} = input;
    return {
      kind: 'told',
      holder: this.deps.holder,
      isOrdering: isHolder,
      ageMs,
      configVersion: this.newestConfig,
      runnersChange: this.newestRunnersChange,
      runnersReadAgeMs: nowMs - this.deps.view.runnersAtMs,
      configReadAgeMs: this.deps.view.configAgeMs,
      entries: this.loads.count(nowMs),
      standbys: this.standbys.current(input.members, term, nowMs),
      relays: this.relaysFor(input, nowMs),
      loadAgesMs: this.deps.loadRate.agesMs(nowMs),
      copies: this.revisions.since(input.known),
      copiesInMs: this.comingCopies,
      peersWork: this.loads.workWithout(entry, nowMs),
      peersRequests: this.loads.requestsWithout(entry, nowMs),
      ejectedForMs: this.outcomes.tell(),
      usage: this.fleetUsage.snapshot(nowMs),
      rateLimits: this.rateLimits.tell(),
      suspects: this.deps.crashes.suspectListFor(input.knownSuspects),
    };
  }

  /** While another process held the lease, use was reported there. */
  private noteTerm(term: number, nowMs: number): void {
    if (term === this.usageTerm) return;
    this.usageTerm = term;
    this.fleetUsage = this.countUsage(nowMs);
    this.rateLimits = new FleetRateLimits(this.deps.clock);
  }

  /** Goes on from what this process last heard as an entry. */
  private countUsage(sinceMs: number): FleetUsage {
    const {usage} = this.deps;
    return new FleetUsage({
      windowMs: usage.windowMs,
      startMs: sinceMs,
      limitOf: name => this.limitOf(name),
      initialUse: (name, limit) =>
        Math.max(0, limit.perWindow - (usage.leftOf(name, limit) ?? 0)),
    });
  }

  /** What organisations that are near their limits have left. */
  usageNearLimit(): Record<string, FleetUsageSnapshot> {
    const told = this.fleetUsage.snapshot(this.deps.clock.nowMs());
    return this.deps.usage.nearLimit(told, name => this.limitOf(name));
  }

  private limitOf(organisation: string): UsageLimit | undefined {
    const {usage, view} = this.deps;
    const cap = view.organisations?.findByName(organisation)?.usageCap;
    return cap && usage.limitOf(cap);
  }

  private noteInput(input: ExchangeInput, nowMs: number): void {
    const {entry, batch, waiting, crashes, rateLimits = []} = input;
    this.loads.note(entry, input, nowMs);
    this.rateLimits.noteLimits(rateLimits);
    if (crashes) this.deps.crashes.addReport(crashes);
    if (this.batches.isNew(entry, batch.batchId)) {
      this.demand.note(batch.demand, nowMs);
      this.noteAdapterUse(batch.demand);
      this.outcomes.note(batch.outcomes ?? []);
      this.fleetUsage.addReports(batch.usage ?? [], nowMs);
      this.rateLimits.noteUse(batch.rateUse ?? []);
    }
    const {view, holder, onNewerConfig} = this.deps;
    const version = view.current?.version ?? 0;
    if (input.configVersion > version && entry !== holder) {
      onNewerConfig(input.configVersion, entry);
    }
    this.newestConfig = Math.max(this.newestConfig, input.configVersion);
    this.newestRunnersChange = Math.max(
      this.newestRunnersChange,
      input.runnersChange,
    );
    if (Object.keys(waiting).length > 0) this.planSoon();
  }

  private noteAdapterUse(demand: readonly ModelDemand[]): void {
    for (const {model, adapters} of demand) {
      for (const adapter of Object.keys(adapters)) {
        for (const controller of this.controllers.values()) {
          controller.noteUse(model, adapter);
        }
      }
    }
  }

  /**
   * What runners hold and load is gone through once for several exchanges: with 82
   * runners it takes longer than all else in an exchange.
   */
  private noteCopies(nowMs: number): void {
    const pauseMs = Math.max(COPIES_NOTED_MS, restMsOf(this.copiesNoteTookMs));
    if (nowMs - this.copiesNotedMs < pauseMs) return;
    this.copiesNotedMs = nowMs;
    this.revisions.update(this.toldRunners());
    this.comingCopies = this.copiesInMs(nowMs);
    this.copiesNoteTookMs = this.deps.clock.nowMs() - nowMs;
  }

  private relaysFor({members}: ExchangeInput, nowMs: number): string[] {
    const {options, holder} = this.deps;
    if (nowMs - this.relaysChosenMs >= options.exchangeIntervalMs) {
      this.relaysChosenMs = nowMs;
      this.relays = chooseRelays(
        this.loads.members(nowMs),
        holder,
        this.relays,
      );
    }
    return [...(this.relays.get(members[0]?.failureDomain ?? '') ?? [])];
  }

  /** A caller that waits keeps its model asked for. */
  private idleMs(model: string, nowMs: number): number {
    const isWaitedFor = this.loads.waiting(model, nowMs) > 0;
    return isWaitedFor ? 0 : this.demand.idleMs(model, nowMs);
  }

  /** For models that were asked for lately and that nobody holds. */
  private copiesInMs(nowMs: number): Record<string, number> {
    const left: Record<string, number> = {};
    const controllers = [...this.controllers.values()];
    const served = new Set(controllers.flatMap(each => each.servingModels()));
    for (const {engine} of this.deps.view.current?.services.values() ?? []) {
      for (const spec of engine?.models.values() ?? []) {
        if (served.has(spec.name)) continue;
        if (this.idleMs(spec.name, nowMs) > ASKED_LATELY_MS) continue;
        left[spec.name] = Math.round(copyInMs(spec, controllers));
      }
    }
    return left;
  }

  private toldRunners(): RunnerCopies[] {
    return [...this.controllers.values()]
      .filter(controller => controller.isKnown)
      .map(controller => ({
        runnerId: controller.registration.runnerId,
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
    if (!controller?.isKnown) return {isThere: false, reason: 'runner-unknown'};
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

  takeOver(handover: LeaseHandover): boolean {
    return !this.deps.isLeaving() && this.deps.lease.takeOver(handover);
  }

  /** Entries heard of lately, the last heard first. */
  peers(): string[] {
    const heard = this.loads.members(this.deps.clock.nowMs());
    return heard.map(({address}) => address);
  }

  lastOrder(later: SuccessorHolder): LastOrder {
    const {clock, isLeaving, lease} = this.deps;
    const isOutOfTouch = lease.yieldTo(later.generation, later.address);
    let latestMs: number | undefined;
    for (const {lastOrderMs} of this.controllers.values()) {
      if (lastOrderMs === undefined) continue;
      latestMs = Math.max(latestMs ?? lastOrderMs, lastOrderMs);
    }
    return {
      agoMs: latestMs === undefined ? undefined : clock.nowMs() - latestMs,
      upMs: clock.nowMs() - this.startedMs,
      isOver: isLeaving() || isOutOfTouch,
    };
  }

  private readonly viewHandlers: {
    [K in ViewChange['kind']]: (change: Extract<ViewChange, {kind: K}>) => void;
  } = {
    config: () => this.syncControllers(),
    'caught-up': () => {},
    runner: ({runnerId}) => this.syncController(runnerId),
    'runner-removed': ({runnerId}) => this.controllers.delete(runnerId),
  };

  private noteViewChange(change: ViewChange): void {
    this.viewHandlers[change.kind](change as never);
  }

  /** A new configuration may say of other services that they serve models. */
  private syncControllers(): void {
    for (const {runnerId} of this.deps.view.allRunners()) {
      this.syncController(runnerId);
    }
  }

  /** One controller for each model runner that is known. */
  private syncController(runnerId: string): void {
    const registration = this.deps.view.runner(runnerId);
    if (!registration || !this.engineOf(registration)) return;
    const known = this.controllers.get(runnerId);
    if (known && known.registration.bornMs >= registration.bornMs) return;
    this.control(registration);
  }

  /**
   * Orders, copies and doubts of a former life of the runner end with it: a
   * runner that starts again holds nothing, and by what was known of before its
   * callers would be sent to models that aren't there.
   */
  private control(registration: RunnerRegistration): RunnerController {
    const {clock, logger, metrics, lease, control, holder} = this.deps;
    const {runnerId} = registration;
    const created = new RunnerController(registration, {
      clock,
      logger,
      metrics,
      lease,
      control,
      holder,
      isAdapterInUse: adapter =>
        this.loads.isAdapterInUse(runnerId, adapter, clock.nowMs()),
    });
    this.controllers.set(runnerId, created);
    return created;
  }

  private engineOf({service}: RunnerRegistration): EngineSpec | undefined {
    return this.deps.view.current?.services.get(service)?.engine;
  }

  private askReports(): void {
    if (!this.deps.lease.current().isHolder) return;
    this.reports.askDue([...this.controllers.values()]);
  }

  /** The controller of the life that reports; undefined for a life before. */
  private lifeOf(
    asked: RunnerController,
    {bornMs}: RunnerReport,
  ): RunnerController | undefined {
    const {registration} = asked;
    const {runnerId} = registration;
    const current = this.controllers.get(runnerId);
    if (!current || bornMs < current.registration.bornMs) return undefined;
    if (bornMs === current.registration.bornMs) return current;
    this.deps.logger.info('runner-restarted', {runner: runnerId, bornMs});
    return this.control({...registration, bornMs, models: []});
  }

  private planSoon(): void {
    const {clock, options} = this.deps;
    if (clock.nowMs() - this.plannedMs >= options.urgentIntervalMs) this.plan();
  }

  private plan(): void {
    const {lease, view, clock, metrics} = this.deps;
    const nowMs = clock.nowMs();
    if (nowMs - this.plannedMs < restMsOf(this.planTookMs)) return;
    this.plannedMs = nowMs;
    if (!lease.current().isHolder) return;
    for (const {name, engine} of view.current?.services.values() ?? []) {
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
      const known = view.runner(runnerId);
      if (known?.service !== service || known.leaving) continue;
      if (!controller.isReachable) continue;
      const inUse = this.loads.modelsInUse(runnerId, nowMs);
      runners.push({...copyRunnerOf(controller, engine), inUse});
    }
    const orders = planCopies({
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
          longTermRequestsPerSecond: this.demand.usualPerSecond(name, nowMs),
          waiting: this.loads.waiting(name, nowMs),
          idleMs: this.idleMs(name, nowMs),
        }),
      ),
      canEvict: this.demand.knownForMs(nowMs) >= DEMAND_KNOWN_MS,
      storeLoadsLeft: loadRate.left(engine.loadsPerSecond, nowMs),
    });
    for (const order of orders) void this.give(order, engine);
  }

  private async give(order: CopyOrder, engine: EngineSpec): Promise<void> {
    const controller = this.controllers.get(order.runnerId);
    if (!controller) return;
    if (order.isFromStore) this.deps.loadRate.note(this.deps.clock.nowMs());
    const {kind, model, reason, roomFor} = order;
    const expectedMs =
      kind === 'load'
        ? loadMsOf(engine.models.get(model), controller)
        : UNLOAD_MS;
    const outcome = await controller.orderModel(
      {kind, model, reason},
      expectedMs,
    );
    if (outcome === 'refused') return;
    controller.intendedModel = roomFor;
  }
}

function restMsOf(tookMs: number): number {
  return Math.min(tookMs * REST_FACTOR, LONGEST_REST_MS);
}
