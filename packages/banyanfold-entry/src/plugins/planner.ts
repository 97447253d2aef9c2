import {
  DEFAULT_PLACEMENT_OPTIONS,
  decidePlacement,
  type Move,
  type PlacementDecision,
} from '@banyanfold/decisions';
import {fetchMisses, createEntryClient} from '@banyanfold/protocol';
import {v4 as uuidV4} from 'uuid';
import {
  entryPlugins,
  type EntryContext,
  type EntryPlugin,
  type NextStep,
} from '../context.js';
import type {RequestJob, RequestResult} from '../requests/types.js';
import {Poller} from '../view/poller.js';
import {DemandMeter} from './demandMeter.js';
import {
  isReported,
  isViewComplete,
  buildPlacementView,
  type PendingMove,
} from './placementView.js';
import {PlannerEpoch} from './plannerEpoch.js';
import {ServiceTimes} from './serviceTimes.js';

const FIRST_ERROR_STATUS = 400;

/** Plans placement while this entry is the one selected from the VM list. */
class Planner {
  readonly epoch: PlannerEpoch;
  private readonly meter: DemandMeter;
  private readonly serviceTimes = new ServiceTimes();
  private pending: PendingMove[] = [];
  private lastLoadMs = -Infinity;
  private lastRoleChangeMs = -Infinity;
  private lastUnplacedSummary = '';

  constructor(private readonly context: EntryContext) {
    this.epoch = new PlannerEpoch(context);
    this.meter = new DemandMeter(context.settings.planner.demandHalfLifeMs);
  }

  /** Runs one round. Every entry measures demand, so that any can take over. */
  async plan(): Promise<boolean> {
    const {context} = this;
    context.metrics.count('planner_rounds_total');
    this.recordDemand();
    this.epoch.refresh();
    if (this.epoch.current === 0) {
      // The active planner fetches these misses. If they were kept until this
      // entry takes over, they would count as requests waiting at that time.
      this.meter.takeMisses();
      return true;
    }
    await this.fetchPeerMisses();
    const isReady = context.configWatch.ready && isViewComplete(context);
    if (!isReady) return true;
    const viewedAtMs = context.configWatch.logNowMs;
    await this.proposeMoves(this.decide(), viewedAtMs);
    return true;
  }

  /**
   * Runs a request and records its service time. Requests with several attempts
   * are excluded, since their time covers more than one answer.
   */
  async measureServiceTime(
    job: RequestJob,
    next: NextStep,
  ): Promise<RequestResult> {
    const {clock} = this.context;
    const startedMs = clock.nowMs();
    const result = await next();
    if (job.attempts === 1 && isSuccessful(result)) {
      const tookMs = clock.nowMs() - startedMs;
      this.serviceTimes.record(job.target.artifact, tookMs);
    }
    return result;
  }

  private recordDemand(): void {
    const {view, misses, settings, clock} = this.context;
    for (const {report} of view.agents()) {
      if (report) this.meter.recordReport(report);
    }
    this.meter.recordMisses(settings.vmId, misses.snapshot());
    this.meter.endWindow(clock.nowMs());
  }

  private async fetchPeerMisses(): Promise<void> {
    const {settings, view} = this.context;
    const peers = view.peers().filter(vm => vm.state === 'live');
    await Promise.allSettled(
      peers.map(async ({vmId, host, port}) => {
        const {internalKey, reportTimeoutMs: timeoutMs} = settings;
        const client = createEntryClient({host, port, internalKey, timeoutMs});
        this.meter.recordMisses(vmId, await fetchMisses(client));
      }),
    );
  }

  private decide(): PlacementDecision {
    const {context} = this;
    const {loadsPerSecond, loadsAtOnce, attainmentWeight, moveWeight} =
      context.settings.planner;
    this.dropReportedMoves();
    const view = buildPlacementView(
      context,
      {demand: this.meter, serviceTimes: this.serviceTimes},
      this.pending,
      this.lastLoadMs,
    );
    const decision = decidePlacement(view, context.clock.nowMs(), {
      ...DEFAULT_PLACEMENT_OPTIONS,
      loadsPerSecond,
      loadsAtOnce,
      attainmentWeight,
      moveWeight,
      lastRoleChangeMs: this.lastRoleChangeMs,
    });
    this.logUnplaced(decision);
    return decision;
  }

  private dropReportedMoves(): void {
    const {view} = this.context;
    this.pending = this.pending.filter(pending => {
      const agent = view.agent(pending.move.vmId);
      return agent !== undefined && !isReported(pending, agent);
    });
  }

  private async proposeMoves(
    {moves}: PlacementDecision,
    viewedAtMs: number | undefined,
  ): Promise<void> {
    const nowMs = this.context.clock.nowMs();
    if (moves.some(({kind}) => kind === 'load')) this.lastLoadMs = nowMs;
    if (moves.some(({kind}) => kind === 'set-role')) {
      this.lastRoleChangeMs = nowMs;
    }
    await Promise.all(moves.map(move => this.propose(move, viewedAtMs)));
  }

  private async propose(
    move: Move,
    viewedAtMs: number | undefined,
  ): Promise<void> {
    const {context} = this;
    const agent = context.view.agent(move.vmId);
    if (!agent) return;
    const proposalId = uuidV4();
    const {incarnation} = agent;
    const sequence = agent.digest?.sequence ?? 0;
    const {reason, vmId: _vmId, ...proposal} = move;
    const result = await context.clients
      .clientFor(agent)
      .propose.mutate({
        proposalId,
        plannerEpoch: this.epoch.current,
        viewedAtMs,
        ...proposal,
      })
      .catch((error: unknown) => ({
        accepted: false,
        reason: error instanceof Error ? error.message : String(error),
      }));
    context.metrics.count('moves_total', {
      kind: move.kind,
      result: result.accepted ? 'accepted' : 'refused',
    });
    context.logger.info('move', {
      kind: move.kind,
      agent: move.vmId,
      artifact: move.artifact,
      runnerRole: move.runnerRole || undefined,
      reason,
      epoch: this.epoch.current,
      accepted: result.accepted,
      answer: result.reason,
    });
    if (result.reason === 'old-planner') this.epoch.invalidate();
    if (!result.accepted) return;
    this.pending.push({move, copyId: proposalId, incarnation, sequence});
  }

  /** Logs only changes; a line per round would flood the log. */
  private logUnplaced({unplaced}: PlacementDecision): void {
    const summary = unplaced
      .map(({artifact, reason}) => `${artifact}:${reason}`)
      .join(',');
    if (summary === this.lastUnplacedSummary) return;
    this.lastUnplacedSummary = summary;
    this.context.logger.warn('unplaced', {artifacts: summary || 'none'});
  }
}

function isSuccessful(result: RequestResult): boolean {
  if (result.kind === 'streamed') return true;
  return result.kind === 'answer' && result.answer.status < FIRST_ERROR_STATUS;
}

/** Creates the plug-in that plans which runner loads which artifact. */
export function plannerPlugin(context: EntryContext): EntryPlugin {
  const {clock, logger, random, settings} = context;
  const planner = new Planner(context);
  const poller = new Poller({
    clock,
    logger,
    random,
    intervalMs: settings.planner.intervalMs,
    maxBackoffMs: settings.planner.intervalMs,
    poll: () => planner.plan(),
  });
  return {
    name: 'planner',
    async start() {
      if (settings.planner.enabled) poller.startInBackground();
    },
    async stop() {
      poller.stop();
    },
    aroundRequest: (job, next) => planner.measureServiceTime(job, next),
    plannerEpoch: () => planner.epoch.current,
  };
}

entryPlugins.register('planner', plannerPlugin);
