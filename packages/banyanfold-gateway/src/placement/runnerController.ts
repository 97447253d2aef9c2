import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {adapterKey} from '../runners/heldCopies.js';
import type {
  LeaseSource,
  OrderKind,
  RunnerControl,
  RunnerRegistration,
  RunnerReport,
} from '../types.js';

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

export interface ControllerOrder {
  kind: OrderKind;
  model: string;
  adapter?: string;
  reason: string;
}

/**
 * Result of an order as far as it is known: accepted and in progress, completed
 * at once, refused, or unanswered.
 */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unknown';

/** An adapter that is loaded on the runner or is being fetched. */
interface HeldAdapter {
  model: string;
  adapter: string;
  usedMs: number;
  /** Its load got no answer. The slot counts as occupied all the same. */
  isUnconfirmed?: boolean;
}

/** Upper bound on the age of a report; 200 to 260 ms were measured. */
const MAX_REPORT_LAG_MS = 1_000;
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
/** Time without orders to a runner that refused one, until its next report. */
const CONFLICT_PAUSE_MS = 150;
/** The pause grows from 150 ms to 600 ms; a report has arrived by then. */
const CONFLICT_DOUBLINGS = 2;

/**
 * A runner that left an order unanswered is avoided for this long: three
 * consecutive loads went to a runner that was about to stop, and 58 requests
 * waited for 5 s.
 */
const UNRESPONSIVE_MS = 3_000;

/** The registration of a stopped runner lasts for three heartbeats of 1.2 s. */
const ADDRESS_REUSED_MS = 4_000;

/**
 * A load takes a few seconds. After this time only the report of the runner
 * counts.
 */
const MAX_BUSY_MS = 12_000;

/**
 * Holds the state of one runner as the holder of the lease knows it, and sends
 * all orders to that runner, one after the other.
 *
 * An unanswered order may be carried out seconds later, after newer ones. A
 * load that arrives after its memory was assigned to another model overfills
 * the runner, which crashes. Each order therefore names the number of orders
 * that the runner has accepted so far, so that only one of an old and a new
 * order takes effect.
 */
export class RunnerController {
  readonly models = new Set<string>();
  readonly adapters = new Map<string, HeldAdapter>();
  inMemory: readonly string[] = [];
  onDisk: readonly string[] = [];
  /** The model that is being loaded. */
  loadingModel: string | undefined;
  /**
   * The model that is being unloaded. The runner finishes its requests in
   * progress, lists the model in reports until then, and refuses new requests.
   */
  private unloadingModel: string | undefined;
  lastOrderMs: number | undefined;
  /** When the last order was sent that the runner may have accepted. */
  private lastPossibleEffectMs: number | undefined;
  private consecutiveConflicts = 0;
  /** When another runner last answered at the address of this one. */
  private addressReusedMs: number | undefined;
  /** When the last order turned out to be unanswered. */
  private unansweredMs: number | undefined;
  /** The model for which memory is being freed. */
  intendedModel: string | undefined;
  /** Orders on models that are queued or unanswered. */
  private pendingModelOrders = 0;
  private busyUntilMs = 0;
  private expectedEndMs = 0;
  private failedReports = 0;
  private orderNumber: number | undefined;
  /** Term of the lease in which the last report was applied. */
  private reportedInTerm: number | undefined;
  /** Whether an answer left open if the runner counted the order. */
  private isOrderNumberUncertain = false;
  private queue: Promise<unknown> = Promise.resolve();
  /** Adapters that are being unloaded and still serve. */
  private readonly unloadingAdapters = new Set<string>();
  private readonly pendingFetches = new Map<string, Promise<boolean>>();

  constructor(
    readonly registration: RunnerRegistration,
    private readonly options: RunnerControllerOptions,
  ) {
    this.addRegisteredModels(registration);
  }

  get isBusy(): boolean {
    const isInProgress = this.options.clock.nowMs() < this.busyUntilMs;
    return isInProgress || this.pendingModelOrders > 0;
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
    const {unansweredMs} = this;
    if (unansweredMs === undefined) return false;
    return this.options.clock.nowMs() - unansweredMs < UNRESPONSIVE_MS;
  }

  /** Expected time until the order in progress is complete. */
  get remainingMs(): number {
    return Math.max(0, this.expectedEndMs - this.options.clock.nowMs());
  }

  /**
   * Whether the runner can receive orders: a report has arrived since this
   * process gained the lease.
   *
   * State from an earlier term may be wrong although the number of orders still
   * matches. An unload whose answer was lost and that never took place left
   * memory counted as free, and the next load would have overfilled the runner,
   * which crashes. A report contains both the number of orders and what the
   * runner holds.
   */
  get isReady(): boolean {
    return (
      this.orderNumber !== undefined &&
      this.reportedInTerm === this.options.lease.current().term
    );
  }

  /**
   * Whether the runner answered recent requests for its report. Another runner
   * at the same address answers these too, and reveals its identity only in
   * response to an order.
   */
  get isReachable(): boolean {
    const isReplaced =
      this.addressReusedMs !== undefined &&
      this.options.clock.nowMs() - this.addressReusedMs < ADDRESS_REUSED_MS;
    return !isReplaced && this.failedReports < MAX_FAILED_REPORTS;
  }

  recordReportFailure(): void {
    this.failedReports += 1;
  }

  recordAdapterUse(model: string, adapter: string): void {
    const held = this.adapters.get(adapterKey(model, adapter));
    if (held) held.usedMs = this.options.clock.nowMs();
  }

  /**
   * Applies a report, unless it is stale. A report made before the last order
   * would restore what that order changed. A report with the same number of
   * orders counts; one with a higher number shows that an order that seemed
   * lost was accepted. A report requested long after the last order always
   * counts, because otherwise a number that was counted too high would make all
   * reports ignored and all orders refused permanently.
   */
  applyReport(report: RunnerReport, requestedMs: number): void {
    const {options} = this;
    this.failedReports = 0;
    this.inMemory = report.inMemory;
    this.onDisk = report.onDisk;
    const isSettled =
      this.lastPossibleEffectMs === undefined ||
      requestedMs - this.lastPossibleEffectMs >= MAX_REPORT_LAG_MS;
    const isStale =
      this.orderNumber !== undefined && report.orderNumber < this.orderNumber;
    if (!isSettled && (isStale || this.isOrderNumberUncertain)) return;
    this.orderNumber = report.orderNumber;
    this.reportedInTerm = options.lease.current().term;
    this.isOrderNumberUncertain = false;
    if (report.busy) {
      // A load of the previous holder takes memory that no report shows until
      // it is complete. Another load during that time would overfill the
      // runner.
      this.busyUntilMs = options.clock.nowMs() + MAX_BUSY_MS;
    } else {
      this.busyUntilMs = 0;
      this.loadingModel = undefined;
      this.unloadingModel = undefined;
    }
    this.models.clear();
    const nowMs = options.clock.nowMs();
    const present = new Set<string>();
    for (const {name, adapters} of report.models) {
      this.models.add(name);
      for (const adapter of adapters) present.add(adapterKey(name, adapter));
      for (const adapter of adapters) this.addAdapter(name, adapter, nowMs);
    }
    for (const {model, adapter} of report.pendingAdapters) {
      present.add(adapterKey(model, adapter));
      this.addAdapter(model, adapter, nowMs);
    }
    for (const key of this.adapters.keys()) {
      if (present.has(key) || this.pendingFetches.has(key)) continue;
      this.adapters.delete(key);
      this.unloadingAdapters.delete(key);
    }
    if (this.loadingModel !== undefined) this.models.add(this.loadingModel);
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
      const outcome = await this.sendOrder(order);
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
        for (const [key, held] of this.adapters) {
          if (held.model === order.model) this.adapters.delete(key);
        }
      }
      return outcome;
    });
  }

  /** Returns the adapters that serve now and are not being unloaded. */
  servingAdapters(): string[] {
    return [...this.adapters.keys()].filter(
      key => !this.unloadingAdapters.has(key),
    );
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
    const {clock} = this.options;
    const key = adapterKey(model, adapter);
    if (!this.models.has(model) || this.loadingModel === model) return false;
    const held = this.adapters.get(key);
    if (held && !this.unloadingAdapters.has(key)) {
      held.usedMs = clock.nowMs();
      return true;
    }
    // A runner refuses all other orders while it loads or unloads a model.
    if (this.isBusy) return false;
    if (!(await this.freeAdapterSlot(adapterSlots))) return false;
    const outcome = await this.sendOrder({
      kind: 'load',
      model,
      adapter,
      reason: 'asked-for',
    });
    if (outcome === 'refused') return false;
    const nowMs = clock.nowMs();
    const isUnconfirmed = outcome === 'unknown';
    this.adapters.set(key, {
      model,
      adapter,
      usedMs: nowMs,
      isUnconfirmed,
    });
    return outcome !== 'unknown';
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
    const byUse = [...this.adapters.entries()].sort(
      ([, a], [, b]) => a.usedMs - b.usedMs,
    );
    for (const [key, {model, adapter, usedMs, isUnconfirmed}] of byUse) {
      if (this.adapters.size < adapterSlots) return true;
      if (this.unloadingAdapters.has(key)) continue;
      if (this.options.isAdapterInUse(key)) continue;
      if (clock.nowMs() - usedMs < MIN_ADAPTER_HOLD_MS) return false;
      const outcome = await this.sendOrder({
        kind: 'unload',
        model,
        adapter,
        reason: 'longest-unused',
      });
      // The answer is the same for an adapter that was unloaded at once, which
      // counts as an order, and for one that was never there, which doesn't.
      // With a wrong count all later orders were refused.
      if (isUnconfirmed) this.isOrderNumberUncertain = true;
      // An adapter in use is unloaded after its requests. Its slot counts as
      // occupied until a report shows that the adapter is gone, because a load
      // into it would overfill the runner.
      if (outcome === 'done') this.adapters.delete(key);
      if (outcome === 'begun') this.unloadingAdapters.add(key);
      if (outcome !== 'done') return false;
    }
    return this.adapters.size < adapterSlots;
  }

  private async sendOrder(order: ControllerOrder): Promise<OrderResult> {
    const {lease, control, holder, logger, metrics, clock} = this.options;
    const {runnerId, address} = this.registration;
    if (this.orderNumber === undefined) return 'refused';
    if (!this.isReady || this.isOrderNumberUncertain) return 'refused';
    const state = lease.current();
    if (!state.isHolder) return 'refused';
    const expectedOrderNumber = this.orderNumber;
    const sentMs = clock.nowMs();
    const previousEffectMs = this.lastPossibleEffectMs;
    this.lastOrderMs = sentMs;
    this.lastPossibleEffectMs = sentMs;
    const answer = await control.order(runnerId, address, {
      kind: order.kind,
      model: order.model,
      adapter: order.adapter,
      expectedOrderNumber,
      holder,
      fencingToken: state.fencingToken,
    });
    const outcome = answer.isOk() ? answer.value : 'unknown';
    this.unansweredMs = outcome === 'unknown' ? clock.nowMs() : undefined;
    logger.info('order', {
      runner: runnerId,
      kind: order.kind,
      model: order.model,
      adapter: order.adapter,
      reason: order.reason,
      token: state.fencingToken,
      orderNumber: expectedOrderNumber,
      outcome,
      error: answer.isErr() ? answer.error.message : undefined,
      tookMs: Math.round(clock.nowMs() - sentMs),
    });
    metrics.count('orders_total', {kind: order.kind, outcome});
    if (outcome !== 'conflict') this.consecutiveConflicts = 0;
    if (outcome === 'accepted') {
      this.orderNumber = Math.max(this.orderNumber, expectedOrderNumber + 1);
      return 'begun';
    }
    if (outcome === 'holds') {
      // The unload of an adapter at once has this answer and counts as an
      // order.
      if (order.kind === 'unload' && order.adapter !== undefined) {
        this.orderNumber = Math.max(this.orderNumber, expectedOrderNumber + 1);
      }
      return 'done';
    }
    if (outcome === 'fenced') lease.noteFenced();
    // Another runner uses the address, so this runner has stopped.
    if (outcome === 'other-runner') this.addressReusedMs = clock.nowMs();
    if (outcome === 'conflict') {
      this.backOffAfterConflict();
      // The order changed nothing. When a refused order counted, each attempt
      // delayed the report with the correct number, and no order succeeded for
      // five seconds.
      this.lastPossibleEffectMs = previousEffectMs;
    }
    return outcome === 'unknown' ? 'unknown' : 'refused';
  }

  private backOffAfterConflict(): void {
    this.consecutiveConflicts += 1;
    const doublings = Math.min(
      this.consecutiveConflicts - 1,
      CONFLICT_DOUBLINGS,
    );
    const pauseMs = CONFLICT_PAUSE_MS * 2 ** doublings;
    const endMs = this.options.clock.nowMs() + pauseMs;
    this.busyUntilMs = Math.max(this.busyUntilMs, endMs);
  }

  private addAdapter(model: string, adapter: string, nowMs: number): void {
    const key = adapterKey(model, adapter);
    if (this.adapters.has(key)) return;
    this.adapters.set(key, {model, adapter, usedMs: nowMs});
  }

  private addRegisteredModels({models}: RunnerRegistration): void {
    const nowMs = this.options.clock.nowMs();
    for (const {name, adapters} of models ?? []) {
      this.models.add(name);
      for (const adapter of adapters) this.addAdapter(name, adapter, nowMs);
    }
  }

  private enqueue<T>(work: () => Promise<T>): Promise<T> {
    const next = this.queue.then(work, work);
    this.queue = next.catch(() => undefined);
    return next;
  }
}
