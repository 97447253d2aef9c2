import {
  type BanyanfoldError,
  type Clock,
  type Logger,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import type {Result} from 'neverthrow';
import type {LastOrder, LeaseHandover} from '../peers/peerContract.js';
import type {
  JoinResult,
  LeaseSource,
  LeaseState,
  LeaseStore,
} from '../types.js';

export interface LeaseManagerOptions {
  clock: Clock;
  logger: Logger;
  store: LeaseStore;
  /**
   * The store gives the lease to another member after this long without a
   * renewal.
   */
  ttlMs: number;
  /**
   * Minimum time between the last order of one holder and the first of the
   * next.
   */
  leaseMs: number;
  /** A process that has run without store errors for this long counts as connected. */
  contactMs: number;
  /**
   * Asks the former holder for its last order. Returns undefined if it doesn't
   * answer.
   */
  queryFormerHolder: (
    address: string,
    generation: number,
  ) => Promise<LastOrder | undefined>;
  /**
   * Offers the lease to the peers. Returns the address of the peer that
   * accepted it.
   */
  handOver: (handover: LeaseHandover) => Promise<string | undefined>;
  /** Address of this process. */
  address: string;
  /**
   * Whether runners refuse an order whose token is lower than the highest they
   * have seen.
   */
  areRunnersFenced: boolean;
  /**
   * Whether the whole system starts for the first time, so that there is no
   * holder yet.
   */
  isFirstStart: boolean;
  /** Called when this process becomes the holder or stops being the holder. */
  onChange?: (isHolder: boolean) => void;
}

/** The same instant on the monotonic clock and on the wall clock. */
interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

/**
 * Renewal attempts per lease duration, so that one lost response doesn't end
 * the lease.
 */
const RENEWALS_PER_TTL = 4;
/**
 * Number of lease durations after which a lapsed lease is assumed to have a new
 * holder.
 */
const SUCCESSION_TTLS = 2;
/**
 * Safety margin before the lease expires, for orders in transit and clock
 * differences.
 */
const LEASE_MARGIN_MS = 150;
/** A renewal times out after 1.5 s and is then retried. */
const RECENT_FAILURE_MS = 2_500;
/** Upper bound on handovers per generation; far fewer occur in practice. */
const MAX_HANDOVERS = 1_000;
/** Minimum time between two queries for the owner of the lease. */
const OWNER_QUERY_INTERVAL_MS = 300;

/**
 * Keeps this process a member of the lease group. The store assigns the lease,
 * which permits sending orders to runners, to one member of the group.
 *
 * A holder that was frozen or disconnected doesn't know that another process
 * has taken over, and its late orders would undo those of the new holder. The
 * lease therefore counts from the moment at which the renewal was sent and is
 * checked right before each order, so that it ends here before the store
 * reassigns it. The monotonic clock stops while a machine is suspended and the
 * wall clock may jump; the longer of both elapsed times counts, so that a jump
 * can only end the lease early.
 */
export class LeaseManager implements LeaseSource {
  private timer: Timer | undefined;
  private isStopped = false;
  private isStandby = true;
  private generation = 0;
  /** Handovers from peer to peer within this generation. */
  private handoverCount = 0;
  private keepsUntilExit = false;
  private ownsLease = false;
  private renewedAt: ClockReading | undefined;
  /** When the last failed renewal was sent. */
  private failedAt: ClockReading | undefined;
  private isStoreDown = false;
  /** On the monotonic clock, so that the wait is never too short. */
  private ordersAllowedFromMs = Number.POSITIVE_INFINITY;
  private holderAddress: string | undefined;
  /** The last other process that held the lease. */
  private formerHolder: string | undefined;
  private readonly startedAt: ClockReading;
  private ownerQueriedMs = Number.NEGATIVE_INFINITY;
  private isVacant = false;
  private wasHolder = false;
  private term = 0;
  private isFirst = false;

  constructor(private readonly options: LeaseManagerOptions) {
    this.startedAt = this.now();
  }

  start(): void {
    this.runStep('join-group', () => this.joinOrDefer());
  }

  /**
   * Stays out of the group while another process holds the lease, because the
   * store reassigns the lease whenever a member joins. Six processes that
   * started under load took the lease from its holder this way, and no orders
   * were sent for 4 s.
   */
  private async joinOrDefer(): Promise<void> {
    const {isFirstStart} = this.options;
    if (!isFirstStart) {
      const owner = await this.options.store.owner();
      if (this.deferTo(owner.unwrapOr(undefined))) return;
    }
    if (this.isStopped) return;
    await this.renew();
  }

  current(): LeaseState {
    const isHolder =
      this.ownsLease &&
      (!this.hasLapsed() || this.mayExtendLease() || this.keepsUntilExit) &&
      this.options.clock.nowMs() >= this.ordersAllowedFromMs;
    if (isHolder !== this.wasHolder) this.reportRoleChange(isHolder);
    return {
      isHolder,
      owns: this.ownsLease,
      isUnexpired: this.ownsLease && !this.hasLapsed(),
      isVacant: this.isVacant,
      fencingToken: this.generation * MAX_HANDOVERS + this.handoverCount,
      term: this.term,
      isFirst: this.isFirst,
      holderAddress: this.holderAddress,
    };
  }

  /**
   * Gives up the lease because a later holder has called or a runner has seen a
   * higher token. Returns whether this process had lost contact with the store,
   * in which case the later holder need not wait.
   */
  yieldTo(generation: number, address?: string): boolean {
    const {contactMs} = this.options;
    const isOutOfTouch =
      (this.isStandby && this.hasLapsed()) ||
      this.elapsedMs(this.startedAt) < contactMs ||
      (this.failedAt !== undefined &&
        this.elapsedMs(this.failedAt) < contactMs * 2);
    if (generation > this.generation) this.noteHolder(address);
    if (generation > this.generation && this.ownsLease) {
      this.ownsLease = false;
      this.options.logger.info('lease-yielded', {generation, isOutOfTouch});
      this.current();
    }
    return isOutOfTouch;
  }

  /**
   * Records the holder that a peer reports. A process that is disconnected from
   * the store can't learn the holder in any other way, and its requests would
   * wait for adapters.
   */
  noteHolder(address: string | undefined): void {
    if (address === undefined || address === this.holderAddress) return;
    if (this.ownsLease && !this.hasLapsed()) return;
    this.recordHolderAddress(address);
    this.options.logger.info('holder', {address, from: 'peer'});
  }

  /**
   * Joins or leaves the group of standbys. The group is kept small and holds
   * processes with enough capacity for the work of a holder.
   *
   * A process that no longer receives answers from a holder rejoins whatever
   * its size, because otherwise no orders would be sent once all standbys have
   * failed. It rejoins for no other reason, because joining may make the store
   * reassign the lease.
   */
  setStandby(isStandby: boolean): void {
    if (this.isStopped || isStandby === this.isStandby) return;
    this.isStandby = isStandby;
    this.options.logger.info('lease-standby', {
      isStandby,
      held: this.ownsLease,
    });
    if (isStandby) this.renewInBackground();
    else this.runStep('leave-group', () => this.leaveGroup());
  }

  /**
   * Called when a runner has seen a higher token than the one of this process.
   */
  noteFenced(): void {
    this.yieldTo(this.generation + 1);
  }

  refreshHolder(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.ownerQueriedMs < OWNER_QUERY_INTERVAL_MS) return;
    this.ownerQueriedMs = nowMs;
    this.runStep('query-owner', () => this.queryOwner());
  }

  /**
   * Releases the lease. If the store is unreachable it can't assign the lease
   * to another member, so the lease is handed over to a peer. If no peer is
   * reachable, this process keeps the lease until it exits; otherwise no orders
   * would be sent until the store is back.
   */
  async release(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    const isHeld = this.ownsLease;
    // The store may process the call although its response is lost. Orders of
    // the next holder and of this process would then reach the same runner
    // alternately.
    if (!this.options.areRunnersFenced) this.stopOrders();
    const result = await this.options.store.leave();
    if (result.isOk()) {
      this.ownsLease = false;
      this.current();
      return;
    }
    const {logger, handOver} = this.options;
    logger.warn('lease-leave-failed', {isHeld, error: result.error.message});
    if (!isHeld || !this.options.areRunnersFenced) return;
    const takenBy = await handOver({
      generation: this.generation,
      step: this.handoverCount + 1,
    });
    logger.info('lease-handed-over', {takenBy});
    this.ownsLease = takenBy === undefined;
    this.keepsUntilExit = this.ownsLease;
    // Peers that still query this process have no other way to learn the new
    // holder while the store is unreachable.
    if (takenBy !== undefined) this.recordHolderAddress(takenBy);
    this.current();
  }

  /**
   * Accepts the lease from a holder that shuts down while the store is
   * unreachable. Only the current holder hands the lease over, and to one
   * process only, so there is still a single holder. The next response of the
   * store takes precedence.
   */
  takeOver({generation, step}: LeaseHandover): boolean {
    const isLate = generation < this.generation;
    if (this.isStopped || isLate || !this.mayExtendLease()) return false;
    this.generation = generation;
    this.handoverCount = step;
    this.ownsLease = true;
    this.term += 1;
    this.isFirst = false;
    this.ordersAllowedFromMs = this.options.clock.nowMs();
    this.holderAddress = this.options.address;
    this.options.logger.info('lease-taken-over', {generation, step});
    this.current();
    return true;
  }

  private stopOrders(): void {
    this.ownsLease = false;
    this.current();
  }

  /** Leaves the group. Orders stop before the store can reassign the lease. */
  private async leaveGroup(): Promise<void> {
    this.timer?.cancel();
    this.renewedAt = undefined;
    this.stopOrders();
    const result = await this.options.store.leave();
    // The store removes a silent member itself after a short time.
    if (result.isErr()) {
      const error = result.error.message;
      this.options.logger.warn('lease-leave-failed', {isHeld: false, error});
    }
  }

  /** A failure doesn't end the renewals, after which the lease would lapse. */
  private renewInBackground(): void {
    this.runStep('renew-lease', async () => {
      try {
        await this.renew();
      } catch (thrown) {
        if (!this.isStopped && this.isStandby) this.scheduleRenewal();
        throw thrown;
      }
    });
  }

  private runStep(step: string, work: () => Promise<void>): void {
    runInBackground({logger: this.options.logger, step}, work);
  }

  private async renew(): Promise<void> {
    const {logger} = this.options;
    this.timer?.cancel();
    const sentAt = this.now();
    const joined = await this.joinUnlessHeld();
    if (joined === 'left-to-another') return;
    if (this.isStopped || !this.isStandby) return;
    if (joined.isOk()) {
      const {generation, owns, isFirstGeneration} = joined.value;
      if (this.isStoreDown) logger.info('lease-renewed', {generation, owns});
      this.isStoreDown = false;
      // If runners don't check tokens, a lease that moved to another process
      // and came back counts as newly gained, because the other process may
      // have sent orders a moment ago.
      const hasMoved = this.hasLapsed() && generation !== this.generation;
      const isFenced = this.options.areRunnersFenced;
      const isGained = owns && (!this.ownsLease || (hasMoved && !isFenced));
      // The lease may have moved away and come back between two renewals.
      if (isGained || (owns && this.hasLapsed())) {
        this.isFirst = isFirstGeneration && this.term === 0;
        this.term += 1;
      }
      if (!owns && this.ownsLease) logger.info('lease-lost', {generation});
      this.generation = generation;
      this.handoverCount = 0;
      this.ownsLease = owns;
      this.renewedAt = sentAt;
      if (isGained) {
        this.runStep('gain-lease', () => this.waitForFormerHolder());
      }
    } else {
      // Logged once per outage, because the renewal is retried four times a
      // second.
      if (!this.isStoreDown) {
        logger.warn('lease-renewal-failed', {error: joined.error.message});
      }
      this.isStoreDown = true;
      this.failedAt = sentAt;
      // Another process may have sent orders after a lapse, so the wait starts
      // again.
      if (this.hasLapsed() && !this.mayExtendLease()) this.ownsLease = false;
    }
    this.current();
    this.scheduleRenewal();
  }

  private scheduleRenewal(): void {
    const {ttlMs, clock} = this.options;
    const delayMs = ttlMs / RENEWALS_PER_TTL;
    // A timer set before this process left the group may still be pending.
    this.timer?.cancel();
    this.timer = clock.setTimer(delayMs, () => this.renewInBackground());
  }

  /**
   * Whether another process may hold the lease by now. While renewals fail, the
   * store is queried only after a longer time: a store that rejects most calls,
   * as when hundreds of processes start, would serve the query instead of the
   * renewal.
   */
  private mayHaveSuccessor(): boolean {
    const {renewedAt, failedAt} = this;
    if (!renewedAt || !this.hasLapsed()) return false;
    const hasRecentFailure =
      failedAt !== undefined && this.elapsedMs(failedAt) < RECENT_FAILURE_MS;
    const isLongLapsed =
      this.elapsedMs(renewedAt) >= this.options.ttlMs * SUCCESSION_TTLS;
    return !hasRecentFailure || isLongLapsed;
  }

  /**
   * Joins the group or renews the membership. If the membership has lapsed,
   * because the process was suspended or the store was unreachable, the owner
   * is queried first, since the store may reassign the lease when a member
   * rejoins.
   */
  private async joinUnlessHeld(): Promise<
    Result<JoinResult, BanyanfoldError> | 'left-to-another'
  > {
    const {store} = this.options;
    if (this.mayHaveSuccessor()) {
      const owner = await store.owner();
      // A store that rejects most calls may still accept a renewal, which is
      // cheaper.
      if (owner.isErr()) this.failedAt = this.now();
      if (this.deferTo(owner.unwrapOr(undefined))) return 'left-to-another';
    }
    return store.join(this.generation);
  }

  /**
   * Waits until orders of this process are `leaseMs` apart from those of the
   * former holder, which reports when it sent its last order.
   *
   * If runners check tokens, a former holder that is shutting down, has lost
   * the store or doesn't answer need not be waited for. A process that has just
   * started doesn't wait either: after all processes were killed at once,
   * waiting would only delay requests.
   *
   * If runners don't check tokens, only the time between orders separates two
   * holders, because a runner would obey both. After rolling restarts and after
   * a power loss, the next holder sent orders within one second of the previous
   * one. Orders of a former holder end with its lease, before the store
   * reassigns it, so a wait of `leaseMs` from here is sufficient without a
   * response.
   */
  private async waitForFormerHolder(): Promise<void> {
    const {leaseMs, contactMs, logger, clock, queryFormerHolder, address} =
      this.options;
    const generation = this.generation;
    this.ordersAllowedFromMs = clock.nowMs() + leaseMs;
    const former = this.formerHolder;
    const isFenced = this.options.areRunnersFenced;
    let waitMs = leaseMs;
    if (former !== undefined) {
      const last = await queryFormerHolder(former, generation);
      const isDone = isFenced && (last === undefined || last.isOver);
      waitMs = isDone
        ? 0
        : Math.max(0, leaseMs - sinceLastOrderMs(last, isFenced));
      if (this.generation !== generation) waitMs = leaseMs;
    }
    const hasJustStarted = this.elapsedMs(this.startedAt) < contactMs;
    if (isFenced && hasJustStarted) waitMs = 0;
    if (this.isFirst) waitMs = 0;
    this.ordersAllowedFromMs = clock.nowMs() + waitMs;
    this.formerHolder = undefined;
    this.holderAddress = address;
    logger.info('lease-gained', {generation, former, orderInMs: waitMs});
    clock.setTimer(waitMs, () => this.current());
  }

  /**
   * Whether the last holder may continue although its lease has lapsed. While
   * the store is unreachable nobody can take over the lease, and without orders
   * most requests would be refused. This is safe where runners check tokens: if
   * another process does hold the lease, its first order to a runner fences
   * this process off there, and each order names the number of orders before
   * it. A process that has just resumed has not seen its renewals fail and
   * needs a response of the store first.
   */
  private mayExtendLease(): boolean {
    if (!this.options.areRunnersFenced || !this.failedAt) return false;
    return this.elapsedMs(this.failedAt) < RECENT_FAILURE_MS;
  }

  /**
   * Leaves the group if another process holds the lease, so that the store
   * doesn't reassign it. A new holder would have to wait until its orders are
   * one lease apart from those of the last one, and requests would get no
   * adapters meanwhile. This process rejoins once no holder responds.
   *
   * @param holder address of the holder according to the store.
   */
  private deferTo(holder: string | undefined): boolean {
    const {address, logger} = this.options;
    if (holder === undefined || holder === address) return false;
    this.isStandby = false;
    this.ownsLease = false;
    // When told to rejoin, this process joins whichever holder the store still
    // names.
    this.renewedAt = undefined;
    this.recordHolderAddress(holder);
    logger.info('lease-left', {holder});
    this.current();
    return true;
  }

  private now(): ClockReading {
    const {clock} = this.options;
    return {monotonicMs: clock.nowMs(), wallMs: clock.wallMs()};
  }

  private hasLapsed(): boolean {
    if (!this.renewedAt) return true;
    const lapseMs = this.options.ttlMs - LEASE_MARGIN_MS;
    return this.elapsedMs(this.renewedAt) >= lapseMs;
  }

  private elapsedMs(since: ClockReading): number {
    const now = this.now();
    return Math.max(
      now.monotonicMs - since.monotonicMs,
      now.wallMs - since.wallMs,
    );
  }

  private async queryOwner(): Promise<void> {
    const owner = await this.options.store.owner();
    if (owner.isErr()) {
      this.options.logger.warn('lease-owner-unknown', {
        error: owner.error.message,
      });
      return;
    }
    this.isVacant = owner.value === undefined;
    if (owner.value === this.holderAddress) return;
    this.recordHolderAddress(owner.value);
    this.options.logger.info('holder', {address: owner.value});
  }

  /** Remembers the last other holder, which a new holder has to query. */
  private recordHolderAddress(holderAddress: string | undefined): void {
    this.holderAddress = holderAddress;
    if (holderAddress === undefined) return;
    this.isVacant = false;
    if (holderAddress !== this.options.address) {
      this.formerHolder = holderAddress;
    }
  }

  private reportRoleChange(isHolder: boolean): void {
    this.wasHolder = isHolder;
    this.options.logger.info(isHolder ? 'orders-begin' : 'orders-end', {
      generation: this.generation,
    });
    this.options.onChange?.(isHolder);
  }
}

/** Time since the last order of a former holder, according to its answer. */
function sinceLastOrderMs(
  last: LastOrder | undefined,
  isFenced: boolean,
): number {
  if (!last) return 0;
  if (last.agoMs !== undefined) return last.agoMs;
  // A holder that has restarted may have sent orders before its restart.
  return isFenced ? Number.POSITIVE_INFINITY : last.upMs;
}
