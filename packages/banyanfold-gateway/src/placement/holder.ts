import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  planCopies,
  type CopyOrder,
  type CopyRunner,
} from '@banyanfold/decisions';
import type {GatewayOptions} from '../options.js';
import type {
  EnsureInput,
  EnsureOutput,
  ExchangeInput,
  ExchangeOutput,
  NotHolder,
  HolderHandlers,
  ToldRunner,
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
  LaterHolder,
  LeaseHandover,
} from '../peers/peerContract.js';
import type {FleetView} from '../view/fleetView.js';
import {repeatEvery} from '../repeatEvery.js';
import {CopyRevisions} from './copyRevisions.js';
import {copyInMs, loadMsOf} from './copyTimes.js';
import {copyRunnerOf} from './copyRunnerOf.js';
import {DemandView} from './demandView.js';
import {LoadRate} from './loadRate.js';
import {RunnerController} from './runnerController.js';
import {StandbyRoster} from './standbyRoster.js';

/** Who asks for a model is told when it comes for this long after. */
const ASKED_LATELY_MS = 5_000;
/**
 * No copy makes way before: in the first moments whoever asks first has all of
 * the demand. Most of the time over which rates are smoothed.
 */
const DEMAND_KNOWN_MS = 1_000;
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
  isLeaving: () => boolean;
}

/** Gives all orders to runners while this process holds the lease. */
export class Holder implements HolderHandlers {
  private readonly controllers = new Map<string, RunnerController>();
  private readonly demand = new DemandView();
  private readonly repeated: Array<() => void> = [];
  private readonly revisions: CopyRevisions;
  private newestConfig = 0;
  private newestRunnersChange = 0;
  private plannedMs = Number.NEGATIVE_INFINITY;
  /** A new one asks for all reports at once; no order goes out before them. */
  private plannedTerm: number | undefined;
  private readonly reportsOpen = new Set<string>();
  private readonly standbys: StandbyRoster;
  private readonly startedMs: number;

  constructor(private readonly deps: HolderOptions) {
    this.startedMs = deps.clock.nowMs();
    const epoch = `${deps.holder}#${deps.clock.wallMs()}`;
    this.revisions = new CopyRevisions(epoch);
    this.standbys = new StandbyRoster(deps.holder, nowMs =>
      this.demand.entriesHeard(nowMs),
    );
  }

  start(): void {
    const {options, clock} = this.deps;
    this.repeated.push(
      repeatEvery(clock, options.planIntervalMs, () => this.plan()),
      repeatEvery(clock, options.reportIntervalMs, () =>
        this.askReports(() => true),
      ),
      repeatEvery(clock, options.busyReportIntervalMs, () =>
        this.askReports(controller => controller.awaitsReport),
      ),
    );
    this.deps.view.onChange(() => this.syncControllers());
  }

  stop(): void {
    for (const stop of this.repeated.splice(0)) stop();
  }

  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {lease, clock} = this.deps;
    const nowMs = clock.nowMs();
    this.demand.note(input.entry, input, input.demand, nowMs);
    for (const {model, adapters} of input.demand) {
      for (const adapter of Object.keys(adapters)) {
        for (const controller of this.controllers.values()) {
          controller.noteUse(model, adapter);
        }
      }
    }
    this.newestConfig = Math.max(this.newestConfig, input.configVersion);
    this.newestRunnersChange = Math.max(
      this.newestRunnersChange,
      input.runnersChange,
    );
    if (input.demand.some(({waiting}) => waiting > 0)) this.planSoon();
    const {isHolder, holderAddress, term} = lease.current();
    if (!isHolder) return {kind: 'not-holder', holderAddress};
    this.revisions.update(this.toldRunners());
    return {
      kind: 'told',
      configVersion: this.newestConfig,
      runnersChange: this.newestRunnersChange,
      runnersReadAgeMs: nowMs - this.deps.view.runnersAtMs,
      entries: this.demand.countEntries(nowMs),
      isStandby: this.standbys.has(input.entry, term, nowMs),
      loadAgesMs: this.deps.loadRate.agesMs(nowMs),
      copies: this.revisions.since(input.known),
      copiesInMs: this.copiesInMs(nowMs),
      peersWork: this.demand.peersWork(input.entry, nowMs),
      peersRequests: this.demand.peersRequests(input.entry, nowMs),
    };
  }

  /** For models that were asked for lately and that nobody holds. */
  private copiesInMs(nowMs: number): Record<string, number> {
    const left: Record<string, number> = {};
    const controllers = [...this.controllers.values()];
    const served = new Set(controllers.flatMap(each => each.servingModels()));
    for (const {engine} of this.deps.view.current?.services.values() ?? []) {
      for (const spec of engine?.models.values() ?? []) {
        if (served.has(spec.name)) continue;
        if (this.demand.idleMs(spec.name, nowMs) > ASKED_LATELY_MS) continue;
        left[spec.name] = Math.round(copyInMs(spec, controllers));
      }
    }
    return left;
  }

  private toldRunners(): ToldRunner[] {
    return [...this.controllers.values()]
      .filter(controller => controller.isKnown)
      .map(controller => ({
        runnerId: controller.registration.runnerId,
        models: controller.isReachable ? controller.servingModels() : [],
        adapters: controller.servingAdapters(),
        isBusy: controller.isBusy,
      }));
  }

  async ensureAdapter(input: EnsureInput): Promise<EnsureOutput> {
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

  takeOver(handover: LeaseHandover): boolean {
    return !this.deps.isLeaving() && this.deps.lease.takeOver(handover);
  }

  /** Entries heard of lately, the last heard first. */
  peers(): string[] {
    const heard = this.demand.entriesHeard(this.deps.clock.nowMs());
    return heard.map(({address}) => address);
  }

  lastOrder(later: LaterHolder): LastOrder {
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

  /** One controller for each model runner that is known. */
  private syncControllers(): void {
    const {view} = this.deps;
    for (const runnerId of this.controllers.keys()) {
      if (!view.runner(runnerId)) this.controllers.delete(runnerId);
    }
    for (const registration of view.allRunners()) {
      if (!this.engineOf(registration)) continue;
      const {runnerId, bornMs} = registration;
      const known = this.controllers.get(runnerId);
      if (known && known.registration.bornMs >= bornMs) continue;
      this.control(registration);
    }
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
        this.demand.isAdapterInUse(runnerId, adapter, clock.nowMs()),
    });
    this.controllers.set(runnerId, created);
    return created;
  }

  private engineOf({service}: RunnerRegistration): EngineSpec | undefined {
    return this.deps.view.current?.services.get(service)?.engine;
  }

  private askReports(
    isWanted: (controller: RunnerController) => boolean,
  ): void {
    if (!this.deps.lease.current().isHolder) return;
    for (const controller of this.controllers.values()) {
      if (isWanted(controller)) void this.askReport(controller);
    }
  }

  private async askReport(controller: RunnerController): Promise<void> {
    const {control, logger, clock} = this.deps;
    const {runnerId, address} = controller.registration;
    if (this.reportsOpen.has(runnerId)) return;
    this.reportsOpen.add(runnerId);
    const askedMs = clock.nowMs();
    const answer = await control.report(runnerId, address);
    this.reportsOpen.delete(runnerId);
    if (answer.isOk()) {
      this.lifeOf(controller, answer.value)?.noteReport(answer.value, askedMs);
      return;
    }
    controller.noteReportFailed();
    logger.warn('report-failed', {
      runner: runnerId,
      error: answer.error.message,
    });
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
    const {lease, view, clock} = this.deps;
    this.plannedMs = clock.nowMs();
    const {isHolder, term} = lease.current();
    if (!isHolder) return;
    if (term !== this.plannedTerm) this.askReports(() => true);
    this.plannedTerm = term;
    for (const {name, engine} of view.current?.services.values() ?? []) {
      if (engine) this.planService(name, engine);
    }
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
      const inUse = this.demand.modelsInUse(runnerId, nowMs);
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
          usualRequestsPerSecond: this.demand.usualPerSecond(name, nowMs),
          waiting: this.demand.waiting(name, nowMs),
          idleMs: this.demand.idleMs(name, nowMs),
        }),
      ),
      mayMakeRoom: this.demand.knownForMs(nowMs) >= DEMAND_KNOWN_MS,
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
