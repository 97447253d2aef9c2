import {DEFAULT_ROUTE_OPTIONS, type RouteOptions} from './options.js';
import type {
  CandidateReason,
  Random,
  RoutingDecision,
  RoutingRequest,
  RoutingView,
  RunnerView,
} from './types.js';

interface Candidate {
  runner: RunnerView;
  waitMs: number;
  scoreMs: number;
  hasCachedPrefix: boolean;
}

type Exclusion = (
  runner: RunnerView,
  request: RoutingRequest,
  nowMs: number,
) => boolean;

/** Reasons to exclude a runner, in the order in which they are checked. */
const EXCLUSIONS: Array<[string, Exclusion]> = [
  ['unreachable', runner => !runner.reachable],
  ['leaving', runner => runner.leaving],
  ['no-copy', (runner, request) => !holdsArtifacts(runner, request)],
  [
    'already-tried',
    (runner, request) => request.triedVmIds.includes(runner.vmId),
  ],
  ['ejected', (runner, _request, nowMs) => runner.ejectedUntilMs > nowMs],
];

/**
 * Chooses the runner for one request, or refuses the request immediately.
 *
 * @param random breaks near ties; without it, the lowest score is chosen, and
 * the first name among equals.
 * @example
 * const decision = decideRoute(view, request, clock.nowMs(), options, random);
 * if (decision.kind === 'route') dispatch(decision.vmId);
 */
export function decideRoute(
  view: RoutingView,
  request: RoutingRequest,
  nowMs: number,
  options: RouteOptions = DEFAULT_ROUTE_OPTIONS,
  random?: Random,
): RoutingDecision {
  const reasons: CandidateReason[] = [];
  const candidates: Candidate[] = [];
  for (const runner of view.runners) {
    const excluded = exclusionOf(runner, request, nowMs);
    if (excluded) {
      reasons.push({vmId: runner.vmId, scoreMs: Infinity, reason: excluded});
      continue;
    }
    candidates.push(scoreRunner(runner, view, request, nowMs, options));
  }
  if (candidates.length === 0) return refuseNoRunner(reasons, options);
  applyAffinity(candidates, request, options);
  candidates.sort(byScore);
  const inTime = candidates.filter(
    ({waitMs}) => waitMs <= request.firstTokenBudgetMs,
  );
  const chosen = chooseNearBest(inTime, options, random);
  for (const candidate of candidates) {
    reasons.push(reasonOf(candidate, candidate === chosen));
  }
  if (!chosen) return refuseLate(candidates, request, reasons, options);
  return {
    kind: 'route',
    vmId: chosen.runner.vmId,
    estimatedDelayMs: chosen.waitMs,
    reasons,
  };
}

function holdsArtifacts(runner: RunnerView, request: RoutingRequest): boolean {
  return (
    runner.artifacts.has(request.artifact) &&
    runner.artifacts.has(request.modelArtifact)
  );
}

function exclusionOf(
  runner: RunnerView,
  request: RoutingRequest,
  nowMs: number,
): string | undefined {
  return EXCLUSIONS.find(([, isExcluded]) =>
    isExcluded(runner, request, nowMs),
  )?.[0];
}

/**
 * Estimates the current wait from a report that lags. Since the report, the
 * queue has drained for the time of its age, and later requests of this entry
 * have taken free slots or joined the queue. Without the second part, all
 * requests of one report interval would go to the runner that was idle.
 */
function estimateWaitMs(
  runner: RunnerView,
  nowMs: number,
  options: RouteOptions,
): number {
  const ageMs = Math.max(0, nowMs - runner.reportReceivedMs);
  const drainedMs = Math.max(0, runner.queueDelayMs - ageMs);
  const maxRunning = runner.maxRunning ?? options.assumedMaxRunning;
  const freeSlots = Math.max(0, maxRunning - runner.running - runner.queued);
  const waiting = Math.max(0, runner.ownUnreported - freeSlots);
  return drainedMs + waiting * options.unreportedCostMs;
}

function scoreRunner(
  runner: RunnerView,
  view: RoutingView,
  request: RoutingRequest,
  nowMs: number,
  options: RouteOptions,
): Candidate {
  const waitMs = estimateWaitMs(runner, nowMs, options);
  const openRequests = runner.running + runner.queued + runner.ownUnreported;
  let scoreMs = waitMs + openRequests * options.runningCostMs;
  if (request.runnerRole !== '' && runner.runnerRole !== request.runnerRole) {
    scoreMs += options.otherRoleCostMs;
  }
  if (runner.region !== view.region) scoreMs += options.otherRegionCostMs;
  if (runner.failureDomain !== view.failureDomain) {
    scoreMs += options.otherDomainCostMs;
  }
  if (nowMs - runner.reportReceivedMs > options.reportStaleMs) {
    scoreMs += options.staleCostMs;
  }
  if (
    runner.kvCapacityBytes > 0 &&
    runner.kvUsedBytes >= runner.kvCapacityBytes
  ) {
    scoreMs += options.kvFullCostMs;
  }
  const hasCachedPrefix =
    request.prefixHash !== '' && runner.cachedPrefixes.has(request.prefixHash);
  return {runner, waitMs, scoreMs, hasCachedPrefix};
}

/**
 * A cached prefix counts only while the wait of its runner is near the best.
 */
function applyAffinity(
  candidates: Candidate[],
  request: RoutingRequest,
  options: RouteOptions,
): void {
  const bestWaitMs = Math.min(...candidates.map(({waitMs}) => waitMs));
  const limitMs =
    bestWaitMs * options.affinityLoadFactor + options.affinitySlackMs;
  const gainMs = request.promptTokens * options.prefixGainPerTokenMs;
  for (const candidate of candidates) {
    if (!candidate.hasCachedPrefix) continue;
    if (candidate.waitMs > limitMs) candidate.hasCachedPrefix = false;
    else candidate.scoreMs -= gainMs;
  }
}

function byScore(a: Candidate, b: Candidate): number {
  if (a.scoreMs !== b.scoreMs) return a.scoreMs - b.scoreMs;
  return a.runner.vmId < b.runner.vmId ? -1 : 1;
}

function chooseNearBest(
  candidates: Candidate[],
  options: RouteOptions,
  random: Random | undefined,
): Candidate | undefined {
  const best = candidates[0];
  if (!best || !random) return best;
  const limitMs = best.scoreMs + options.randomSpreadMs;
  const nearBest = candidates.filter(({scoreMs}) => scoreMs <= limitMs);
  return nearBest[Math.floor(random() * nearBest.length)] ?? best;
}

function reasonOf(candidate: Candidate, chosen: boolean): CandidateReason {
  const cause = candidate.hasCachedPrefix ? 'cached-prefix' : 'wait';
  return {
    vmId: candidate.runner.vmId,
    scoreMs: candidate.scoreMs,
    reason: chosen ? `chosen-${cause}` : cause,
  };
}

/** The shortest queue determines when a retry can succeed. */
function refuseLate(
  candidates: Candidate[],
  request: RoutingRequest,
  reasons: CandidateReason[],
  options: RouteOptions,
): RoutingDecision {
  const shortestMs = Math.min(...candidates.map(({waitMs}) => waitMs));
  return {
    kind: 'refuse',
    code: 'all-busy',
    retryAfterMs: boundRetryAfter(
      shortestMs - request.firstTokenBudgetMs,
      options,
    ),
    reasons,
  };
}

function refuseNoRunner(
  reasons: CandidateReason[],
  options: RouteOptions,
): RoutingDecision {
  const anyReachable = reasons.some(
    ({reason}) => reason !== 'unreachable' && reason !== 'leaving',
  );
  const anyHolder = reasons.some(
    ({reason}) => reason === 'already-tried' || reason === 'ejected',
  );
  if (!anyReachable) {
    return {
      kind: 'refuse',
      code: 'no-runner',
      retryAfterMs: options.noCopyRetryAfterMs,
      reasons,
    };
  }
  return {
    kind: 'refuse',
    code: anyHolder ? 'all-busy' : 'no-copy',
    retryAfterMs: anyHolder
      ? options.minRetryAfterMs
      : options.noCopyRetryAfterMs,
    reasons,
  };
}

function boundRetryAfter(retryAfterMs: number, options: RouteOptions): number {
  const atLeastMs = Math.max(retryAfterMs, options.minRetryAfterMs);
  return Math.min(atLeastMs, options.maxRetryAfterMs);
}
