import {
  decideEjections,
  type RunnerOutcomes,
  type RunnerView,
} from '@banyanfold/decisions';
import {KV_MEMORY_BYTES} from '../deployments.js';
import type {EventQueue} from '../eventQueue.js';
import type {FakeAgent} from './fakeAgent.js';
import type {AgentDigest, AgentSnapshot} from './types.js';

/** What one entry knows of one runner, and how it came to know it. */
export interface TrackedRunner {
  view: RunnerView;
  latest: AgentSnapshot | undefined;
  takenAtMs: number;
  openSentMs: Map<string, number>;
  outcomes: {successes: number; failures: number; firstTokensMs: number[]};
}

export const REGION = 'region';
const LOST_AFTER_MS = 3_000;
const OUTCOME_WINDOW_MS = 5_000;

/** An entry's lagging view of all runners. */
export class RunnerTracker {
  private readonly tracked = new Map<string, TrackedRunner>();

  constructor(
    private readonly events: EventQueue,
    agents: Iterable<FakeAgent>,
  ) {
    for (const agent of agents) {
      this.tracked.set(agent.vmId, emptyRunner(agent));
    }
    events.every(OUTCOME_WINDOW_MS, () => this.ejectOutliers());
  }

  views(): RunnerView[] {
    return [...this.tracked.values()].map(({view}) => view);
  }

  get(vmId: string): TrackedRunner {
    return this.tracked.get(vmId)!;
  }

  /** Marks runners lost whose reports have stopped. */
  refreshReachable(): void {
    for (const {view} of this.tracked.values()) {
      const ageMs = this.events.nowMs - view.reportReceivedMs;
      if (ageMs > LOST_AFTER_MS) view.reachable = false;
    }
  }

  receiveReport(snapshot: AgentSnapshot): void {
    const runner = this.get(snapshot.vmId);
    if (snapshot.takenAtMs < (runner.latest?.takenAtMs ?? -1)) return;
    runner.latest = snapshot;
    runner.view.reachable = true;
    runner.view.artifacts = snapshot.held;
    runner.view.cachedPrefixes = snapshot.cachedPrefixes;
    this.receiveDigest(snapshot);
  }

  receiveDigest(digest: AgentDigest): void {
    const runner = this.get(digest.vmId);
    if (digest.takenAtMs < runner.takenAtMs) return;
    runner.takenAtMs = digest.takenAtMs;
    const {view} = runner;
    view.running = digest.running;
    view.queued = digest.queued;
    view.queueDelayMs = digest.queueDelayMs;
    view.kvUsedBytes = digest.kvUsedBytes;
    view.runnerRole = digest.role;
    view.reportReceivedMs = this.events.nowMs;
    let unreported = 0;
    for (const sentMs of runner.openSentMs.values()) {
      if (sentMs > digest.takenAtMs) unreported += 1;
    }
    view.ownUnreported = unreported;
  }

  /** Counts a request as sent; its prefix will be cached there. */
  open(runner: TrackedRunner, attemptId: string, prefixHash: string): void {
    runner.openSentMs.set(attemptId, this.events.nowMs);
    runner.view.ownUnreported += 1;
    const {view} = runner;
    if (view.cachedPrefixes.has(prefixHash)) return;
    view.cachedPrefixes = new Set([...view.cachedPrefixes, prefixHash]);
  }

  close(runner: TrackedRunner, attemptId: string): void {
    const sentMs = runner.openSentMs.get(attemptId);
    if (sentMs === undefined) return;
    runner.openSentMs.delete(attemptId);
    if (sentMs > runner.takenAtMs) runner.view.ownUnreported -= 1;
  }

  private ejectOutliers(): void {
    const outcomes: RunnerOutcomes[] = [];
    for (const runner of this.tracked.values()) {
      const {view, outcomes: seen} = runner;
      outcomes.push({
        vmId: view.vmId,
        successes: seen.successes,
        failures: seen.failures,
        firstTokenMs: median(seen.firstTokensMs),
        ejectedUntilMs: view.ejectedUntilMs,
        peerGroup: view.runnerRole,
      });
      runner.outcomes = {successes: 0, failures: 0, firstTokensMs: []};
    }
    const {ejected} = decideEjections(outcomes, this.events.nowMs);
    for (const {vmId, untilMs} of ejected) {
      this.get(vmId).view.ejectedUntilMs = untilMs;
    }
  }
}

function emptyRunner(agent: FakeAgent): TrackedRunner {
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

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
