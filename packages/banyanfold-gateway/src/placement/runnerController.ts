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
  /** Whether requests that use the adapter are under way here. */
  isAdapterInUse(adapter: string): boolean;
}

export interface ControllerOrder {
  kind: OrderKind;
  model: string;
  adapter?: string;
  reason: string;
}

/**
 * What came of an order, as far as it is known: taken on and not over yet, over
 * at once, turned away, or without an answer.
 */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unknown';

/** An adapter that is at a runner, or is being fetched. */
interface HeldAdapter {
  model: string;
  adapter: string;
  usedMs: number;
  /** Its load got no answer; the place counts as taken all the same. */
  isUnconfirmed?: boolean;
}

/** Reports are some hundred ms old; 200 to 260 ms were seen. */
const MAX_REPORT_LAG_MS = 1_000;
/** One question may be lost on the way; after two its copies don't count. */
const MAX_FAILED_REPORTS = 2;
/**
 * An adapter that was asked for a moment ago is about to be used. When more are
 * asked for at once than there are places, taking it away again would have both
 * requests wait by turns.
 */
const MIN_ADAPTER_HOLD_MS = 300;
/** A runner that turned an order away is left alone until its next report. */
const CONFLICT_PAUSE_MS = 150;
/** From 150 ms to 600; by then a report has come. */
const CONFLICT_DOUBLINGS = 2;

/**
 * A runner that left an order unanswered is not relied on for so long: three
 * loads in a row went to one that was about to go, and 58 callers waited for 5 s.
 */
const UNRESPONSIVE_MS = 3_000;

/** A registration of one that is gone lasts for three heartbeats of 1.2 s. */
const ADDRESS_REUSED_MS = 4_000;

/** A load takes a few seconds; then the runner's report decides. */
const MAX_BUSY_MS = 12_000;

/**
 * All that the holder knows of one runner, and the one place from which it
 * gives that runner orders, one after the other.
 *
 * An order without an answer may be carried out seconds later, after newer
 * ones: a load that arrives when its place was given away overfills the runner,
 * which crashes. Each order names the number of orders that the runner has
 * accepted so far, so that of an old and a new order only one takes effect.
 */
export class RunnerController {
  readonly models = new Set<string>();
  readonly adapters = new Map<string, HeldAdapter>();
  inMemory: readonly string[] = [];
  onDisk: readonly string[] = [];
  /** The model that is being loaded. */
  loadingModel: string | undefined;
  /**
   * The model that is being unloaded. The runner goes on with its runs and
   * names it in reports until they are over, and refuses new ones.
   */
  private unloadingModel: string | undefined;
  lastOrderMs: number | undefined;
  /** The last order that a runner may have taken on. */
  private lastPossibleEffectMs: number | undefined;
  private consecutiveConflicts = 0;
  /** When another runner last answered at its address. */
  private addressReusedMs: number | undefined;
  /** When the last order turned out to be without an answer. */
  private unansweredMs: number | undefined;
  /** Room is being made for it. */
  intendedModel: string | undefined;
  /** Orders on models that wait here or have no answer yet. */
  private pendingModelOrders = 0;
  private busyUntilMs = 0;
  private expectedEndMs = 0;
  private failedReports = 0;
  private orderNumber: number | undefined;
  /** The lease's term in which the last report was taken. */
  private reportedInTerm: number | undefined;
  /** An answer left open whether the runner counted the order. */
  private isOrderNumberUncertain = false;
  private queue: Promise<unknown> = Promise.resolve();
  /** Adapters that were ordered away and still serve. */
  private readonly unloadingAdapters = new Set<string>();
  private readonly pendingFetches = new Map<string, Promise<boolean>>();

  constructor(
    readonly registration: RunnerRegistration,
    private readonly options: RunnerControllerOptions,
  ) {
    this.addRegisteredModels(registration);
  }

  get isBusy(): boolean {
    const isUnderWay = this.options.clock.nowMs() < this.busyUntilMs;
    return isUnderWay || this.pendingModelOrders > 0;
  }

  /** The order under way is expected to be over, so that a report will tell. */
  get isReportDue(): boolean {
    return this.isBusy && this.options.clock.nowMs() >= this.expectedEndMs;
  }

  /** It left an order unanswered lately, as one does that is about to go. */
  get isUnresponsive(): boolean {
    const {unansweredMs} = this;
    if (unansweredMs === undefined) return false;
    return this.options.clock.nowMs() - unansweredMs < UNRESPONSIVE_MS;
  }

  /** Until the order under way is expected to be over. */
  get remainingMs(): number {
    return Math.max(0, this.expectedEndMs - this.options.clock.nowMs());
  }

  /**
   * It can be given orders: a report has come since this process got the lease.
   *
   * What it knew when it last had the lease may be wrong though the number of
   * orders still fits: an unload whose answer was lost, and that never happened,
   * left memory that counted as free, and the next load would overfill the
   * runner, which crashes. A report tells both the number and what is held.
   */
  get isReady(): boolean {
    return (
      this.orderNumber !== undefined &&
      this.reportedInTerm === this.options.lease.current().term
    );
  }

  /**
   * It answered the last question for its report. Another runner at its address
   * answers too, and says that it isn't this one only to an order.
   */
  get isReachable(): boolean {
    const isGone =
      this.addressReusedMs !== undefined &&
      this.options.clock.nowMs() - this.addressReusedMs < ADDRESS_REUSED_MS;
    return !isGone && this.failedReports < MAX_FAILED_REPORTS;
  }

  recordReportFailure(): void {
    this.failedReports += 1;
  }

  recordAdapterUse(model: string, adapter: string): void {
    const held = this.adapters.get(adapterKey(model, adapter));
    if (held) held.usedMs = this.options.clock.nowMs();
  }

  /**
   * A report lags: one that was made before the last order would bring back
   * what that order changed. One with as many orders counts; one with more
   * tells of an order that was taken for lost. One that was asked for long
   * after the last order counts in any case, or a number that was counted too
   * high would have all reports left out and all orders refused for good.
   */
  applyReport(report: RunnerReport, askedMs: number): void {
    const {options} = this;
    this.failedReports = 0;
    this.inMemory = report.inMemory;
    this.onDisk = report.onDisk;
    const isSettled =
      this.lastPossibleEffectMs === undefined ||
      askedMs - this.lastPossibleEffectMs >= MAX_REPORT_LAG_MS;
    const isStale =
      this.orderNumber !== undefined && report.orderNumber < this.orderNumber;
    if (!isSettled && (isStale || this.isOrderNumberUncertain)) return;
    this.orderNumber = report.orderNumber;
    this.reportedInTerm = options.lease.current().term;
    this.isOrderNumberUncertain = false;
    if (report.busy) {
      // A load of the holder before this one takes memory that no report shows
      // until it is over; another one after it would overfill the runner.
      this.busyUntilMs = options.clock.nowMs() + MAX_BUSY_MS;
    } else {
      this.busyUntilMs = 0;
      this.loadingModel = undefined;
      this.unloadingModel = undefined;
    }
    this.models.clear();
    const nowMs = options.clock.nowMs();
    const seen = new Set<string>();
    for (const {name, adapters} of report.models) {
      this.models.add(name);
      for (const adapter of adapters) seen.add(adapterKey(name, adapter));
      for (const adapter of adapters) this.addAdapter(name, adapter, nowMs);
    }
    for (const {model, adapter} of report.pendingAdapters) {
      seen.add(adapterKey(model, adapter));
      this.addAdapter(model, adapter, nowMs);
    }
    for (const key of this.adapters.keys()) {
      if (seen.has(key) || this.pendingFetches.has(key)) continue;
      this.adapters.delete(key);
      this.unloadingAdapters.delete(key);
    }
    if (this.loadingModel !== undefined) this.models.add(this.loadingModel);
  }

  /** Brings an adapter here, making a place for it if need be. */
  ensureAdapter(
    model: string,
    adapter: string,
    adapterSlots: number,
  ): Promise<boolean> {
    const key = adapterKey(model, adapter);
    const running = this.pendingFetches.get(key);
    if (running) return running;
    const fetch = this.enqueue(() =>
      this.fetchAdapter(model, adapter, adapterSlots),
    ).finally(() => this.pendingFetches.delete(key));
    this.pendingFetches.set(key, fetch);
    return fetch;
  }

  /**
   * Gives an order on a model.
   *
   * @param expectedMs how long it is expected to take.
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

  /** Adapters that serve now and stay. */
  servingAdapters(): string[] {
    return [...this.adapters.keys()].filter(
      key => !this.unloadingAdapters.has(key),
    );
  }

  /** Models that serve now: the one being loaded doesn't yet. */
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
    // While a model comes or goes, a runner turns all other orders away.
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
    const isDoubtful = outcome === 'unknown';
    this.adapters.set(key, {
      model,
      adapter,
      usedMs: nowMs,
      isUnconfirmed: isDoubtful,
    });
    return outcome !== 'unknown';
  }

  /**
   * Unloads adapters, longest unused first, until one place is free.
   *
   * One in use stays: its runner would refuse all other orders until the runs
   * are over, and callers of other adapters and models would wait that long.
   */
  private async freeAdapterSlot(adapterSlots: number): Promise<boolean> {
    const {clock} = this.options;
    const byUse = [...this.adapters.entries()].sort(
      ([, a], [, b]) => a.usedMs - b.usedMs,
    );
    for (const [
      key,
      {model, adapter, usedMs, isUnconfirmed: isDoubtful},
    ] of byUse) {
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
      // The answer is the same for one that went at once, which counts as an
      // order, and for one that was never there, which doesn't. Counted wrong,
      // all later orders were refused.
      if (isDoubtful) this.isOrderNumberUncertain = true;
      // One in use goes when its runs are over. Its place counts as taken until
      // a report shows it gone; a load into it would overfill the runner.
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
      // An adapter that goes at once is answered like this, and counts.
      if (order.kind === 'unload' && order.adapter !== undefined) {
        this.orderNumber = Math.max(this.orderNumber, expectedOrderNumber + 1);
      }
      return 'done';
    }
    if (outcome === 'fenced') lease.noteFenced();
    // Another runner has the address; this one has ended.
    if (outcome === 'other-runner') this.addressReusedMs = clock.nowMs();
    if (outcome === 'conflict') {
      this.backOffAfterConflict();
      // It changed nothing. Counted as an order, each try put off the report
      // that tells the right number, and no order came about for five seconds.
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
