import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  sleep,
} from '@banyanfold/core';
import type {Retirements} from '@banyanfold/log';
import type {Proposal, ProposalResult} from '@banyanfold/protocol';
import type {OrderSender} from '../engine/orderSender.js';
import type {Allocation} from '../memory/allocation.js';
import {baseModelOf} from '../memory/allocationTable.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';

const MAX_REMEMBERED_RESULTS = 1_024;
const DRAIN_POLL_MS = 20;
const LOST_VERDICT_WATCH_MS = 300_000;
const LOST_VERDICT_POLL_MS = 500;

/** Options of {@link ProposalHandler}. */
export interface ProposalHandlerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  ledger: MemoryLedger;
  orders: OrderSender;
  retirements: Pick<Retirements, 'retireCopy' | 'isRetired'>;
  inheritedRetireHoldMs: number;
  /** Whether the configuration, read up to date, no longer has the artifact. */
  isUnpublished(artifact: string): Promise<boolean>;
  hasFence(): boolean;
  isLeaving(): boolean;
  nextOrderId(artifact: string): string;
  /**
   * Records the role that the engine confirmed.
   *
   * @param setAtMs Engine clock: reports taken later reflect the role.
   */
  setRunnerRole(role: string, setAtMs: number): void;
}

/**
 * Accepts or refuses the proposals of planners.
 *
 * The ledger, the fencing token and the log decide here. Two concurrent
 * planners, or one that was paused, can therefore cause needless moves, but
 * they can't overcommit memory or remove the last copy.
 */
export class ProposalHandler {
  private highestPlannerEpoch = 0;
  private stopped = false;
  /** Artifacts whose retirement the log has yet to decide. */
  private readonly undecided = new Set<string>();
  /** Results by proposal id, which make repeated proposals idempotent. */
  private readonly results = new Map<string, Promise<ProposalResult>>();
  private readonly handlers: Record<
    Proposal['kind'],
    (proposal: Proposal) => Promise<ProposalResult>
  > = {
    load: proposal => this.load(proposal),
    retire: proposal => this.retire(proposal),
    'set-role': proposal => this.setRole(proposal),
  };

  constructor(private readonly options: ProposalHandlerOptions) {}

  stop(): void {
    this.stopped = true;
  }

  /**
   * Handles a proposal; a repeated proposal gets the result of the first.
   *
   * @example await handler.propose(proposal) // {accepted: true, …}
   */
  propose(proposal: Proposal): Promise<ProposalResult> {
    const earlier = this.results.get(proposal.proposalId);
    if (earlier) return earlier;
    const result = this.handleAndRecord(proposal);
    this.results.set(proposal.proposalId, result);
    for (const oldest of this.results.keys()) {
      if (this.results.size <= MAX_REMEMBERED_RESULTS) break;
      this.results.delete(oldest);
    }
    return result;
  }

  private async handleAndRecord(proposal: Proposal): Promise<ProposalResult> {
    const result = await this.validateAndHandle(proposal);
    const {logger, metrics} = this.options;
    const {kind, reason} = {kind: proposal.kind, reason: result.reason};
    metrics.count('agent_proposals_total', {kind, reason});
    logger.info('proposal', {
      proposal: proposal.proposalId,
      epoch: proposal.plannerEpoch,
      kind,
      artifact: proposal.artifact || undefined,
      accepted: result.accepted,
      reason,
    });
    return result;
  }

  private async validateAndHandle(proposal: Proposal): Promise<ProposalResult> {
    if (proposal.plannerEpoch < this.highestPlannerEpoch) {
      return refused('old-planner');
    }
    this.highestPlannerEpoch = proposal.plannerEpoch;
    if (this.options.isLeaving()) return refused('leaving');
    if (!this.options.hasFence()) return refused('no-fence');
    return this.handlers[proposal.kind](proposal);
  }

  private async load({artifact, bytes}: Proposal): Promise<ProposalResult> {
    const {ledger, orders, nextOrderId} = this.options;
    if (!artifact || bytes <= 0) return refused('bad-proposal');
    const model = baseModelOf(artifact);
    const hasModel = ledger.canServe(model) && !this.undecided.has(model);
    if (model !== artifact && !hasModel) return refused('no-model');
    const orderId = nextOrderId(artifact);
    const reserved = ledger.reserveLoad({artifact, bytes, orderId});
    if (reserved.isErr()) return refused(reserved.error);
    if (reserved.value.copyId !== orderId) return accepted('present');
    this.runStep('load', artifact, () => orders.load(artifact, bytes, orderId));
    return accepted('reserved');
  }

  private async retire(proposal: Proposal): Promise<ProposalResult> {
    const {ledger} = this.options;
    const allocation = ledger.get(proposal.artifact);
    if (!allocation || allocation.state !== 'held') return refused('not-held');
    if (allocation.isRetiring) return accepted('retiring');
    if (this.hasAdapters(proposal.artifact)) return refused('adapters-held');
    if (this.isInRetireHold(allocation)) return refused('inherited-too-new');
    if (this.undecided.has(proposal.artifact)) return refused('in-judgement');
    // Refuse loads of adapters until the log has decided; such an adapter would
    // stay loaded without its model.
    this.undecided.add(proposal.artifact);
    try {
      return await this.requestRetirement(proposal, allocation);
    } finally {
      this.undecided.delete(proposal.artifact);
    }
  }

  private async requestRetirement(
    proposal: Proposal,
    allocation: Allocation,
  ): Promise<ProposalResult> {
    const {retirements} = this.options;
    const {artifact, reliesOnCopyIds, viewedAtMs} = proposal;
    // A planner that was paused after it read the state may rely on copies that
    // were since retired and removed from the log, so the log checks the age.
    if (viewedAtMs === undefined) return refused('no-view-time');
    const verdict = await retirements.retireCopy({
      copyId: allocation.copyId,
      artifact,
      reliesOnCopyIds,
      viewedAtMs,
      isUnpublished: await this.isUnpublished(proposal),
    });
    if (verdict.isErr()) {
      this.runStep('watch-retirement', artifact, () =>
        this.watchForLostVerdict(allocation),
      );
      return refused(verdict.error.code);
    }
    if (verdict.value.kind === 'void') return refused(verdict.value.why);
    this.startRetiring(allocation);
    return accepted('retiring');
  }

  private runStep(
    step: string,
    artifact: string,
    work: () => Promise<unknown>,
  ): void {
    const {logger} = this.options;
    runInBackground({logger, step, peer: artifact}, work);
  }

  private startRetiring(allocation: Allocation): void {
    if (allocation.isRetiring) return;
    allocation.isRetiring = true;
    this.runStep('unload', allocation.artifact, () =>
      this.unloadWhenUnused(allocation),
    );
  }

  /**
   * Polls the log for a retirement whose answer was lost.
   *
   * If the log holds the record, other agents treat the copy as retired and
   * every further proposal for it is void, so its memory would never be freed.
   * The wait is much shorter than the time that the log keeps retirements.
   */
  private async watchForLostVerdict(allocation: Allocation): Promise<void> {
    const {clock, retirements} = this.options;
    const endMs = clock.nowMs() + LOST_VERDICT_WATCH_MS;
    while (!this.stopped && clock.nowMs() < endMs) {
      if (retirements.isRetired(allocation.copyId)) {
        this.startRetiring(allocation);
        return;
      }
      await sleep(clock, LOST_VERDICT_POLL_MS);
    }
  }

  private async setRole({runnerRole}: Proposal): Promise<ProposalResult> {
    const {orders, nextOrderId, setRunnerRole} = this.options;
    const setAtMs = await orders.setRole(runnerRole, nextOrderId('role'));
    if (setAtMs === undefined) return refused('not-confirmed');
    setRunnerRole(runnerRole, setAtMs);
    return accepted('role-set');
  }

  private hasAdapters(model: string): boolean {
    return this.options.ledger
      .all()
      .some(
        ({artifact}) => artifact !== model && baseModelOf(artifact) === model,
      );
  }

  /**
   * Whether an inherited copy is too new to retire.
   *
   * Other agents' retirements may still rely on the copy under the id that the
   * previous process gave it. A retirement under the new id would not void
   * theirs, and both copies would be unloaded. After the hold no such proposal
   * is still pending.
   */
  private isInRetireHold({isInherited, firstKnownAtMs}: Allocation): boolean {
    const {clock, inheritedRetireHoldMs} = this.options;
    return (
      isInherited && clock.nowMs() - firstKnownAtMs < inheritedRetireHoldMs
    );
  }

  /**
   * Whether the last copy of an artifact may be retired.
   *
   * If the only copy of an unpublished version could not be retired, it would
   * occupy its memory forever and leave no space for a third version. The
   * configuration is read from the log again, because an operator may have
   * republished the version.
   */
  private async isUnpublished(proposal: Proposal): Promise<boolean> {
    if (proposal.reliesOnCopyIds.length > 0) return false;
    return this.options.isUnpublished(proposal.artifact);
  }

  /** Unloads a copy once all requests admitted to it have ended. */
  private async unloadWhenUnused(allocation: Allocation): Promise<void> {
    const {clock, ledger, orders, nextOrderId} = this.options;
    while (allocation.activeRequests > 0) {
      if (this.stopped) return;
      await sleep(clock, DRAIN_POLL_MS);
    }
    const {artifact} = allocation;
    // The copy may have been lost and loaded again; the new one isn't retired.
    if (ledger.get(artifact) !== allocation) return;
    await orders.unload(artifact, () => nextOrderId(artifact));
  }
}

function accepted(reason: string): ProposalResult {
  return {accepted: true, reason};
}

function refused(reason: string): ProposalResult {
  return {accepted: false, reason};
}
