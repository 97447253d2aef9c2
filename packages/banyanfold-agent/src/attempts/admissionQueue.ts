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
/** The class whose wait entries are told: it goes before all others. */
const BEST_PRIORITY = 0;
/** Even a full queue is looked at this often. */
const MAX_PUMP_DELAY_MS = 1_000;
/** Timers fire a little early; a request is late only after its moment. */
const PUMP_SLACK_MS = 1;

/** A request that asks for a slot. */
export interface AdmissionTicket {
  attemptId: string;
  artifact: string;
  priority: number;
  firstTokenBudgetMs: number;
  kvBytes: number;
  /** Called once, when the slot and the KV memory are its own. */
  start(): void;
  /** Called once, at the moment it is given up. */
  refuse(refusal: Refusal): void;
}

/** The KV memory that slots are given against. */
export interface KvMemory {
  kvFreeBytes(): number;
  reserveKv(requestKey: string, bytes: number): void;
}

/** How an admission queue is built. */
export interface AdmissionQueueOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  memory: KvMemory;
  maxRunning: number;
  maxQueued: number;
}

type Waiting = QueuedRequest & {
  firstTokenMs: number;
  ticket: AdmissionTicket;
};

/**
 * Gives out the engine's slots. The decisions are those of
 * `@banyanfold/decisions`; this class carries them out at the right moments:
 * when a slot gets free, and when a waiting request becomes too late, which is
 * refused then and not later.
 */
export class AdmissionQueue {
  private readonly waiting = new Map<string, Waiting>();
  private readonly running = new Set<string>();
  private readonly serviceTime: SmoothedTime;
  /**
   * By class. A draft takes many times a short answer's time; with one figure
   * for both, a runner that has served drafts refuses short answers while it
   * idles.
   */
  private readonly firstToken = new Map<number, SmoothedTime>();
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

  /** Estimated wait to a first token for a class 0 request that came now. */
  queueDelayMs(): number {
    const request = {
      priority: BEST_PRIORITY,
      firstTokenBudgetMs: Number.POSITIVE_INFINITY,
      kvBytes: 0,
    };
    const view = this.view();
    return decideAdmission(view, request, this.nowMs()).estimatedDelayMs;
  }

  /** Runs, queues or refuses a request, and logs which. */
  submit(ticket: AdmissionTicket): void {
    const nowMs = this.nowMs();
    const {attemptId, priority, firstTokenBudgetMs, kvBytes} = ticket;
    const firstTokenMs = this.firstTokenMsOf(priority);
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

  /** Takes a waiting request out without an answer. */
  remove(attemptId: string): void {
    this.waiting.delete(attemptId);
    this.dispatchWaiting();
  }

  /** Learns how long a request of this class took to its first token. */
  recordFirstToken(sampleMs: number, priority: number): void {
    let smoothed = this.firstToken.get(priority);
    if (!smoothed) {
      smoothed = new SmoothedTime(this.options.clock, INITIAL_FIRST_TOKEN_MS);
      this.firstToken.set(priority, smoothed);
    }
    smoothed.add(sampleMs);
  }

  /** A request has left its slot. */
  release(attemptId: string, serviceTimeMs?: number): void {
    if (!this.running.delete(attemptId)) return;
    if (serviceTimeMs !== undefined) this.serviceTime.add(serviceTimeMs);
    this.dispatchWaiting();
  }

  /** Looks at the queue again: memory or slots may have become free. */
  dispatchWaiting(): void {
    while (this.pumpOnce());
    this.schedulePump();
  }

  stop(): void {
    this.timer?.cancel();
  }

  private pumpOnce(): boolean {
    if (this.waiting.size === 0) return false;
    const hasSlot = this.running.size < this.options.maxRunning;
    const kvFreeBytes = hasSlot ? this.options.memory.kvFreeBytes() : -1;
    const {next, tooLate, retryAfterMs, reason} = pickNext(
      [...this.waiting.values()],
      this.nowMs(),
      {
        ...DEFAULT_QUEUE_OPTIONS,
        firstTokenMs: this.firstTokenMsOf(BEST_PRIORITY),
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

  private schedulePump(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.waiting.size === 0) return;
    let dueMs = Number.POSITIVE_INFINITY;
    for (const {deadlineMs, firstTokenMs} of this.waiting.values()) {
      dueMs = Math.min(dueMs, deadlineMs - firstTokenMs);
    }
    const delayMs = dueMs - this.nowMs() + PUMP_SLACK_MS;
    const boundedMs = Math.min(
      Math.max(delayMs, PUMP_SLACK_MS),
      MAX_PUMP_DELAY_MS,
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
      firstTokenMs: this.firstTokenMsOf(BEST_PRIORITY),
    };
  }

  private firstTokenMsOf(priority: number): number {
    const smoothed = this.firstToken.get(priority);
    return smoothed?.currentMs() ?? INITIAL_FIRST_TOKEN_MS;
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}
