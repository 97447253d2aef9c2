import type {ShareDecision, UsageDecision} from '@banyanfold/decisions';
import type {SharedRequest} from '../callers/fairShares.js';
import type {GatewayContext} from '../context.js';
import type {DecodedRequest, RoutePolicy} from '../types.js';
import type {ResolvedContinuation} from '../streams/streamOrigins.js';
import type {AttemptTrace} from './attemptTrace.js';
import type {AttemptResult, SentResult} from './attemptResult.js';
import type {CopyRefusal, QueueRefusal} from './admissionChecks.js';
import type {CandidateCounts, Target} from './targetChooser.js';

export interface RequestLogOptions {
  context: GatewayContext;
  decoded: DecodedRequest;
  /** Stays the same when the caller retries the request. */
  fingerprint: string;
  /** Fingerprints of its prompt parts that other requests may share. */
  sharedParts: readonly string[];
  route: RoutePolicy;
  startedMs: number;
  deadlineMs: number;
}

/** Attempts of a request so far, and whether one of them may have run. */
export interface AttemptCounts {
  attemptsMade: number;
  rejections: number;
  mayHaveRun: boolean;
  /** Attempts that were sent, whatever became of them. */
  sendCount: number;
  /** The runner that the last one was sent to. */
  lastRunnerId: string | undefined;
}

/** How an attempt is sent. */
export interface SendDetails {
  /** Whether its connection carried a request before. */
  isReused: boolean;
  /** Id of the event after which the attempt resumes a stream. */
  afterEvent?: string;
  /** Key of the suspects if the attempt is a trial of them. */
  trialKey?: string;
}

/** Timing of a response; a field is undefined if its event did not occur. */
export interface ResponseTiming {
  firstByteMs?: number;
  /** The longest time between two events of a stream. */
  longestPauseMs?: number;
}

/** Logs each decision on one request and the inputs of the decision. */
export class RequestLog {
  constructor(private readonly options: RequestLogOptions) {}

  route(
    target: Target,
    counts: AttemptCounts,
    {isReused, afterEvent, trialKey}: SendDetails,
  ): void {
    const {context, route, startedMs} = this.options;
    const {runner, reason} = target;
    const {model, adapter, resumedRequestId} = this.options.decoded.request;
    this.logEvent('route', {
      route: route.name,
      fingerprint: this.options.fingerprint,
      parts: this.options.sharedParts.join(',') || undefined,
      model,
      adapter,
      runner: runner.runnerId,
      software: runner.softwareVersion,
      resumes: resumedRequestId,
      afterEvent,
      trial: trialKey,
      attempt: counts.attemptsMade + 1,
      rejections: counts.rejections,
      reason,
      openWork: context.runnerStates.openWork(runner.runnerId).toFixed(1),
      copiesAgeMs: this.copiesAgeMs(),
      heartbeat: runner.heartbeatNumber,
      runnersAgeMs: this.runnersAgeMs(),
      config: context.view.currentConfig?.version,
      leftMs: this.leftMs(),
      waitedMs: Math.round(context.clock.nowMs() - startedMs),
      reused: isReused,
    });
  }

  /** Logs an attempt, unless it is the only one and was answered. */
  attempt(trace: AttemptTrace, {kind}: AttemptResult): void {
    if (kind === 'delivered' && trace.isFirst) return;
    this.logEvent('attempt', trace.fields(kind));
  }

  /** Logs that the runner left before the attempt was sent. */
  withdraw(runnerId: string): void {
    this.logEvent('withdrawn', {
      runner: runnerId,
      runnersAgeMs: this.runnersAgeMs(),
    });
  }

  /** Logs where a stream that the caller takes up may go on. */
  takeUp(resolved: ResolvedContinuation, sinceMs: number): void {
    const {context, decoded, route} = this.options;
    const {continuation, source, ageMs, answers, isConfirmed} = resolved;
    const isRefused = continuation.kind === 'refuse';
    this.logEvent('take-up', {
      route: route.name,
      resumes: decoded.request.resumedRequestId,
      decision: continuation.kind,
      reason: continuation.reason,
      software: isRefused ? undefined : continuation.version,
      source,
      recordAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
      answers,
      isConfirmed,
      runnersAgeMs: this.runnersAgeMs(),
      waitedMs: Math.round(context.clock.nowMs() - sinceMs),
    });
  }

  /** Logs why no runner could be chosen. */
  wait(counts: CandidateCounts): void {
    const {context, decoded, route} = this.options;
    const {model, adapter} = decoded.request;
    this.logEvent('wait', {
      route: route.name,
      model,
      adapter,
      ...counts,
      copiesAgeMs: this.copiesAgeMs(),
      config: context.view.currentConfig?.version,
      leftMs: this.leftMs(),
    });
  }

  /** Age of the known copies in ms; undefined before the first update. */
  private copiesAgeMs(): number | undefined {
    const {context, decoded} = this.options;
    if (decoded.request.model === undefined) return undefined;
    const {ageMs} = context.heldCopies;
    if (!Number.isFinite(ageMs)) return undefined;
    context.metrics.observeMs('copies_age_ms', ageMs);
    return Math.round(ageMs);
  }

  /** Age of what is known of the runners; undefined before the first read. */
  private runnersAgeMs(): number | undefined {
    const {runnersAgeMs: ageMs} = this.options.context.view;
    return ageMs === undefined ? undefined : Math.round(ageMs);
  }

  refuseByQueue(runnerId: string, {view, decision}: QueueRefusal): void {
    this.logEvent('refuse', {
      reason: 'queue',
      runner: runnerId,
      workAhead: view.workAhead.toFixed(1),
      workPerSecond: view.workPerSecond.toFixed(1),
      waitMs: Math.round(decision.waitMs),
      leftMs: Math.round(view.leftMs),
      retryAfterMs: Math.round(decision.retryAfterMs),
    });
  }

  refuseWithoutCopy({view, decision}: CopyRefusal): void {
    const {context, decoded} = this.options;
    this.logEvent('refuse', {
      reason: 'no-copy-in-time',
      model: decoded.request.model,
      copyInMs: Math.round(view.copyInMs ?? 0),
      copiesAgeMs: Math.round(context.heldCopies.ageMs),
      leftMs: Math.round(view.leftMs),
      retryAfterMs: Math.round(decision.retryAfterMs),
    });
  }

  refuseOverCap(
    organisation: string,
    asked: number,
    {left, retryAfterMs}: Extract<UsageDecision, {kind: 'refuse'}>,
  ): void {
    const {context} = this.options;
    this.logEvent('refuse', {
      reason: 'usage-cap',
      organisation,
      asked,
      left: Math.round(left),
      usageAgeMs: context.usage.fleetUsageAgeMs,
      config: context.view.currentConfig?.version,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  refuseOverShare(
    {pool, organisation, priority, work}: SharedRequest,
    {share, ageMs, retryAfterMs}: Extract<ShareDecision, {kind: 'refuse'}>,
  ): void {
    this.logEvent('refuse', {
      reason: 'fair-share',
      pool,
      organisation,
      priority,
      work: work.toFixed(1),
      share,
      shareAgeMs: Math.round(ageMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  /** Logs that all runners which could take the request are paused. */
  refuseByPause(reason: string, service: string, retryAfterMs: number): void {
    this.logEvent('refuse', {
      reason,
      service,
      model: this.options.decoded.request.model,
      leftMs: this.leftMs(),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  refuseForSize(tokens: number, kvCapacityTokens: number): void {
    this.logEvent('refuse', {
      reason: 'larger-than-runners',
      tokens,
      kvCapacityTokens,
    });
  }

  /** @param key the quarantined fingerprints that the request has. */
  refuseQuarantined(key: string, forMs: number): void {
    this.logEvent('refuse', {
      reason: 'quarantined',
      fingerprint: this.options.fingerprint,
      quarantine: key,
      quarantinedMs: Math.round(forMs),
    });
  }

  retry(
    runnerId: string,
    result: SentResult,
    decision: {kind: string; reason: string},
    state: {mayHaveRun: boolean; budgetLeft: number},
  ): void {
    this.logEvent('retry', {
      runner: runnerId,
      after: result.kind,
      status: 'status' in result ? result.status : undefined,
      error: 'error' in result ? result.error : undefined,
      decision: decision.kind,
      reason: decision.reason,
      ...state,
    });
  }

  end(
    outcome: string,
    status: number,
    counts: AttemptCounts,
    timing: ResponseTiming,
  ): void {
    const {context, route, startedMs} = this.options;
    this.logEvent('request-end', {
      route: route.name,
      outcome,
      status,
      runner: counts.lastRunnerId,
      sent: counts.sendCount,
      attempts: counts.attemptsMade,
      rejections: counts.rejections,
      mayHaveRun: counts.mayHaveRun,
      firstByteMs: timing.firstByteMs,
      longestPauseMs: timing.longestPauseMs,
      totalMs: Math.round(context.clock.nowMs() - startedMs),
    });
  }

  /** Logs that the exit of the process closes the caller's connection. */
  cutByExit({lastRunnerId, sendCount}: AttemptCounts): void {
    const {context, route, startedMs} = this.options;
    this.logEvent('request-cut', {
      route: route.name,
      reason: 'process-exit',
      runner: lastRunnerId,
      sent: sendCount,
      openMs: Math.round(context.clock.nowMs() - startedMs),
    });
  }

  private leftMs(): number {
    const {context, deadlineMs} = this.options;
    return Math.round(deadlineMs - context.clock.nowMs());
  }

  private logEvent(
    event: string,
    fields: Record<string, string | number | boolean | undefined>,
  ): void {
    const {context, decoded} = this.options;
    const {requestId} = decoded.request;
    context.logger.info(event, {request: requestId, ...fields});
  }
}
