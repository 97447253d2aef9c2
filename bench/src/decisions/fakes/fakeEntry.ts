import {
  decideEjections,
  decideRetry,
  type Random,
  type RoutingView,
  type RunnerOutcomes,
  type RunnerView,
} from '@banyanfold/decisions';
import {KV_MEMORY_BYTES, TARGETS} from '../deployments.js';
import type {EventQueue} from '../eventQueue.js';
import type {TraceRequest} from '../trace.js';
import type {RoutingPolicy} from '../types.js';
import type {Catalog, CatalogEntry} from './catalog.js';
import type {AgentDigest, AgentSnapshot, FakeAgent} from './fakeAgent.js';

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

interface Known {
  view: RunnerView;
  latest: AgentSnapshot | undefined;
  takenAtMs: number;
  openSentMs: Map<string, number>;
  outcomes: {successes: number; failures: number; firstTokensMs: number[]};
}

const CONNECT_TIMEOUT_MS = 100;
const LOST_AFTER_MS = 3_000;
const OUTCOME_WINDOW_MS = 5_000;
const RETRY_TOKENS_PER_REQUEST = 0.2;
const SERVICE_TIME_SMOOTHING = 0.1;
const MAX_RETRY_TOKENS = 50;
const REGION = 'region';

/** An entry: its lagging view of the runners, routing and retries. */
export class FakeEntry {
  /** Arrivals since the planner last asked, by artifact. */
  readonly arrivals = new Map<string, number>();
  readonly noCopy = new Map<string, number>();
  /** Smoothed time of a whole answer, by artifact. */
  readonly serviceTimeMs = new Map<string, number>();
  private readonly known = new Map<string, Known>();
  private readonly routingView: RoutingView;
  private retryTokens = MAX_RETRY_TOKENS;
  private attemptCount = 0;

  constructor(
    private readonly context: EntryContext,
    failureDomain: string,
  ) {
    for (const agent of context.agents.values()) {
      this.known.set(agent.vmId, emptyKnown(agent));
    }
    const runners = [...this.known.values()].map(({view}) => view);
    this.routingView = {runners, failureDomain, region: REGION};
    context.events.every(OUTCOME_WINDOW_MS, () => this.ejectOutliers());
  }

  get runners(): readonly RunnerView[] {
    return this.routingView.runners;
  }

  latestReport(vmId: string): AgentSnapshot | undefined {
    return this.known.get(vmId)?.latest;
  }

  /** Marks runners lost whose reports have stopped. */
  refreshReachable(): void {
    for (const {view} of this.known.values()) {
      const ageMs = this.context.events.nowMs - view.reportReceivedMs;
      if (ageMs > LOST_AFTER_MS) view.reachable = false;
    }
  }

  receiveReport(snapshot: AgentSnapshot): void {
    const known = this.known.get(snapshot.vmId)!;
    if (snapshot.takenAtMs < (known.latest?.takenAtMs ?? -1)) return;
    known.latest = snapshot;
    known.view.reachable = true;
    known.view.artifacts = snapshot.held;
    known.view.cachedPrefixes = snapshot.cachedPrefixes;
    this.receiveDigest(snapshot);
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
    this.send(ask, entry, this.known.get(decision.vmId)!);
  }

  private send(ask: Ask, entry: CatalogEntry, known: Known): void {
    const {events, agents, oneWayMs} = this.context;
    const attemptId = `${ask.request.id}/${this.attemptCount++}`;
    const sentMs = events.nowMs;
    const vmId = known.view.vmId;
    ask.attemptsMade += 1;
    ask.triedVmIds = [...ask.triedVmIds, vmId];
    known.openSentMs.set(attemptId, sentMs);
    known.view.ownUnreported += 1;
    expectPrefix(known.view, ask.request.prefixHash);
    const agent = agents.get(vmId)!;
    const close = (): void => this.close(known, attemptId);
    events.after(oneWayMs, () => {
      if (!agent.isUp) {
        events.after(CONNECT_TIMEOUT_MS, () => {
          close();
          known.view.reachable = false;
          known.outcomes.failures += 1;
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
            this.receiveDigest(digest);
            known.outcomes.successes += 1;
            known.outcomes.firstTokensMs.push(events.nowMs - sentMs);
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
            this.receiveDigest(digest);
            ask.retryAfterMs = retryAfterMs;
            this.retryOrRefuse(ask, false);
          });
        },
        onBroken: () => {
          close();
          known.outcomes.failures += 1;
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
    return this.runners.some(
      ({reachable, artifacts}) => reachable && artifacts.has(artifact),
    );
  }

  private close(known: Known, attemptId: string): void {
    const sentMs = known.openSentMs.get(attemptId);
    if (sentMs === undefined) return;
    known.openSentMs.delete(attemptId);
    if (sentMs > known.takenAtMs) known.view.ownUnreported -= 1;
  }

  private receiveDigest(digest: AgentDigest): void {
    const known = this.known.get(digest.vmId)!;
    if (digest.takenAtMs < known.takenAtMs) return;
    known.takenAtMs = digest.takenAtMs;
    const {view} = known;
    view.running = digest.running;
    view.queued = digest.queued;
    view.queueDelayMs = digest.queueDelayMs;
    view.kvUsedBytes = digest.kvUsedBytes;
    view.runnerRole = digest.role;
    view.reportReceivedMs = this.context.events.nowMs;
    let unreported = 0;
    for (const sentMs of known.openSentMs.values()) {
      if (sentMs > digest.takenAtMs) unreported += 1;
    }
    view.ownUnreported = unreported;
  }

  private ejectOutliers(): void {
    const nowMs = this.context.events.nowMs;
    const outcomes: RunnerOutcomes[] = [];
    for (const {view, outcomes: seen} of this.known.values()) {
      outcomes.push({
        vmId: view.vmId,
        successes: seen.successes,
        failures: seen.failures,
        firstTokenMs: median(seen.firstTokensMs),
        ejectedUntilMs: view.ejectedUntilMs,
        peerGroup: view.runnerRole,
      });
      seen.successes = 0;
      seen.failures = 0;
      seen.firstTokensMs = [];
    }
    for (const {vmId, untilMs} of decideEjections(outcomes, nowMs).ejected) {
      this.known.get(vmId)!.view.ejectedUntilMs = untilMs;
    }
  }
}

function emptyKnown(agent: FakeAgent): Known {
  return {
    view: {
      vmId: agent.vmId,
      failureDomain: agent.failureDomain,
      region: REGION,
      runnerRole: agent.engine.role,
      reachable: true,
      leaving: false,
      ejectedUntilMs: 0,
      reportReceivedMs: 0,
      running: 0,
      queued: 0,
      queueDelayMs: 0,
      kvUsedBytes: 0,
      kvCapacityBytes: KV_MEMORY_BYTES,
      ownUnreported: 0,
      artifacts: agent.ledger.held,
      cachedPrefixes: new Set<string>(),
    },
    latest: undefined,
    takenAtMs: -1,
    openSentMs: new Map(),
    outcomes: {successes: 0, failures: 0, firstTokensMs: []},
  };
}

/** What was just sent there will be cached there; the report comes later. */
function expectPrefix(view: RunnerView, prefixHash: string): void {
  if (view.cachedPrefixes.has(prefixHash)) return;
  view.cachedPrefixes = new Set([...view.cachedPrefixes, prefixHash]);
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function count(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
