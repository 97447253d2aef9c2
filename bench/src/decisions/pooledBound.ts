import {GB, MAX_RUNNING, TARGETS, type DeploymentSpec} from './deployments.js';
import {EventQueue} from './eventQueue.js';
import {
  DECODE_BASE_MS,
  DECODE_MS_PER_GB,
  DECODE_MS_PER_RUNNING,
} from './fakes/fakeEngine.js';
import {RunMetrics, type RunResult} from './metrics.js';
import {
  DURATION_MS,
  EVENT_MS,
  lostRunners,
  type Scenario,
} from './scenarios.js';
import type {TraceRequest} from './trace.js';

const DRAIN_MS = 60_000;

/**
 * A bound that no policy is expected to pass: all runners are one pool that
 * holds every artifact, prefill costs nothing, nothing lags, what a loss
 * breaks counts as answered, the shortest answer that waits goes first, and
 * nobody asks twice. It is a queueing bound, not a proof: another order could
 * in theory serve a few requests more.
 */
export function pooledBound(
  deployment: DeploymentSpec,
  scenario: Scenario,
  trace: readonly TraceRequest[],
): RunResult {
  const events = new EventQueue();
  const metrics = new RunMetrics();
  const total = deployment.runners.length;
  const lost = lostRunners(deployment, scenario.faults.lose).length;
  const bytesOf = new Map(deployment.models.map(m => [m.name, m.bytes]));
  let runners = total;
  let running = 0;
  let waiting: TraceRequest[] = [];

  function serve(request: TraceRequest): void {
    const tookMs = events.nowMs - request.atMs;
    metrics.firstToken(tookMs);
    metrics.attained(request.kind);
    running += 1;
    const tokenMs =
      DECODE_BASE_MS +
      (bytesOf.get(request.model)! / GB) * DECODE_MS_PER_GB +
      (running / runners) * DECODE_MS_PER_RUNNING;
    events.after(request.outputTokens * tokenMs, () => {
      running -= 1;
      fill();
    });
  }

  function fill(): void {
    waiting = waiting.filter(isInTime);
    waiting.sort((a, b) => a.outputTokens - b.outputTokens);
    while (running < runners * MAX_RUNNING && waiting.length > 0) {
      serve(waiting.shift()!);
    }
  }

  function isInTime(request: TraceRequest): boolean {
    const inTime =
      events.nowMs - request.atMs <= TARGETS[request.kind].firstTokenMs;
    if (!inTime) metrics.refusedOnce();
    return inTime;
  }

  events.at(EVENT_MS, () => {
    runners = total - lost;
  });
  events.at(EVENT_MS + scenario.faults.replacedAfterMs, () => {
    runners = total;
  });
  for (const request of trace) {
    events.at(request.atMs, () => {
      metrics.asked(request.kind);
      waiting.push(request);
      fill();
    });
  }
  events.runUntil(DURATION_MS + DRAIN_MS);
  return metrics.result(total);
}
