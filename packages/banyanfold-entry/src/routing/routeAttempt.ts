import {
  DEFAULT_ROUTE_OPTIONS,
  decideRoute,
  type CandidateReason,
  type RoutingDecision,
  type RoutingRequest,
  type RoutingView,
} from '@banyanfold/decisions';
import type {EntryContext} from '../context.js';
import type {RequestJob} from '../requests/types.js';

/** Keeps log lines readable with many runners. */
const MAX_LOGGED_REASONS = 8;

/** Chooses the agent for the next attempt of a request and logs the reasons. */
export function routeAttempt(
  context: EntryContext,
  job: RequestJob,
  triedVmIds: readonly string[],
): RoutingDecision {
  const {clock, view, random} = context;
  const nowMs = clock.nowMs();
  const request = routingRequest(job, triedVmIds, nowMs);
  const decide = (routingView: RoutingView) =>
    decideRoute(routingView, request, nowMs, DEFAULT_ROUTE_OPTIONS, random);
  const routingView = view.routingView();
  let decision = decide(routingView);
  // Ejection prefers better runners. If only ejected runners hold the artifact,
  // a slow answer is better than none.
  if (decision.kind === 'refuse' && hasEjected(decision.reasons)) {
    decision = decide(withoutEjections(routingView));
  }
  logDecision(context, job, decision, triedVmIds.length);
  return decision;
}

function routingRequest(
  job: RequestJob,
  triedVmIds: readonly string[],
  nowMs: number,
): RoutingRequest {
  const {target, metadata} = job;
  return {
    artifact: target.artifact,
    // A service has no model; the runners that offer it hold its own artifact.
    modelArtifact: target.modelArtifact || target.artifact,
    priority: target.selector.priority,
    runnerRole: target.selector.runnerRole ?? '',
    prefixHash: job.prefixHash,
    promptTokens: metadata.promptTokens,
    maxTokens: metadata.maxTokens,
    firstTokenBudgetMs: waitBudgetMs(job, nowMs),
    triedVmIds,
  };
}

/**
 * How long a request may wait in the queue of a server. A service call has no
 * first token, so its deadline is that of the whole answer. With the
 * first-token deadline, a call was refused after a slow first attempt although
 * another server was idle.
 */
function waitBudgetMs(job: RequestJob, nowMs: number): number {
  const isService = job.target.kind === 'service';
  const deadlineMs = isService ? job.wholeDeadlineMs : job.firstTokenDeadlineMs;
  return deadlineMs - nowMs;
}

function hasEjected(reasons: readonly CandidateReason[]): boolean {
  return reasons.some(({reason}) => reason === 'ejected');
}

function withoutEjections(view: RoutingView): RoutingView {
  const runners = view.runners.map(runner => ({...runner, ejectedUntilMs: 0}));
  return {...view, runners};
}

function logDecision(
  context: EntryContext,
  job: RequestJob,
  decision: RoutingDecision,
  triedCount: number,
): void {
  const isRoute = decision.kind === 'route';
  context.metrics.count('route_decisions_total', {
    kind: isRoute ? 'route' : decision.code,
  });
  context.logger.info('route', {
    request: job.requestId,
    caller: job.caller,
    desk: job.desk,
    selector: job.target.selector.name,
    artifact: job.target.artifact,
    attempt: triedCount + 1,
    decision: isRoute ? decision.vmId : `refuse:${decision.code}`,
    delayMs: isRoute ? Math.round(decision.estimatedDelayMs) : undefined,
    retryAfterMs: isRoute ? undefined : Math.round(decision.retryAfterMs),
    candidates: renderReasons(decision.reasons),
  });
}

/**
 * Renders candidates by ascending score.
 *
 * @example `agent-1:12:chosen-wait,agent-2:-:no-copy`
 */
export function renderReasons(reasons: readonly CandidateReason[]): string {
  const sorted = [...reasons].sort((a, b) => a.scoreMs - b.scoreMs);
  const shown = sorted.slice(0, MAX_LOGGED_REASONS).map(renderReason);
  const omittedCount = sorted.length - shown.length;
  return omittedCount > 0
    ? `${shown.join(',')},+${omittedCount}`
    : shown.join(',');
}

function renderReason({vmId, scoreMs, reason}: CandidateReason): string {
  const score = Number.isFinite(scoreMs) ? String(Math.round(scoreMs)) : '-';
  return `${vmId}:${score}:${reason}`;
}
