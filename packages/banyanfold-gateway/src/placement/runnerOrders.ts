import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {
  LeaseSource,
  OrderKind,
  RunnerControl,
  RunnerRegistration,
  RunnerReport,
} from '../types.js';

export interface RunnerOrdersOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  lease: LeaseSource;
  control: RunnerControl;
  holder: string;
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

/** Upper bound on the age of a report; 200 to 260 ms were measured. */
const MAX_REPORT_LAG_MS = 1_000;
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
 * Sends orders to one runner, and counts those that it has accepted.
 *
 * An unanswered order may be carried out seconds later, after newer ones. A
 * load that arrives after its memory was assigned to another model overfills
 * the runner, which crashes. Each order therefore names the number of orders
 * that the runner has accepted so far, so that only one of an old and a new
 * order takes effect.
 */
export class RunnerOrders {
  lastOrderMs: number | undefined;
  /** When the last order was sent that the runner may have accepted. */
  private lastPossibleEffectMs: number | undefined;
  private consecutiveConflicts = 0;
  private conflictPauseEndMs = 0;
  /** When another runner last answered at the address of this one. */
  private addressReusedMs: number | undefined;
  /** When the last order turned out to be unanswered. */
  private unansweredMs: number | undefined;
  private orderNumber: number | undefined;
  /** Term of the lease in which the last report was applied. */
  private reportedInTerm: number | undefined;
  /** Whether an answer left open if the runner counted the order. */
  private isOrderNumberUncertain = false;

  constructor(
    private readonly registration: RunnerRegistration,
    private readonly options: RunnerOrdersOptions,
  ) {}

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

  /** Whether the runner refused an order and has not reported since. */
  get isPaused(): boolean {
    return this.options.clock.nowMs() < this.conflictPauseEndMs;
  }

  /** Ends the pause after a refused order. */
  endPause(): void {
    this.conflictPauseEndMs = 0;
  }

  /**
   * Whether it recently left an order unanswered, as a runner does that is
   * about to stop.
   */
  get isUnresponsive(): boolean {
    return this.isWithin(this.unansweredMs, UNRESPONSIVE_MS);
  }

  /** Whether another runner recently answered an order at this address. */
  get isAddressReused(): boolean {
    return this.isWithin(this.addressReusedMs, ADDRESS_REUSED_MS);
  }

  /** Records that the runner may or may not have counted the last order. */
  markNumberUncertain(): void {
    this.isOrderNumberUncertain = true;
  }

  /**
   * Takes the number of orders from a report; returns false if it is stale. A
   * report made before the last order would restore what that order changed. A
   * report with the same number of orders counts; one with a higher number
   * shows that an order that seemed lost was accepted. A report requested long
   * after the last order always counts, because otherwise a number that was
   * counted too high would make all reports ignored and all orders refused
   * permanently.
   */
  acceptReport({orderNumber}: RunnerReport, requestedMs: number): boolean {
    const isSettled =
      this.lastPossibleEffectMs === undefined ||
      requestedMs - this.lastPossibleEffectMs >= MAX_REPORT_LAG_MS;
    const isStale =
      this.orderNumber !== undefined && orderNumber < this.orderNumber;
    if (!isSettled && (isStale || this.isOrderNumberUncertain)) return false;
    this.orderNumber = orderNumber;
    this.reportedInTerm = this.options.lease.current().term;
    this.isOrderNumberUncertain = false;
    return true;
  }

  async send(order: ControllerOrder): Promise<OrderResult> {
    const {lease, control, holder, clock} = this.options;
    const {runnerId, address} = this.registration;
    if (this.orderNumber === undefined) return 'refused';
    if (!this.isReady || this.isOrderNumberUncertain) return 'refused';
    const {isHolder, fencingToken} = lease.current();
    if (!isHolder) return 'refused';
    const expectedOrderNumber = this.orderNumber;
    const sentMs = clock.nowMs();
    const previousEffectMs = this.lastPossibleEffectMs;
    this.lastOrderMs = sentMs;
    this.lastPossibleEffectMs = sentMs;
    const {kind, model, adapter, reason} = order;
    const answer = await control.order(runnerId, address, {
      kind,
      model,
      adapter,
      expectedOrderNumber,
      holder,
      fencingToken,
    });
    const outcome = answer.isOk() ? answer.value : 'unknown';
    this.unansweredMs = outcome === 'unknown' ? clock.nowMs() : undefined;
    this.options.logger.info('order', {
      runner: runnerId,
      kind,
      model,
      adapter,
      reason,
      token: fencingToken,
      orderNumber: expectedOrderNumber,
      outcome,
      error: answer.isErr() ? answer.error.message : undefined,
      tookMs: Math.round(clock.nowMs() - sentMs),
    });
    this.options.metrics.count('orders_total', {kind, outcome});
    if (outcome !== 'conflict') this.consecutiveConflicts = 0;
    if (outcome === 'accepted') {
      this.countOrder(expectedOrderNumber);
      return 'begun';
    }
    if (outcome === 'holds') {
      // The unload of an adapter at once has this answer and counts as an
      // order.
      if (kind === 'unload' && adapter !== undefined) {
        this.countOrder(expectedOrderNumber);
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

  private countOrder(expectedOrderNumber: number): void {
    this.orderNumber = Math.max(this.orderNumber ?? 0, expectedOrderNumber + 1);
  }

  private backOffAfterConflict(): void {
    this.consecutiveConflicts += 1;
    const doublings = Math.min(
      this.consecutiveConflicts - 1,
      CONFLICT_DOUBLINGS,
    );
    const pauseMs = CONFLICT_PAUSE_MS * 2 ** doublings;
    this.conflictPauseEndMs = this.options.clock.nowMs() + pauseMs;
  }

  private isWithin(sinceMs: number | undefined, forMs: number): boolean {
    if (sinceMs === undefined) return false;
    return this.options.clock.nowMs() - sinceMs < forMs;
  }
}
