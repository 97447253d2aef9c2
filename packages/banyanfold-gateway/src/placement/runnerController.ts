import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {adapterKey} from '../runners/heldCopies.js';
import type {
  LeaseSource,
  RunnerControl,
  RunnerRegistration,
  RunnerReport,
} from '../types.js';
import {RunnerAdapters} from './runnerAdapters.js';
import {
  RunnerOrders,
  type ControllerOrder,
  type OrderResult,
} from './runnerOrders.js';

export type {ControllerOrder, OrderResult} from './runnerOrders.js';

export interface RunnerControllerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  lease: LeaseSource;
  control: RunnerControl;
  holder: string;
  /** Whether requests in progress on this runner use the adapter. */
  isAdapterInUse(adapter: string): boolean;
}

/**
 * One request for a report may be lost. After two, the copies of the runner
 * don't count.
 */
const MAX_FAILED_REPORTS = 2;
/**
 * An adapter that was requested recently is about to be used. With more
 * adapters requested at once than there are slots, evicting it would make both
 * requests wait alternately.
 */
const MIN_ADAPTER_HOLD_MS = 300;
/**
 * A load takes a few seconds. After this time only the report of the runner
 * counts.
 */
const MAX_BUSY_MS = 12_000;

/**
 * Holds the state of one runner as the holder of the lease knows it, and sends
 * all orders to that runner, one after the other.
 */
export class RunnerController {
  readonly models = new Set<string>();
  inMemory: readonly string[] = [];
  onDisk: readonly string[] = [];
  /** The model that is being loaded. */
  loadingModel: string | undefined;
  /**
   * The model that is being unloaded. The runner finishes its requests in
   * progress, lists the model in reports until then, and refuses new requests.
   */
  private unloadingModel: string | undefined;
  /** The model for which memory is being freed. */
  intendedModel: string | undefined;
  /** Orders on models that are queued or unanswered. */
  private pendingModelOrders = 0;
  private busyUntilMs = 0;
  private expectedEndMs = 0;
  private failedReports = 0;
  private queue: Promise<unknown> = Promise.resolve();
  private readonly orders: RunnerOrders;
  private readonly adapters: RunnerAdapters;
  private readonly pendingFetches = new Map<string, Promise<boolean>>();

  constructor(
    readonly registration: RunnerRegistration,
    private readonly options: RunnerControllerOptions,
  ) {
    this.orders = new RunnerOrders(registration, options);
    this.adapters = new RunnerAdapters(options.clock);
    this.addRegisteredModels(registration);
  }

  get isBusy(): boolean {
    const isInProgress = this.options.clock.nowMs() < this.busyUntilMs;
    return isInProgress || this.orders.isPaused || this.pendingModelOrders > 0;
  }

  /**
   * Whether the order in progress is expected to be complete, so that a report
   * will show it.
   */
  get isReportDue(): boolean {
    return this.isBusy && this.options.clock.nowMs() >= this.expectedEndMs;
  }

  /**
   * Whether it recently left an order unanswered, as a runner does that is
   * about to stop.
   */
  get isUnresponsive(): boolean {
    return this.orders.isUnresponsive;
  }

  get lastOrderMs(): number | undefined {
    return this.orders.lastOrderMs;
  }

  /** Expected time until the order in progress is complete. */
  get remainingMs(): number {
    return Math.max(0, this.expectedEndMs - this.options.clock.nowMs());
  }

  /**
   * Whether the runner can receive orders: a report has arrived since this
   * process gained the lease.
   */
  get isReady(): boolean {
    return this.orders.isReady;
  }

  /**
   * Whether the runner answered recent requests for its report. Another runner
   * at the same address answers these too, and reveals its identity only in
   * response to an order.
   */
  get isReachable(): boolean {
    return (
      !this.orders.isAddressReused && this.failedReports < MAX_FAILED_REPORTS
    );
  }

  recordReportFailure(): void {
    this.failedReports += 1;
  }

  recordAdapterUse(model: string, adapter: string): void {
    this.adapters.recordUse(model, adapter);
  }

  /** Applies a report, unless it is stale. */
  applyReport(report: RunnerReport, requestedMs: number): void {
    this.failedReports = 0;
    this.inMemory = report.inMemory;
    this.onDisk = report.onDisk;
    if (!this.orders.acceptReport(report, requestedMs)) return;
    if (report.busy) {
      // A load of the previous holder takes memory that no report shows until
      // it is complete. Another load during that time would overfill the
      // runner.
      this.busyUntilMs = this.options.clock.nowMs() + MAX_BUSY_MS;
    } else {
      this.busyUntilMs = 0;
      this.orders.endPause();
      this.loadingModel = undefined;
      this.unloadingModel = undefined;
    }
    this.models.clear();
    for (const {name} of report.models) this.models.add(name);
    this.applyReportedAdapters(report);
    if (this.loadingModel !== undefined) this.models.add(this.loadingModel);
  }

  private applyReportedAdapters({models, pendingAdapters}: RunnerReport): void {
    const reported = models
      .flatMap(({name, adapters}) =>
        adapters.map(adapter => ({model: name, adapter})),
      )
      .concat(pendingAdapters);
    for (const name of reported) this.adapters.addReported(name);
    const keys = new Set(reported.map(r => adapterKey(r.model, r.adapter)));
    this.adapters.retain(key => keys.has(key) || this.pendingFetches.has(key));
  }

  /** Loads an adapter on the runner and frees a slot for it if necessary. */
  ensureAdapter(
    model: string,
    adapter: string,
    adapterSlots: number,
  ): Promise<boolean> {
    const key = adapterKey(model, adapter);
    const pending = this.pendingFetches.get(key);
    if (pending) return pending;
    const fetch = this.enqueue(() =>
      this.fetchAdapter(model, adapter, adapterSlots),
    ).finally(() => this.pendingFetches.delete(key));
    this.pendingFetches.set(key, fetch);
    return fetch;
  }

  /**
   * Sends an order on a model.
   *
   * @param expectedMs how long the order is expected to take.
   */
  orderModel(order: ControllerOrder, expectedMs: number): Promise<OrderResult> {
    this.pendingModelOrders += 1;
    return this.enqueue(async () => {
      const outcome = await this.orders.send(order);
      this.pendingModelOrders -= 1;
      if (outcome === 'refused') return outcome;
      const nowMs = this.options.clock.nowMs();
      this.busyUntilMs = nowMs + MAX_BUSY_MS;
      this.expectedEndMs = nowMs + expectedMs;
      if (order.kind === 'load') {
        this.loadingModel = order.model;
        this.models.add(order.model);
      } else {
        this.unloadingModel = order.model;
        this.models.delete(order.model);
        this.adapters.deleteOfModel(order.model);
      }
      return outcome;
    });
  }

  /** Returns the adapters that serve now and are not being unloaded. */
  servingAdapters(): string[] {
    return this.adapters.serving();
  }

  /**
   * Returns the models that serve now, without those being loaded or unloaded.
   */
  servingModels(): string[] {
    return [...this.models].filter(
      name => name !== this.loadingModel && name !== this.unloadingModel,
    );
  }

  private async fetchAdapter(
    model: string,
    adapter: string,
    adapterSlots: number,
  ): Promise<boolean> {
    if (!this.models.has(model) || this.loadingModel === model) return false;
    if (this.adapters.recordUse(model, adapter)) return true;
    // A runner refuses all other orders while it loads or unloads a model.
    if (this.isBusy) return false;
    if (!(await this.freeAdapterSlot(adapterSlots))) return false;
    const outcome = await this.orders.send({
      kind: 'load',
      model,
      adapter,
      reason: 'asked-for',
    });
    if (outcome === 'refused') return false;
    const isUnconfirmed = outcome === 'unknown';
    this.adapters.addOrdered({model, adapter}, isUnconfirmed);
    return !isUnconfirmed;
  }

  /**
   * Unloads the least recently used adapters until a slot is free.
   *
   * An adapter in use is kept: its runner would refuse all other orders until
   * the requests are complete, and requests for other adapters and models would
   * wait that long.
   */
  private async freeAdapterSlot(adapterSlots: number): Promise<boolean> {
    const {clock} = this.options;
    for (const [key, held] of this.adapters.byLastUse()) {
      const {model, adapter, usedMs, isUnconfirmed} = held;
      if (this.adapters.size < adapterSlots) return true;
      if (this.options.isAdapterInUse(key)) continue;
      if (clock.nowMs() - usedMs < MIN_ADAPTER_HOLD_MS) return false;
      const outcome = await this.orders.send({
        kind: 'unload',
        model,
        adapter,
        reason: 'longest-unused',
      });
      // The answer is the same for an adapter that was unloaded at once, which
      // counts as an order, and for one that was never there, which doesn't.
      // With a wrong count all later orders were refused.
      if (isUnconfirmed) this.orders.markNumberUncertain();
      // An adapter in use is unloaded after its requests. Its slot counts as
      // occupied until a report shows that the adapter is gone, because a load
      // into it would overfill the runner.
      if (outcome === 'done') this.adapters.delete(key);
      if (outcome === 'begun') this.adapters.markUnloading(key);
      if (outcome !== 'done') return false;
    }
    return this.adapters.size < adapterSlots;
  }

  private addRegisteredModels({models}: RunnerRegistration): void {
    for (const {name, adapters} of models ?? []) {
      this.models.add(name);
      for (const adapter of adapters) {
        this.adapters.addReported({model: name, adapter});
      }
    }
  }

  private enqueue<T>(work: () => Promise<T>): Promise<T> {
    const next = this.queue.then(work, work);
    this.queue = next.catch(() => undefined);
    return next;
  }
}
