import type {Clock, Logger, Metrics, Timer} from '@banyanfold/core';
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
} from '../peers/peerContract.js';
import type {
  EngineSpec,
  LeaseSource,
  RunnerControl,
  RunnerRegistration,
} from '../types.js';
import type {
  LastOrder,
  LaterHolder,
  LeaseHandover,
} from '../peers/peerContract.js';
import type {FleetView} from '../view/fleetView.js';
import {DemandView} from './demandView.js';
import {LoadRate} from './loadRate.js';
import {RunnerDesk} from './runnerDesk.js';

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
  private readonly desks = new Map<string, RunnerDesk>();
  private readonly demand = new DemandView();
  private readonly timers = new Set<Timer>();
  private plannedMs = Number.NEGATIVE_INFINITY;
  private readonly reportsOpen = new Set<string>();

  constructor(private readonly deps: HolderOptions) {}

  start(): void {
    const {options} = this.deps;
    this.every(options.planIntervalMs, () => this.plan());
    this.every(options.reportIntervalMs, () => this.askReports(() => true));
    this.every(options.busyReportIntervalMs, () =>
      this.askReports(desk => desk.awaitsReport),
    );
    this.deps.view.onChange(() => this.syncDesks());
  }

  stop(): void {
    for (const timer of this.timers) timer.cancel();
    this.timers.clear();
  }

  exchange(input: ExchangeInput): ExchangeOutput | NotHolder {
    const {lease, clock} = this.deps;
    const nowMs = clock.nowMs();
    this.demand.note(input.entry, input.openWork, input.demand, nowMs);
    for (const {model, adapters} of input.demand) {
      for (const adapter of Object.keys(adapters)) {
        for (const desk of this.desks.values()) desk.noteUse(model, adapter);
      }
    }
    if (input.demand.some(({waiting}) => waiting > 0)) this.planSoon();
    const {isHolder, holderAddress} = lease.current();
    if (!isHolder) return {kind: 'not-holder', holderAddress};
    return {
      kind: 'told',
      entries: this.demand.countEntries(nowMs),
      loadAgesMs: this.deps.loadRate.agesMs(nowMs),
      runners: [...this.desks.values()]
        .filter(desk => desk.isKnown)
        .map(desk => ({
          runnerId: desk.registration.runnerId,
          models: desk.isReachable ? desk.servingModels() : [],
          adapters: desk.servingAdapters(),
          isBusy: desk.isBusy,
          peersWork: this.demand.peersWork(
            desk.registration.runnerId,
            input.entry,
            nowMs,
          ),
        })),
    };
  }

  async ensureAdapter(input: EnsureInput): Promise<EnsureOutput> {
    const {lease, view} = this.deps;
    if (!lease.current().isHolder) {
      return {isThere: false, reason: 'not-holder'};
    }
    const desk = this.desks.get(input.runnerId);
    if (!desk?.isKnown) return {isThere: false, reason: 'runner-unknown'};
    const engine = this.engineOf(desk.registration);
    if (!engine || view.runner(input.runnerId)?.leaving) {
      return {isThere: false, reason: 'runner-leaving'};
    }
    if (desk.isBusy) return {isThere: false, reason: 'runner-busy'};
    const isThere = await desk.ensureAdapter(
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
    return this.demand.entriesHeard(this.deps.clock.nowMs());
  }

  lastOrder(later: LaterHolder): LastOrder {
    const {clock, isLeaving, lease} = this.deps;
    const isOutOfTouch = lease.yieldTo(later.generation, later.address);
    let latestMs: number | undefined;
    for (const {lastOrderMs} of this.desks.values()) {
      if (lastOrderMs === undefined) continue;
      latestMs = Math.max(latestMs ?? lastOrderMs, lastOrderMs);
    }
    return {
      agoMs: latestMs === undefined ? undefined : clock.nowMs() - latestMs,
      isOver: isLeaving() || isOutOfTouch,
    };
  }

  private every(intervalMs: number, work: () => void): void {
    const {clock} = this.deps;
    const tick = () => {
      this.timers.delete(timer);
      work();
      timer = clock.setTimer(intervalMs, tick);
      this.timers.add(timer);
    };
    let timer = clock.setTimer(intervalMs, tick);
    this.timers.add(timer);
  }

  /** One desk for each model runner that is known. */
  private syncDesks(): void {
    const {view, clock, logger, metrics, lease, control, holder, options} =
      this.deps;
    for (const runnerId of this.desks.keys()) {
      if (!view.runner(runnerId)) this.desks.delete(runnerId);
    }
    for (const registration of view.allRunners()) {
      if (!this.engineOf(registration)) continue;
      if (this.desks.has(registration.runnerId)) continue;
      const created = new RunnerDesk(registration, {
        clock,
        logger,
        metrics,
        lease,
        control,
        holder,
        adapterSettleMs: options.adapterSettleMs,
      });
      this.desks.set(registration.runnerId, created);
    }
  }

  private engineOf({service}: RunnerRegistration): EngineSpec | undefined {
    return this.deps.view.current?.services.get(service)?.engine;
  }

  private askReports(isWanted: (desk: RunnerDesk) => boolean): void {
    if (!this.deps.lease.current().isHolder) return;
    for (const desk of this.desks.values()) {
      if (isWanted(desk)) void this.askReport(desk);
    }
  }

  private async askReport(desk: RunnerDesk): Promise<void> {
    const {control, logger, clock} = this.deps;
    const {runnerId, address} = desk.registration;
    if (this.reportsOpen.has(runnerId)) return;
    this.reportsOpen.add(runnerId);
    const askedMs = clock.nowMs();
    const answer = await control.report(runnerId, address);
    this.reportsOpen.delete(runnerId);
    if (answer.isOk()) {
      desk.noteReport(answer.value, askedMs);
      return;
    }
    desk.noteReportFailed();
    logger.warn('report-failed', {
      runner: runnerId,
      error: answer.error.message,
    });
  }

  private planSoon(): void {
    const {clock, options} = this.deps;
    if (clock.nowMs() - this.plannedMs >= options.urgentIntervalMs) this.plan();
  }

  private plan(): void {
    const {lease, view, clock} = this.deps;
    this.plannedMs = clock.nowMs();
    if (!lease.current().isHolder) return;
    for (const {name, engine} of view.current?.services.values() ?? []) {
      if (engine) this.planService(name, engine);
    }
  }

  private planService(service: string, engine: EngineSpec): void {
    const {clock, view, loadRate} = this.deps;
    const nowMs = clock.nowMs();
    const runners: CopyRunner[] = [];
    for (const desk of this.desks.values()) {
      const {runnerId} = desk.registration;
      const known = view.runner(runnerId);
      if (known?.service !== service || known.leaving) continue;
      if (!desk.isReachable) continue;
      runners.push(copyRunnerOf(desk, engine));
    }
    const orders = planCopies({
      runners,
      models: [...engine.models.values()].map(({name, weightsMb}) => ({
        name,
        weightsMb,
        workPerSecond: this.demand.workPerSecond(name, nowMs),
        waiting: this.demand.waiting(name, nowMs),
        idleMs: this.demand.idleMs(name, nowMs),
      })),
      storeLoadsLeft: loadRate.left(engine.loadsPerSecond, nowMs),
    });
    for (const order of orders) void this.give(order, engine);
  }

  private async give(order: CopyOrder, engine: EngineSpec): Promise<void> {
    const desk = this.desks.get(order.runnerId);
    if (!desk) return;
    if (order.isFromStore) this.deps.loadRate.note(this.deps.clock.nowMs());
    const {kind, model, reason, roomFor} = order;
    const expectedMs =
      kind === 'load' ? loadMsOf(order, desk, engine) : UNLOAD_MS;
    const outcome = await desk.orderModel({kind, model, reason}, expectedMs);
    if (outcome === 'refused') return;
    desk.intendedModel = roomFor;
  }
}

/** How long a load takes from where the weights are. */
function loadMsOf(
  {model}: CopyOrder,
  desk: RunnerDesk,
  engine: EngineSpec,
): number {
  const spec = engine.models.get(model);
  if (!spec) return 0;
  if (desk.inMemory.includes(model)) return spec.memoryLoadMs;
  return desk.onDisk.includes(model) ? spec.diskLoadMs : spec.storeLoadMs;
}

function copyRunnerOf(desk: RunnerDesk, engine: EngineSpec): CopyRunner {
  const adapterMb = Math.max(
    0,
    ...[...engine.models.values()].map(model => model.adapterMb),
  );
  return {
    runnerId: desk.registration.runnerId,
    weightsMb: engine.weightsMb,
    reservedMb: engine.adapterSlots * adapterMb,
    models: [...desk.models],
    isBusy: desk.isBusy || !desk.isKnown,
    inMemory: desk.inMemory,
    onDisk: desk.onDisk,
    intendedModel: desk.intendedModel,
  };
}
