import type {IncomingMessage, ServerResponse} from 'node:http';
import {urgencyOf} from '@banyanfold/decisions';
import type {Timer} from '@banyanfold/core';
import type {GatewayContext} from '../context.js';
import {adapterKey} from '../runners/heldCopies.js';
import type {PromptTurn} from '../runners/promptGate.js';
import type {StartedWork} from '../runners/runnerStates.js';
import type {CallerIdentity} from '../callers/callerIdentity.js';
import type {DecodedRequest, Organisation, RoutePolicy} from '../types.js';
import {AnswerRelay, type AttemptResult} from './answerRelay.js';
import {decideNextTry} from './decideNextTry.js';
import {FINAL_STATUS, sendFinalAnswer} from './finalAnswer.js';
import {OwnRefusals} from './ownRefusals.js';
import {pickService} from './pickService.js';
import {fingerprintOf} from './requestFingerprint.js';
import {Suspicion} from './suspicion.js';
import {chooseRetryAfterMs, MIN_RETRY_AFTER_MS} from './retryAfter.js';
import {RequestLog, type TryCounts} from './requestLog.js';
import {TargetChooser, type Target} from './targetChooser.js';
import {UsageCharge} from './usageCharge.js';
import {WakeablePause} from './wakeablePause.js';
import {workOf} from './workOf.js';

/** The runner doesn't hold what the request needs. */
const MISDIRECTED = 421;
/** A runner that is full or fetches an adapter is asked again after this. */
const REJECTION_PAUSE_MS = 25;
/**
 * The pause doubles with each rejection up to this, a few turns of a queue that
 * is full. All tries of a request then last 0.4 s at least; without pauses they
 * were over in 20 ms, and the request refused, while one runner was full.
 */
const REJECTION_PAUSE_CAP_MS = 200;
/** Without a copy or a place, look again after this if nothing changes. */
const PARK_POLL_MS = 100;
/** A suspect asks again after this whether it may run; trials take longer. */
const TRIAL_POLL_MS = 150;
/**
 * Of the time to its target a prompt waits for its turn up to this share; then it
 * goes all the same, and the runner's own order decides.
 */
const TURN_WAIT_SHARE = 0.25;
export interface RequestRunOptions {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  decoded: DecodedRequest;
  /** With the priority of the caller's organisation, where it has one. */
  route: RoutePolicy;
  identity: CallerIdentity;
  /** When the request came; undefined without one. */
  organisation: Organisation | undefined;
  body: Buffer;
  /** When the first byte of the request was seen. */
  startedMs: number;
}

/** Carries one request of a caller to its one final answer. */
export class RequestRun {
  private readonly deadlineMs: number;
  /**
   * Its caller leaves then if no event has come. Held to its deadline instead,
   * one that no runner could take was lost, though it would have come back when
   * told to: 1,279 of 7,995 requests of an overloaded day.
   */
  private readonly leavesMs: number;
  private readonly service: string;
  private readonly started: StartedWork;
  private readonly relay: AnswerRelay;
  private readonly targets: TargetChooser;
  private readonly log: RequestLog;
  private readonly fingerprint: string;
  private readonly suspicion: Suspicion;
  private readonly refusals: OwnRefusals;
  private readonly charge: UsageCharge;
  private timer: Timer | undefined;
  private readonly pause: WakeablePause;
  private isOver = false;
  private attemptsMade = 0;
  private sendings = 0;
  private rejections = 0;
  private mayHaveRun = false;
  private hasWaited = false;
  private endWaiting: (() => void) | undefined;
  private nextPauseMs = 0;
  private turn: PromptTurn | undefined;

  constructor(private readonly options: RequestRunOptions) {
    const {context, request, route, decoded, body, startedMs, response} =
      options;
    const waitMs = Math.min(
      route.timeoutMs,
      decoded.request.deadlineMs ?? route.timeoutMs,
    );
    this.deadlineMs = startedMs + waitMs - context.options.deadlineMarginMs;
    const {callerIdleTimeoutMs = waitMs} = route;
    const beginsWithinMs = Math.min(waitMs, callerIdleTimeoutMs);
    this.leavesMs =
      startedMs + beginsWithinMs - context.options.deadlineMarginMs;
    this.pause = new WakeablePause(context.clock);
    this.service = pickService(route.services, context.random);
    const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
    this.started = {
      priority: model === undefined ? undefined : route.priority,
      work: workOf({requests: 1, promptTokens, outputTokens: maxOutputTokens}),
      model,
      adapter:
        model !== undefined && adapter !== undefined
          ? adapterKey(model, adapter)
          : undefined,
    };
    this.targets = new TargetChooser({
      context,
      request: decoded.request,
      service: this.service,
    });
    this.fingerprint = fingerprintOf({
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      body,
    });
    this.suspicion = new Suspicion(context, this.fingerprint);
    this.log = new RequestLog({
      context,
      decoded,
      fingerprint: this.fingerprint,
      route,
      startedMs,
      deadlineMs: this.deadlineMs,
    });
    this.charge = new UsageCharge({
      context,
      request: decoded.request,
      organisation: options.organisation,
      log: this.log,
    });
    this.refusals = new OwnRefusals({
      context,
      request: decoded.request,
      route,
      startedMs,
      deadlineMs: this.deadlineMs,
      leavesMs: this.leavesMs,
    });
    this.relay = new AnswerRelay({
      context,
      route,
      response,
      decoded,
      startedMs,
    });
    response.once('close', () => this.onCallerClosed());
  }

  /** A runner works on it, or may have. */
  private get isTried(): boolean {
    return this.relay.isSent || this.relay.hasBegun || this.mayHaveRun;
  }

  /** A key may have moved to another one since the request came. */
  private get organisationNow(): Organisation | undefined {
    const caller = this.options.identity.decide();
    return caller.kind === 'admitted' ? caller.organisation : undefined;
  }

  private get counts(): TryCounts {
    const {attemptsMade, rejections, mayHaveRun} = this;
    return {attemptsMade, rejections, mayHaveRun};
  }

  async run(): Promise<void> {
    const {context, decoded, startedMs} = this.options;
    const {model, adapter, promptTokens, maxOutputTokens} = decoded.request;
    // Ahead of the demand: copies would be made for what isn't run.
    if (this.suspicion.verdict === 'quarantined') return this.endQuarantined();
    if (this.isOverCap()) return;
    if (model !== undefined) {
      const {leastUrgent} = context.view;
      const urgency = urgencyOf(this.options.route.priority, leastUrgent);
      const tokens = {promptTokens, maxOutputTokens};
      context.demand.noteArrival({model, adapter, urgency, ...tokens});
      context.coming.note(model, this.started.work.read);
    }
    context.retryBudgetOf(this.service).recordAttempt();
    if (this.refusals.isTooLate) return this.refuse('leaving');
    const leftMs = this.deadlineMs - context.clock.nowMs();
    this.timer = context.clock.setTimer(leftMs, () => this.onDeadline());
    const leavesInMs = this.leavesMs - context.clock.nowMs();
    const leaveTimer = context.clock.setTimer(leavesInMs, () =>
      this.refuseUntried('no-place-in-time'),
    );
    while (!this.isOver) await this.step();
    this.timer.cancel();
    leaveTimer.cancel();
    context.metrics.observeMs('request_ms', context.clock.nowMs() - startedMs, {
      kind: this.options.route.kind,
    });
  }

  private async step(): Promise<void> {
    if (this.nextPauseMs > 0) await this.pause.wait(this.nextPauseMs);
    this.nextPauseMs = 0;
    if (this.isOver) return;
    if (this.isShutOut()) return;
    const {verdict} = this.suspicion;
    if (verdict === 'quarantined') return this.endQuarantined();
    if (verdict === 'suspect') return this.stepAlone();
    const target = this.targets.choose();
    if (target) await this.tryAt(target);
    else await this.waitForRunner();
  }

  /** Undefined when it was not sent. */
  private async tryAt(target: Target): Promise<AttemptResult | undefined> {
    const {runnerId} = target.runner;
    const {rateLimits} = this.options.context;
    const permit = rateLimits.take(runnerId);
    if (permit.kind === 'refuse') {
      this.targets.noteRateLimited(runnerId, permit.retryAfterMs);
      return undefined;
    }
    const result = await this.sendTo(target);
    const isSent = result !== undefined && result.kind !== 'unreached';
    if (permit.kind === 'admit' && !isSent) rateLimits.giveBack(runnerId);
    if (result && !this.isOver) this.settle(target, result);
    return result;
  }

  private async sendTo(target: Target): Promise<AttemptResult | undefined> {
    if (target.needsAdapter && !(await this.fetchAdapter(target))) {
      return undefined;
    }
    if (this.isOver || !this.targets.isStillUsable(target.runner)) {
      return undefined;
    }
    if (this.isTurnedAway(target)) return undefined;
    return this.attempt(target);
  }

  private async waitForRunner(): Promise<void> {
    const freeInMs = this.targets.rateLimitedForMs();
    if (freeInMs === undefined) return this.park();
    // What another runner may have begun can't be refused any more.
    if (this.relay.hasBegun || this.mayHaveRun) {
      return this.pause.wait(freeInMs);
    }
    const retryAfterMs = Math.max(freeInMs, MIN_RETRY_AFTER_MS);
    this.log.refuseByRateLimit(this.service, retryAfterMs);
    this.answer(FINAL_STATUS.notRun, 'runner-limit', retryAfterMs);
  }

  /**
   * Runs a suspect where no other one runs, or has it wait. Sent on like any
   * other it would crash a runner at each entry before anyone could tell which
   * of those at the runner did it.
   */
  private async stepAlone(): Promise<void> {
    const {context} = this.options;
    const runnerIds = this.targets.byOpenWork();
    if (runnerIds.length === 0) return this.waitForRunner();
    const runnerId = await context.permitTrial({
      fingerprint: this.fingerprint,
      runnerIds,
      forMs: this.deadlineMs - context.clock.nowMs(),
    });
    if (runnerId === undefined) {
      if (!this.isOver) await this.pause.wait(TRIAL_POLL_MS);
      return;
    }
    const target = this.isOver ? undefined : this.targets.choose(runnerId);
    const result = target && (await this.tryAt(target));
    this.suspicion.noteTrialEnd(result);
  }

  /** Refuses what goes beyond the usage cap of its organisation. */
  private isOverCap(): boolean {
    const retryAfterMs = this.charge.take();
    if (retryAfterMs === undefined) return false;
    this.answer(FINAL_STATUS.overCap, 'usage-cap', retryAfterMs);
    return true;
  }

  /** Ends the request if its caller's key has been taken away since it came. */
  private isShutOut(): boolean {
    const caller = this.options.identity.decide();
    if (caller.kind === 'admitted') return false;
    if (this.relay.hasBegun) {
      this.options.response.destroy();
      this.finish('cut', 0);
    } else if (caller.kind === 'unauthorized') {
      this.answer(FINAL_STATUS.unauthorized, caller.reason);
    } else if (this.mayHaveRun) {
      this.answer(FINAL_STATUS.unknown, 'config-stale');
    } else {
      this.refuse('config-stale');
    }
    return true;
  }

  /** Refuses at once what has crashed runner after runner. */
  private endQuarantined(): void {
    const {quarantinedForMs} = this.suspicion;
    this.log.refuseQuarantined(this.fingerprint, quarantinedForMs);
    if (this.relay.hasBegun) {
      this.options.response.destroy();
      this.finish('cut', 0);
    } else if (this.mayHaveRun) {
      this.answer(FINAL_STATUS.unknown, 'quarantined');
    } else {
      this.answer(FINAL_STATUS.notRun, 'quarantined', quarantinedForMs);
    }
  }

  /** Refuses what a full queue would hold until its caller gives up. */
  private isTurnedAway({runner}: Target): boolean {
    if (this.relay.hasBegun) return false;
    const refusal = this.refusals.byQueue(runner.runnerId);
    if (!refusal) return false;
    const {decision} = refusal;
    this.log.refuseByQueue(runner.runnerId, refusal);
    if (this.mayHaveRun) this.answer(FINAL_STATUS.unknown, 'runner-failed');
    else this.answer(FINAL_STATUS.notRun, 'queue', decision.retryAfterMs);
    return true;
  }

  /** Waits for a copy of the model, or for a runner at all. */
  private async park(): Promise<void> {
    const {context} = this.options;
    if (!this.hasWaited) this.log.wait(this.targets.counts());
    this.hasWaited = true;
    if (this.isWaitInVain()) return;
    this.noteWaiting();
    const unsubscribe = context.view.onChange(() => this.pause.wake());
    await this.pause.wait(PARK_POLL_MS);
    unsubscribe();
  }

  /** Refuses what its copy would reach only after its caller has given up. */
  private isWaitInVain(): boolean {
    if (this.relay.hasBegun || this.mayHaveRun) return false;
    const refusal = this.refusals.withoutCopy();
    if (!refusal) return false;
    this.log.refuseWithoutCopy(refusal);
    const {retryAfterMs} = refusal.decision;
    this.answer(FINAL_STATUS.notRun, 'no-copy-in-time', retryAfterMs);
    return true;
  }

  /** Counts as waiting until it is sent or over. */
  private noteWaiting(): void {
    const {context, decoded} = this.options;
    const {model} = decoded.request;
    if (model === undefined) return;
    this.endWaiting ??= context.demand.noteWaiting(model);
  }

  private noteNotWaiting(): void {
    this.endWaiting?.();
    this.endWaiting = undefined;
  }

  private async fetchAdapter({runner}: Target): Promise<boolean> {
    const {context, decoded} = this.options;
    const {model, adapter} = decoded.request;
    const {runnerId} = runner;
    const isThere = await context.ensureAdapter({
      runnerId,
      model: model!,
      adapter: adapter!,
    });
    if (isThere || this.isOver) return isThere;
    this.targets.noteRejected(runnerId);
    this.noteWaiting();
    await this.pause.wait(REJECTION_PAUSE_MS);
    return false;
  }

  /** Undefined when it was not sent: its turn came too late. */
  private async attempt(target: Target): Promise<AttemptResult | undefined> {
    const {context, route, decoded} = this.options;
    const {runner} = target;
    this.noteNotWaiting();
    const aheadWork = context.states.workAhead(runner.runnerId, route.priority);
    context.states.noteStart(runner.runnerId, this.service, this.started);
    const isPrompt = decoded.request.model !== undefined;
    this.turn = isPrompt
      ? context.gate.enter(
          runner.runnerId,
          route.priority,
          this.options.startedMs,
        )
      : undefined;
    const waitMs = route.targetMs * TURN_WAIT_SHARE;
    const waited = context.clock.setTimer(waitMs, () => this.turn?.goAhead());
    const mayGo = (await this.turn?.come) ?? true;
    waited.cancel();
    const isUsable = mayGo && !this.isOver && !this.isShutOut();
    if (!isUsable || !this.targets.isStillUsable(runner)) {
      this.turn?.giveBack();
      context.states.noteEnd(runner.runnerId, this.started, false);
      return undefined;
    }
    return this.send(target, aheadWork);
  }

  private async send(
    target: Target,
    aheadWork: number,
  ): Promise<AttemptResult> {
    const {context, decoded, route, request, body} = this.options;
    const {runner} = target;
    const nowMs = context.clock.nowMs();
    const connection = context.connections.acquire(runner.address);
    this.log.route(target, this.counts, connection.used);
    const headers = context.codec.encodeAttempt(decoded, {
      runnerId: runner.runnerId,
      remainingMs: this.deadlineMs - nowMs,
      priority:
        decoded.request.model === undefined ? undefined : route.priority,
      lastEventId: this.relay.lastEventId,
      organisation: this.organisationNow?.name,
    });
    this.sendings += 1;
    let wasRead = false;
    const result = await this.relay.relay(
      connection,
      {
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers,
        body,
      },
      {
        runnerId: runner.runnerId,
        onFacts: facts =>
          context.rateLimits.noteAnswer(runner.runnerId, facts, nowMs),
        onFirstByte: () => {
          wasRead = true;
          this.turn?.giveBack();
          const tookMs = context.clock.nowMs() - nowMs;
          context.states.noteRead(runner.runnerId, this.started, {
            aheadWork,
            tookMs,
          });
        },
      },
    );
    this.turn?.giveBack();
    context.states.noteEnd(runner.runnerId, this.started, wasRead);
    if (result.kind === 'broken' && result.isCutOff) {
      context.crashWatch.noteCutOff(runner, this.fingerprint);
    }
    if (result.kind === 'delivered' || result.kind === 'rejected') {
      if (result.canReuse) {
        context.connections.release(runner.address, connection);
      } else {
        connection.destroy();
      }
    }
    return result;
  }

  private settle(target: Target, result: AttemptResult): void {
    const {context} = this.options;
    const {runnerId} = target.runner;
    switch (result.kind) {
      case 'delivered':
        this.suspicion.noteAnswered();
        this.notePace(runnerId);
        context.states.noteOutcome(
          runnerId,
          result.isSuccess,
          result.firstByteMs,
        );
        this.finish('answered', result.status);
        return;
      case 'unreached':
        context.states.noteUnreachable(runnerId, this.service);
        this.again(target, result);
        return;
      case 'rejected':
        if (result.fromOtherRunner) {
          context.states.noteUnreachable(runnerId, this.service);
        } else {
          this.noteRejection(target, result.status);
        }
        this.again(target, result);
        return;
      case 'failed':
      case 'broken':
        if (result.kind === 'failed') this.suspicion.noteAnswered();
        this.attemptsMade += 1;
        this.mayHaveRun = true;
        context.states.noteOutcome(runnerId, false);
        this.again(target, result);
        return;
      default:
        result satisfies never;
    }
  }

  private notePace(runnerId: string): void {
    const {context, route} = this.options;
    const {longestPauseMs} = this.relay;
    const {pauseTargetMs} = route;
    if (longestPauseMs === undefined || pauseTargetMs === undefined) return;
    context.gate.notePace(runnerId, {longestPauseMs, pauseTargetMs});
  }

  private noteRejection({runner, needsAdapter}: Target, status: number): void {
    const {context, decoded} = this.options;
    const {model, adapter} = decoded.request;
    const isAbsent = status === MISDIRECTED;
    if (isAbsent && model !== undefined) {
      context.held.noteAbsent(
        runner.runnerId,
        model,
        needsAdapter || adapter !== undefined ? adapter : undefined,
      );
    }
  }

  /** Tries once more where that is allowed and helps, or ends the request. */
  private again({runner}: Target, result: AttemptResult): void {
    const {context, route} = this.options;
    const wasTurnedAway =
      result.kind === 'rejected' || result.kind === 'unreached';
    if (wasTurnedAway) this.rejections += 1;
    this.targets.noteRejected(runner.runnerId);
    const budget = context.retryBudgetOf(this.service);
    const {goesOn, decision} = decideNextTry(context, route, {
      result,
      ...this.counts,
      hasBegun: this.relay.hasBegun,
      deadlineMs: this.deadlineMs,
      budgetTokens: budget.available,
    });
    this.log.retry(runner.runnerId, result, decision, this.mayHaveRun);
    if (!goesOn) {
      this.fail(result);
      return;
    }
    if (result.kind !== 'unreached') budget.tryTake();
    if (wasTurnedAway) this.nextPauseMs = this.rejectionPauseMs();
    context.metrics.count('retries_total', {after: result.kind});
  }

  /** None while a runner is left that has not turned the request away. */
  private rejectionPauseMs(): number {
    const target = this.targets.choose();
    if (!target || !this.targets.hasRejected(target.runner)) return 0;
    const ceilingMs = Math.min(
      REJECTION_PAUSE_MS * 2 ** (this.rejections - 1),
      REJECTION_PAUSE_CAP_MS,
    );
    // Half is sure; the rest keeps those that were turned away together apart.
    return (ceilingMs * (1 + this.options.context.random())) / 2;
  }

  private fail(result: AttemptResult): void {
    const {response} = this.options;
    if (result.kind === 'failed' && !this.relay.hasBegun) {
      this.relay.deliverFailure(result);
      this.finish('runner-failure', result.status);
      return;
    }
    if (this.relay.hasBegun) {
      response.destroy();
      this.finish('cut', 0);
      return;
    }
    if (this.mayHaveRun) this.answer(FINAL_STATUS.unknown, 'runner-failed');
    else this.refuse('no-place');
  }

  private refuse(reason: string): void {
    const leftMs = this.deadlineMs - this.options.context.clock.nowMs();
    const {random} = this.options.context;
    const retryAfterMs = chooseRetryAfterMs(leftMs, random);
    this.answer(FINAL_STATUS.notRun, reason, retryAfterMs);
  }

  private answer(status: number, reason: string, retryAfterMs?: number): void {
    const {response, context} = this.options;
    this.finish(reason, status);
    sendFinalAnswer(
      response,
      {status, reason, retryAfterMs},
      context.isLeaving(),
    );
  }

  /** The process ends soon; what has not been sent can still go elsewhere. */
  refuseUnsent(): void {
    this.refuseUntried('leaving');
  }

  private refuseUntried(reason: string): void {
    if (this.isOver || this.isTried) return;
    // One that waits for its connection would be sent after the refusal.
    this.relay.cancel();
    this.refuse(reason);
  }

  private onDeadline(): void {
    if (this.isOver) return;
    const wasSent = this.relay.cancel();
    if (this.relay.hasBegun) {
      this.options.response.destroy();
      this.finish('cut-at-deadline', 0);
      return;
    }
    if (wasSent || this.mayHaveRun) {
      this.answer(FINAL_STATUS.timeout, 'timeout');
    } else {
      this.answer(FINAL_STATUS.notRun, 'no-copy-in-time', MIN_RETRY_AFTER_MS);
    }
  }

  private onCallerClosed(): void {
    if (this.isOver || this.options.response.writableFinished) return;
    this.relay.cancel();
    this.finish('caller-left', 0);
  }

  private finish(outcome: string, status: number): void {
    if (this.isOver) return;
    this.isOver = true;
    // Each sending was turned away, or reached nobody.
    if (this.sendings <= this.rejections) this.charge.giveBack();
    this.noteNotWaiting();
    this.turn?.giveBack();
    this.pause.wake();
    const {context, route} = this.options;
    context.metrics.count('requests_total', {kind: route.kind, outcome});
    const {firstByteMs, longestPauseMs} = this.relay;
    const {kind} = route;
    if (firstByteMs !== undefined) {
      context.metrics.observeMs('first_byte_ms', firstByteMs, {kind});
    }
    if (longestPauseMs !== undefined) {
      context.metrics.observeMs('stream_pause_ms', longestPauseMs, {kind});
    }
    this.log.end(outcome, status, this.counts, {firstByteMs, longestPauseMs});
  }
}
