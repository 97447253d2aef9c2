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
  cached: boolean;
}

type Exclusion = (
  runner: RunnerView,
  request: RoutingRequest,
  nowMs: number,
) => boolean;

/** Why a runner is no candidate, in the order in which they are tried. */
const EXCLUSIONS: Array<[string, Exclusion]> = [
  ['unreachable', runner => !runner.reachable],
  ['leaving', runner => runner.leaving],
  ['no-copy', (runner, request) => !holds(runner, request)],
  [
    'already-tried',
    (runner, request) => request.triedVmIds.includes(runner.vmId),
  ],
  ['ejected', (runner, _request, nowMs) => runner.ejectedUntilMs > nowMs],
];

/**
 * Chooses the runner for one request, or refuses it at once.
 *
 * @param random breaks near ties; without it the first by name is taken.
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
  const chosen = choose(inTime, options, random);
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

function holds(runner: RunnerView, request: RoutingRequest): boolean {
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
  return EXCLUSIONS.find(([, test]) => test(runner, request, nowMs))?.[0];
}

/**
 * The report lags: since it was made the queue has drained for its age, and
 * this entry's own later requests have taken free slots or joined the queue.
 * Without the second part all requests of one report interval go to the runner
 * that looked idle.
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
  const open = runner.running + runner.queued + runner.ownUnreported;
  let scoreMs = waitMs + open * options.runningCostMs;
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
  const cached =
    request.prefixHash !== '' && runner.cachedPrefixes.has(request.prefixHash);
  return {runner, waitMs, scoreMs, cached};
}

/** A cached prefix counts only while its runner's wait is near the best. */
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
    if (!candidate.cached) continue;
    if (candidate.waitMs > limitMs) candidate.cached = false;
    else candidate.scoreMs -= gainMs;
  }
}

function byScore(a: Candidate, b: Candidate): number {
  if (a.scoreMs !== b.scoreMs) return a.scoreMs - b.scoreMs;
  return a.runner.vmId < b.runner.vmId ? -1 : 1;
}

function choose(
  candidates: Candidate[],
  options: RouteOptions,
  random: Random | undefined,
): Candidate | undefined {
  const best = candidates[0];
  if (!best || !random) return best;
  const limitMs = best.scoreMs + options.randomSpreadMs;
  const near = candidates.filter(({scoreMs}) => scoreMs <= limitMs);
  return near[Math.floor(random() * near.length)] ?? best;
}

function reasonOf(candidate: Candidate, chosen: boolean): CandidateReason {
  const cause = candidate.cached ? 'cached-prefix' : 'wait';
  return {
    vmId: candidate.runner.vmId,
    scoreMs: candidate.scoreMs,
    reason: chosen ? `chosen-${cause}` : cause,
  };
}

/** The shortest queue says when it will have drained far enough. */
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
  const anyUp = reasons.some(
    ({reason}) => reason !== 'unreachable' && reason !== 'leaving',
  );
  const anyCopy = reasons.some(
    ({reason}) => reason === 'already-tried' || reason === 'ejected',
  );
  if (!anyUp) {
    return {
      kind: 'refuse',
      code: 'no-runner',
      retryAfterMs: options.noCopyRetryAfterMs,
      reasons,
    };
  }
  return {
    kind: 'refuse',
    code: anyCopy ? 'all-busy' : 'no-copy',
    retryAfterMs: anyCopy
      ? options.minRetryAfterMs
      : options.noCopyRetryAfterMs,
    reasons,
  };
}

function boundRetryAfter(retryAfterMs: number, options: RouteOptions): number {
  const atLeastMs = Math.max(retryAfterMs, options.minRetryAfterMs);
  return Math.min(atLeastMs, options.maxRetryAfterMs);
}
