import {
  decideRetry,
  type Random,
  type RoutingView,
} from '@banyanfold/decisions';
import {TARGETS} from '../deployments.js';
import type {EventQueue} from '../eventQueue.js';
import type {TraceRequest} from '../trace.js';
import type {RoutingPolicy} from '../types.js';
import type {Catalog, CatalogEntry} from './catalog.js';
import type {FakeAgent} from './fakeAgent.js';
import {REGION, RunnerTracker, type TrackedRunner} from './runnerTracker.js';

/** What becomes of one ask of a caller. */
export interface AskListener {
  onFirstToken(artifact: string): void;
  onDone(): void;
  onRefused(code: string, retryAfterMs: number): void;
  onBroken(): void;
}

export interface EntryContext {
  events: EventQueue;
  agents: ReadonlyMap<string, FakeAgent>;
  catalog: Catalog;
  routing: RoutingPolicy;
  random: Random;
  oneWayMs: number;
}

interface Ask {
  request: TraceRequest;
  listener: AskListener;
  deadlineMs: number;
  attemptsMade: number;
  triedVmIds: string[];
  allNeverStarted: boolean;
  retryAfterMs: number;
}

const CONNECT_TIMEOUT_MS = 100;
const RETRY_TOKENS_PER_REQUEST = 0.2;
const SERVICE_TIME_SMOOTHING = 0.1;
const MAX_RETRY_TOKENS = 50;

/** An entry: its lagging view of the runners, routing and retries. */
export class FakeEntry {
  /** Arrivals since the planner last asked, by artifact. */
  readonly arrivals = new Map<string, number>();
  readonly noCopy = new Map<string, number>();
  /** Smoothed time of a whole answer, by artifact. */
  readonly serviceTimeMs = new Map<string, number>();
  readonly tracker: RunnerTracker;
  private readonly routingView: RoutingView;
  private retryTokens = MAX_RETRY_TOKENS;
  private attemptCount = 0;

  constructor(
    private readonly context: EntryContext,
    failureDomain: string,
  ) {
    this.tracker = new RunnerTracker(context.events, context.agents.values());
    const runners = this.tracker.views();
    this.routingView = {runners, failureDomain, region: REGION};
  }

  ask(request: TraceRequest, listener: AskListener): void {
    const target = TARGETS[request.kind];
    const nowMs = this.context.events.nowMs;
    this.retryTokens = Math.min(
      MAX_RETRY_TOKENS,
      this.retryTokens + RETRY_TOKENS_PER_REQUEST,
    );
    this.attempt({
      request,
      listener,
      deadlineMs: nowMs + target.firstTokenMs,
      attemptsMade: 0,
      triedVmIds: [],
      allNeverStarted: true,
      retryAfterMs: 0,
    });
  }

  private attempt(ask: Ask): void {
    const {request} = ask;
    const entry = this.context.catalog.resolve(
      request.model,
      request.adapter,
      artifact => this.isHeld(artifact),
    );
    if (ask.attemptsMade === 0) count(this.arrivals, entry.artifact);
    const nowMs = this.context.events.nowMs;
    const decision = this.context.routing.route(
      this.routingView,
      {
        artifact: entry.artifact,
        modelArtifact: entry.modelArtifact,
        priority: TARGETS[request.kind].priority,
        runnerRole: request.kind,
        prefixHash: request.prefixHash,
        promptTokens: request.promptTokens,
        maxTokens: request.outputTokens,
        firstTokenBudgetMs: ask.deadlineMs - nowMs,
        triedVmIds: ask.triedVmIds,
      },
      nowMs,
    );
    if (decision.kind === 'refuse') {
      if (decision.code === 'no-copy') count(this.noCopy, entry.artifact);
      const retryAfterMs = Math.max(ask.retryAfterMs, decision.retryAfterMs);
      ask.listener.onRefused(decision.code, retryAfterMs);
      return;
    }
    this.send(ask, entry, this.tracker.get(decision.vmId));
  }

  private send(ask: Ask, entry: CatalogEntry, runner: TrackedRunner): void {
    const {events, agents, oneWayMs} = this.context;
    const {tracker} = this;
    const attemptId = `${ask.request.id}/${this.attemptCount++}`;
    const sentMs = events.nowMs;
    const vmId = runner.view.vmId;
    ask.attemptsMade += 1;
    ask.triedVmIds = [...ask.triedVmIds, vmId];
    tracker.open(runner, attemptId, ask.request.prefixHash);
    const agent = agents.get(vmId)!;
    const close = (): void => tracker.close(runner, attemptId);
    events.after(oneWayMs, () => {
      if (!agent.isUp) {
        events.after(CONNECT_TIMEOUT_MS, () => {
          close();
          runner.view.reachable = false;
          runner.outcomes.failures += 1;
          this.retryOrRefuse(ask, false);
        });
        return;
      }
      let firstByteSent = false;
      agent.attempt({
        attemptId,
        artifact: entry.artifact,
        modelBytes: entry.model.bytes,
        priority: TARGETS[ask.request.kind].priority,
        firstTokenBudgetMs: ask.deadlineMs - events.nowMs,
        promptTokens: ask.request.promptTokens,
        prefixTokens: ask.request.prefixTokens,
        prefixHash: ask.request.prefixHash,
        outputTokens: ask.request.outputTokens,
        onFirstToken: () => {
          firstByteSent = true;
          const digest = agent.digest();
          events.after(oneWayMs, () => {
            tracker.receiveDigest(digest);
            runner.outcomes.successes += 1;
            runner.outcomes.firstTokensMs.push(events.nowMs - sentMs);
            ask.listener.onFirstToken(entry.artifact);
          });
        },
        onDone: () => {
          close();
          this.learnServiceTime(entry.artifact, events.nowMs - sentMs);
          events.after(oneWayMs, () => ask.listener.onDone());
        },
        onRefused: (_code, retryAfterMs) => {
          const digest = agent.digest();
          events.after(oneWayMs, () => {
            close();
            tracker.receiveDigest(digest);
            ask.retryAfterMs = retryAfterMs;
            this.retryOrRefuse(ask, false);
          });
        },
        onBroken: () => {
          close();
          runner.outcomes.failures += 1;
          ask.allNeverStarted = false;
          events.after(oneWayMs, () => this.retryOrRefuse(ask, firstByteSent));
        },
      });
    });
  }

  private retryOrRefuse(ask: Ask, firstByteSent: boolean): void {
    const {events, random} = this.context;
    const decision = decideRetry(
      {
        attemptsMade: ask.attemptsMade,
        budgetTokens: this.retryTokens,
        firstByteSent,
        allNeverStarted: ask.allNeverStarted,
        repeatable: true,
        remainingBudgetMs: ask.deadlineMs - events.nowMs,
      },
      events.nowMs,
      undefined,
      random,
    );
    if (decision.kind === 'retry') {
      this.retryTokens -= 1;
      events.after(decision.delayMs, () => this.attempt(ask));
      return;
    }
    if (firstByteSent) ask.listener.onBroken();
    else ask.listener.onRefused(decision.reason, ask.retryAfterMs);
  }

  private learnServiceTime(artifact: string, tookMs: number): void {
    const before = this.serviceTimeMs.get(artifact) ?? tookMs;
    const after = before + SERVICE_TIME_SMOOTHING * (tookMs - before);
    this.serviceTimeMs.set(artifact, after);
  }

  private isHeld(artifact: string): boolean {
    return this.routingView.runners.some(
      ({reachable, artifacts}) => reachable && artifacts.has(artifact),
    );
  }
}

function count(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
