import type {Clock, Logger, Metrics, Timer} from '@banyanfold/core';
import {
  decideAdmission,
  DEFAULT_QUEUE_OPTIONS,
  pickNext,
  type AdmissionView,
  type QueuedRequest,
} from '@banyanfold/decisions';
import {SmoothedTime} from './smoothedTime.js';
import type {Refusal} from './refusal.js';

const INITIAL_SERVICE_MS = 500;
const INITIAL_FIRST_TOKEN_MS = 50;
/** Entries receive the queue delay of this class, which precedes all others. */
const MOST_URGENT_PRIORITY = 0;
/** Longest time between two checks of a queue that isn't empty. */
const MAX_RECHECK_DELAY_MS = 1_000;
/** Timers may fire early; a request is late only after its deadline. */
const RECHECK_SLACK_MS = 1;

/** A request for one of the engine's slots. */
export interface AdmissionTicket {
  attemptId: string;
  artifact: string;
  priority: number;
  firstTokenBudgetMs: number;
  kvBytes: number;
  /** Called once, after the slot and the KV memory have been reserved. */
  start(): void;
  /** Called once, if the request is refused instead of started. */
  refuse(refusal: Refusal): void;
}

/** The KV cache memory that the queue reserves for each request it starts. */
export interface KvMemory {
  kvFreeBytes(): number;
  reserveKv(requestKey: string, bytes: number): void;
}

/** Dependencies and limits of an `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  memory: KvMemory;
  maxRunning: number;
  maxQueued: number;
}

type WaitingRequest = QueuedRequest & {
  firstTokenMs: number;
  ticket: AdmissionTicket;
};

/**
 * Admits requests to the engine's slots. `@banyanfold/decisions` makes the
 * decisions; this class applies them when a slot becomes free and at the time
 * when a waiting request can no longer meet its first-token deadline. Such a
 * request is refused immediately.
 */
export class AdmissionQueue {
  private readonly waiting = new Map<string, WaitingRequest>();
  private readonly running = new Set<string>();
  private readonly serviceTime: SmoothedTime;
  /**
   * Time to first token for each priority class. A draft takes many times as
   * long as a short answer. With one estimate for both, an idle runner that has
   * served drafts would refuse short answers.
   */
  private readonly firstTokenByPriority = new Map<number, SmoothedTime>();
  private dispatchCount = 0;
  private timer: Timer | undefined;

  constructor(private readonly options: AdmissionQueueOptions) {
    const {clock} = options;
    this.serviceTime = new SmoothedTime(clock, INITIAL_SERVICE_MS);
  }

  runningCount(): number {
    return this.running.size;
  }

  queuedCount(): number {
    return this.waiting.size;
  }

  /** Estimated time to first token of a class 0 request submitted now. */
  queueDelayMs(): number {
    const request = {
      priority: MOST_URGENT_PRIORITY,
      firstTokenBudgetMs: Number.POSITIVE_INFINITY,
      kvBytes: 0,
    };
    const view = this.view();
    return decideAdmission(view, request, this.nowMs()).estimatedDelayMs;
  }

  /** Starts, queues or refuses a request, and logs the decision. */
  submit(ticket: AdmissionTicket): void {
    const nowMs = this.nowMs();
    const {attemptId, priority, firstTokenBudgetMs, kvBytes} = ticket;
    const firstTokenMs = this.expectedFirstTokenMs(priority);
    const request = {priority, firstTokenBudgetMs, kvBytes, firstTokenMs};
    const decision = decideAdmission(this.view(), request, nowMs);
    const {logger, metrics} = this.options;
    metrics.count('agent_admissions_total', {decision: decision.kind});
    logger.info('admission', {
      attempt: ticket.attemptId,
      artifact: ticket.artifact,
      priority: ticket.priority,
      decision: decision.kind,
      delayMs: Math.round(decision.estimatedDelayMs),
      reason: decision.reason,
    });
    if (decision.kind === 'refuse') {
      const {code, retryAfterMs, reason} = decision;
      ticket.refuse({code, retryAfterMs, message: reason, outcome: 'not-run'});
      return;
    }
    const deadlineMs = nowMs + firstTokenBudgetMs;
    const queued = {
      attemptId,
      priority,
      enqueuedMs: nowMs,
      deadlineMs,
      kvBytes,
      firstTokenMs,
    };
    this.waiting.set(attemptId, {...queued, ticket});
    this.dispatchWaiting();
  }

  /** Removes a waiting request; neither of its callbacks is called. */
  remove(attemptId: string): void {
    this.waiting.delete(attemptId);
    this.dispatchWaiting();
  }

  /** Adds a measured time to first token to the estimate of this class. */
  recordFirstToken(sampleMs: number, priority: number): void {
    let smoothed = this.firstTokenByPriority.get(priority);
    if (!smoothed) {
      smoothed = new SmoothedTime(this.options.clock, INITIAL_FIRST_TOKEN_MS);
      this.firstTokenByPriority.set(priority, smoothed);
    }
    smoothed.add(sampleMs);
  }

  /** Frees the slot of a request that has ended. */
  release(attemptId: string, serviceTimeMs?: number): void {
    if (!this.running.delete(attemptId)) return;
    if (serviceTimeMs !== undefined) this.serviceTime.add(serviceTimeMs);
    this.dispatchWaiting();
  }

  /** Starts waiting requests while free slots and KV memory allow it. */
  dispatchWaiting(): void {
    while (this.dispatchNext());
    this.scheduleRecheck();
  }

  stop(): void {
    this.timer?.cancel();
  }

  private dispatchNext(): boolean {
    if (this.waiting.size === 0) return false;
    const hasSlot = this.running.size < this.options.maxRunning;
    const kvFreeBytes = hasSlot ? this.options.memory.kvFreeBytes() : -1;
    const {next, tooLate, retryAfterMs, reason} = pickNext(
      [...this.waiting.values()],
      this.nowMs(),
      {
        ...DEFAULT_QUEUE_OPTIONS,
        firstTokenMs: this.expectedFirstTokenMs(MOST_URGENT_PRIORITY),
        dispatchIntervalMs:
          this.serviceTime.currentMs() / this.options.maxRunning,
        kvFreeBytes,
      },
      this.dispatchCount,
    );
    for (const late of tooLate) this.refuseLate(late.attemptId, retryAfterMs);
    if (!next) return false;
    this.start(next.attemptId, reason);
    return true;
  }

  private start(attemptId: string, reason: string): void {
    const waiting = this.waiting.get(attemptId);
    if (!waiting) return;
    const {ticket, kvBytes, enqueuedMs} = waiting;
    this.waiting.delete(attemptId);
    this.running.add(attemptId);
    this.dispatchCount++;
    this.options.memory.reserveKv(attemptId, kvBytes);
    const waitedMs = this.nowMs() - enqueuedMs;
    this.options.metrics.observeMs('agent_queue_wait_ms', waitedMs);
    this.options.logger.info('dispatch', {
      attempt: attemptId,
      artifact: ticket.artifact,
      waitedMs: Math.round(waitedMs),
      reason,
    });
    ticket.start();
  }

  private refuseLate(attemptId: string, retryAfterMs: number): void {
    const waiting = this.waiting.get(attemptId);
    if (!waiting) return;
    this.waiting.delete(attemptId);
    const {metrics, logger} = this.options;
    metrics.count('agent_admissions_total', {decision: 'late'});
    logger.info('admission', {
      attempt: attemptId,
      artifact: waiting.ticket.artifact,
      decision: 'refuse',
      reason: 'too-late-in-queue',
      retryAfterMs: Math.round(retryAfterMs),
    });
    waiting.ticket.refuse({
      code: 'too-late',
      outcome: 'not-run',
      message: 'its first token would come after its target',
      retryAfterMs,
    });
  }

  private scheduleRecheck(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.waiting.size === 0) return;
    let nextRecheckMs = Number.POSITIVE_INFINITY;
    for (const {deadlineMs, firstTokenMs} of this.waiting.values()) {
      nextRecheckMs = Math.min(nextRecheckMs, deadlineMs - firstTokenMs);
    }
    const delayMs = nextRecheckMs - this.nowMs() + RECHECK_SLACK_MS;
    const boundedMs = Math.min(
      Math.max(delayMs, RECHECK_SLACK_MS),
      MAX_RECHECK_DELAY_MS,
    );
    this.timer = this.options.clock.setTimer(boundedMs, () =>
      this.dispatchWaiting(),
    );
  }

  private view(): AdmissionView {
    return {
      running: this.running.size,
      maxRunning: this.options.maxRunning,
      queue: [...this.waiting.values()],
      maxQueued: this.options.maxQueued,
      kvFreeBytes: this.options.memory.kvFreeBytes(),
      serviceTimeMs: this.serviceTime.currentMs(),
      firstTokenMs: this.expectedFirstTokenMs(MOST_URGENT_PRIORITY),
    };
  }

  private expectedFirstTokenMs(priority: number): number {
    const smoothed = this.firstTokenByPriority.get(priority);
    return smoothed?.currentMs() ?? INITIAL_FIRST_TOKEN_MS;
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}
