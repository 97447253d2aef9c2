import type {BanyanfoldError, Clock, Logger, Timer} from '@banyanfold/core';
import type {Result} from 'neverthrow';
import type {LastOrder, LeaseHandover} from '../peers/peerContract.js';
import type {
  LeaseAnswer,
  LeaseSource,
  LeaseState,
  LeaseStore,
} from '../types.js';

export interface LeaseManagerOptions {
  clock: Clock;
  logger: Logger;
  store: LeaseStore;
  /** The store gives the lease to another after this long in silence. */
  ttlMs: number;
  /** Orders of two holders must be this far apart. */
  leaseMs: number;
  /** A process that ran without trouble for this long counts as in touch. */
  contactMs: number;
  /** Asks the holder before this one; undefined when it doesn't answer. */
  queryFormerHolder: (
    address: string,
    generation: number,
  ) => Promise<LastOrder | undefined>;
  /** Offers the lease to the peers; the address of the one that took it. */
  handOver: (handover: LeaseHandover) => Promise<string | undefined>;
  /** This process's own address. */
  address: string;
  /** Runners refuse an order with a lower token than they have seen. */
  areRunnersFenced: boolean;
  /** The whole system starts for the first time; there is no holder yet. */
  isFirstStart: boolean;
  /** Called when this process becomes the holder, and when it no longer is. */
  onChange?: (isHolder: boolean) => void;
}

/** A moment on both clocks. */
interface ClockReading {
  steadyMs: number;
  wallMs: number;
}

/** Renewals a lease lasts for, so that one lost answer doesn't end it. */
const RENEWALS_PER_TTL = 4;
/** Lifetimes of the lease after which another process has it, if any takes it. */
const SUCCESSION_TTLS = 2;
/** Not used of the lease at its end: for an order on its way, and clocks. */
const LEASE_MARGIN_MS = 150;
/** Renewals end after 1.5 s without an answer, and begin anew. */
const RECENT_FAILURE_MS = 2_500;
/** Tokens of one generation; it goes from peer to peer far less often. */
const MAX_HANDOVERS = 1_000;
/** The store counts the changes of a group from 1. */
const FIRST_GENERATION = 1;
/** Who holds it is asked again no sooner than this. */
const OWNER_QUERY_INTERVAL_MS = 300;

/**
 * Keeps this process in the group among whose members the store deals the one
 * lease on giving orders.
 *
 * A holder that was frozen or cut off doesn't know that another one orders by
 * now; its late orders would undo the other's. The lease counts from when its
 * renewal was sent and is checked right before each order, so it ends here before
 * the store gives it away. The steady clock stands still while a machine is
 * suspended and the time of day may jump; the longer of both spans counts, so a
 * jump ends the lease early at worst.
 */
export class LeaseManager implements LeaseSource {
  private timer: Timer | undefined;
  private isStopped = false;
  private isStandby = true;
  private generation = 0;
  /** Times that it went from peer to peer within this generation. */
  private handoverCount = 0;
  private keepsUntilExit = false;
  private ownsLease = false;
  private renewedAt: ClockReading | undefined;
  /** When the renewal was sent that failed last. */
  private failedAt: ClockReading | undefined;
  private isStoreDown = false;
  /** On the steady clock, on which a wait is never too short. */
  private ordersAllowedFromMs = Number.POSITIVE_INFINITY;
  private holderAddress: string | undefined;
  /** The last other process that held it. */
  private formerHolder: string | undefined;
  private readonly startedAt: ClockReading;
  private ownerQueriedMs = Number.NEGATIVE_INFINITY;
  private isVacant = false;
  private wasHolder = false;
  private term = 0;

  constructor(private readonly options: LeaseManagerOptions) {
    this.startedAt = this.now();
  }

  start(): void {
    void this.joinOrDefer();
  }

  /**
   * Where another process has the lease, this one stays out of the group until
   * that one is gone: the store deals the lease anew with each that joins. Six
   * processes that started on a busy day took it from its holder, and nobody
   * ordered for 4 s.
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
      isVacant: this.isVacant,
      fencingToken: this.generation * MAX_HANDOVERS + this.handoverCount,
      term: this.term,
      holderAddress: this.holderAddress,
    };
  }

  /**
   * A later holder asks this one, or a runner has seen a higher token: whoever
   * has it now, this process doesn't. Returns whether it was out of touch with
   * the store, so that the other one need not wait for it.
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
   * A peer says who holds the lease. A process that is cut off from the store
   * has no other way to learn it, and its callers would wait for adapters.
   */
  noteHolder(address: string | undefined): void {
    if (address === undefined || address === this.holderAddress) return;
    if (this.ownsLease && !this.hasLapsed()) return;
    this.recordHolderAddress(address);
    this.options.logger.info('holder', {address, from: 'peer'});
  }

  /**
   * The group is for a few processes with room for the work of a holder. One
   * that is told to stand aside leaves it; one that hears from no holder any
   * more comes back, whatever its size, or nobody would give orders once all
   * that stood by are gone. It comes back for no other reason, because the store
   * may deal the lease anew then.
   */
  setStandby(isStandby: boolean): void {
    if (this.isStopped || isStandby === this.isStandby) return;
    this.isStandby = isStandby;
    this.options.logger.info('lease-standby', {
      isStandby,
      held: this.ownsLease,
    });
    if (isStandby) void this.renew();
    else void this.leaveGroup();
  }

  /** A runner has seen a higher token than this process's. */
  noteFenced(): void {
    this.yieldTo(this.generation + 1);
  }

  refreshHolder(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.ownerQueriedMs < OWNER_QUERY_INTERVAL_MS) return;
    this.ownerQueriedMs = nowMs;
    void this.queryOwner();
  }

  /**
   * Gives the lease up. While the store is out it can't deal it to another, so
   * it goes to a peer, and with no peer in reach this process keeps it until
   * its end; else nobody would give orders until the store is back.
   */
  async release(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    const isHeld = this.ownsLease;
    // The store may take the call and its answer be lost; the next holder's
    // orders and this one's would then reach the same runner by turns.
    if (!this.options.areRunnersFenced) this.stopOrders();
    const left = await this.options.store.leave();
    if (left.isOk()) {
      this.ownsLease = false;
      this.current();
      return;
    }
    const {logger, handOver} = this.options;
    logger.warn('lease-leave-failed', {isHeld, error: left.error.message});
    if (!isHeld || !this.options.areRunnersFenced) return;
    const takenBy = await handOver({
      generation: this.generation,
      step: this.handoverCount + 1,
    });
    logger.info('lease-handed-over', {takenBy});
    this.ownsLease = takenBy === undefined;
    this.keepsUntilExit = this.ownsLease;
    // Peers that still ask this process learn it in no other way: the store,
    // which is out, says who holds the lease only when it is back.
    if (takenBy !== undefined) this.recordHolderAddress(takenBy);
    this.current();
  }

  /**
   * Takes the lease from a holder that leaves while the store is out. Only the
   * one holder gives it away, and to one process, so there is one still; the
   * store's next word counts.
   */
  takeOver({generation, step}: LeaseHandover): boolean {
    const isLate = generation < this.generation;
    if (this.isStopped || isLate || !this.mayExtendLease()) return false;
    this.generation = generation;
    this.handoverCount = step;
    this.ownsLease = true;
    this.term += 1;
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

  /** Orders end before the store may give the lease to another. */
  private async leaveGroup(): Promise<void> {
    this.timer?.cancel();
    this.renewedAt = undefined;
    this.stopOrders();
    const left = await this.options.store.leave();
    // The store drops a member that is silent, a little later.
    if (left.isErr()) {
      const error = left.error.message;
      this.options.logger.warn('lease-leave-failed', {isHeld: false, error});
    }
  }

  private async renew(): Promise<void> {
    const {ttlMs, logger, clock} = this.options;
    this.timer?.cancel();
    const sentAt = this.now();
    const joined = await this.joinUnlessHeld();
    if (joined === 'left-to-another') return;
    if (this.isStopped || !this.isStandby) return;
    if (joined.isOk()) {
      const {generation, owns} = joined.value;
      if (this.isStoreDown) logger.info('lease-renewed', {generation, owns});
      this.isStoreDown = false;
      // Without checks at the runners, one that went to another and came back
      // is as good as new: the other one may have ordered a moment ago.
      const hasMoved = this.hasLapsed() && generation !== this.generation;
      const isFenced = this.options.areRunnersFenced;
      const isGained = owns && (!this.ownsLease || (hasMoved && !isFenced));
      // It may have gone to another and come back between two renewals.
      if (isGained || (owns && this.hasLapsed())) this.term += 1;
      if (!owns && this.ownsLease) logger.info('lease-lost', {generation});
      this.generation = generation;
      this.handoverCount = 0;
      this.ownsLease = owns;
      this.renewedAt = sentAt;
      if (isGained) void this.waitForFormerHolder();
    } else {
      // Once for each loss: it is tried four times a second.
      if (!this.isStoreDown) {
        logger.warn('lease-renewal-failed', {error: joined.error.message});
      }
      this.isStoreDown = true;
      this.failedAt = sentAt;
      // After a lapse another one may have ordered; the wait begins anew.
      if (this.hasLapsed() && !this.mayExtendLease()) this.ownsLease = false;
    }
    this.current();
    const delayMs = ttlMs / RENEWALS_PER_TTL;
    // One of before it stood aside may have come back late.
    this.timer?.cancel();
    this.timer = clock.setTimer(delayMs, () => void this.renew());
  }

  /**
   * Another process may hold the lease by now. Of one whose renewals fail the store
   * is asked only after a while: where it turns most calls away, as when hundreds of
   * processes start, a question takes the place of the renewal.
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
   * Joins the group, or renews the membership. One whose membership has lapsed, by
   * a suspension or because the store was out of its reach, asks first who holds
   * the lease: the store may deal it anew when a member comes back.
   */
  private async joinUnlessHeld(): Promise<
    Result<LeaseAnswer, BanyanfoldError> | 'left-to-another'
  > {
    const {store} = this.options;
    if (this.mayHaveSuccessor()) {
      const owner = await store.owner();
      // A store that turns most calls away may take a renewal, which counts less.
      if (owner.isErr()) this.failedAt = this.now();
      if (this.deferTo(owner.unwrapOr(undefined))) return 'left-to-another';
    }
    return store.join(this.generation);
  }

  /**
   * Orders of two holders that both work must be `leaseMs` apart. The one
   * before says when it ordered last; where runners check tokens, one that is
   * leaving, was out of touch with the store or doesn't answer need not be waited
   * for, and a process that has just started doesn't wait: after all were killed
   * at once, that would only keep callers waiting.
   *
   * Where they don't check, only the time between the orders of two VMs keeps
   * them apart. A runner would obey both: after rolling stops and after power
   * was lost, the next holder ordered within the same second as the one before.
   * A former holder's orders end with its lease, before the store gives it to
   * another, so that `leaseMs` from here is enough without any answer.
   */
  private async waitForFormerHolder(): Promise<void> {
    const {
      leaseMs,
      contactMs,
      logger,
      clock,
      queryFormerHolder: askFormer,
      address,
    } = this.options;
    const generation = this.generation;
    this.ordersAllowedFromMs = clock.nowMs() + leaseMs;
    const former = this.formerHolder;
    const isFenced = this.options.areRunnersFenced;
    let waitMs = leaseMs;
    if (former !== undefined) {
      const last = await askFormer(former, generation);
      const hasFormerStopped = isFenced && (last === undefined || last.isOver);
      waitMs = hasFormerStopped
        ? 0
        : Math.max(0, leaseMs - sinceLastOrderMs(last, isFenced));
      if (this.generation !== generation) waitMs = leaseMs;
    }
    const hasJustStarted = this.elapsedMs(this.startedAt) < contactMs;
    if (isFenced && hasJustStarted) waitMs = 0;
    // Nobody has had the lease before in the group's first generation.
    if (generation === FIRST_GENERATION) waitMs = 0;
    this.ordersAllowedFromMs = clock.nowMs() + waitMs;
    this.formerHolder = undefined;
    this.holderAddress = address;
    logger.info('lease-gained', {generation, former, orderInMs: waitMs});
    clock.setTimer(waitMs, () => this.current());
  }

  /**
   * While the store is out nobody can take the lease over, and without orders
   * callers of most models would be refused. Where runners check tokens, the
   * last holder goes on: should another one have the lease after all, its
   * first order to a runner shuts this one out there, and each order names how
   * many came before it. A process that has just woken up has not seen its
   * renewals fail and must hear from the store first.
   */
  private mayExtendLease(): boolean {
    if (!this.options.areRunnersFenced || !this.failedAt) return false;
    return this.elapsedMs(this.failedAt) < RECENT_FAILURE_MS;
  }

  /**
   * A process that starts, wakes up or reaches the store again finds another one at
   * work. Were the lease dealt anew, the new holder would have to wait until its
   * orders are a lease apart from the last one's, and callers would get no adapters
   * meanwhile. It stands aside instead, until it hears from no holder.
   *
   * @param other the address that the store names as the holder.
   */
  private deferTo(other: string | undefined): boolean {
    const {address, logger} = this.options;
    if (other === undefined || other === address) return false;
    this.isStandby = false;
    this.ownsLease = false;
    // When told to come back it joins, whoever the store still names as holder.
    this.renewedAt = undefined;
    this.recordHolderAddress(other);
    logger.info('lease-left', {holder: other});
    this.current();
    return true;
  }

  private now(): ClockReading {
    const {clock} = this.options;
    return {steadyMs: clock.nowMs(), wallMs: clock.wallMs()};
  }

  private hasLapsed(): boolean {
    if (!this.renewedAt) return true;
    const lapseMs = this.options.ttlMs - LEASE_MARGIN_MS;
    return this.elapsedMs(this.renewedAt) >= lapseMs;
  }

  private elapsedMs(since: ClockReading): number {
    const now = this.now();
    return Math.max(now.steadyMs - since.steadyMs, now.wallMs - since.wallMs);
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

  /** The last other process that held it is the one to ask. */
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

/** Since a former holder's last order, as far as its answer says. */
function sinceLastOrderMs(
  last: LastOrder | undefined,
  isFenced: boolean,
): number {
  if (!last) return 0;
  if (last.agoMs !== undefined) return last.agoMs;
  // One that has started since may have ordered in its life before.
  return isFenced ? Number.POSITIVE_INFINITY : last.upMs;
}
