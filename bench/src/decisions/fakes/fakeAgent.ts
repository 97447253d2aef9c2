import type {
  AdmissionRequest,
  AdmissionView,
  Move,
  QueuedRequest,
} from '@banyanfold/decisions';
import {
  KV_BYTES_PER_TOKEN,
  KV_MEMORY_BYTES,
  MAX_QUEUED,
  MAX_RUNNING,
  WEIGHT_MEMORY_BYTES,
  type WorkKind,
} from '../deployments.js';
import type {AdmissionPolicy} from '../types.js';
import {CopyLedger, type LedgerContext} from './copyLedger.js';
import {FakeEngine} from './fakeEngine.js';
import type {AgentDigest, AgentSnapshot, Attempt} from './types.js';

interface Waiting {
  attempt: Attempt;
  entry: QueuedRequest;
}

const SMOOTHING = 0.1;
const FIRST_SERVICE_MS = 2_000;
const FIRST_TOKEN_MS = 40;
const SET_ROLE_MS = 2_000;

/** The small process beside a backend server: admission, queue and ledger. */
export class FakeAgent {
  isUp = true;
  readonly engine: FakeEngine;
  readonly ledger: CopyLedger;
  private readonly waiting = new Map<string, Waiting>();
  private kvUsedBytes = 0;
  private serviceTimeMs = FIRST_SERVICE_MS;
  /** Smoothed, by class. */
  private readonly firstTokenMs = new Map<number, number>();
  private dispatchCount = 0;

  constructor(
    readonly vmId: string,
    readonly failureDomain: string,
    role: WorkKind,
    private readonly context: LedgerContext,
    private readonly admission: AdmissionPolicy,
  ) {
    this.engine = new FakeEngine(context.events, role);
    this.ledger = new CopyLedger(context, WEIGHT_MEMORY_BYTES);
  }

  attempt(attempt: Attempt): void {
    if (!this.ledger.held.has(attempt.artifact)) {
      attempt.onRefused('no-copy', 0);
      return;
    }
    const request: AdmissionRequest = {
      priority: attempt.priority,
      firstTokenBudgetMs: attempt.firstTokenBudgetMs,
      kvBytes: kvBytesOf(attempt),
      firstTokenMs: this.firstTokenOf(attempt.priority),
    };
    const nowMs = this.context.events.nowMs;
    const decision = this.admission.admit(this.view(), request, nowMs);
    if (decision.kind === 'refuse') {
      attempt.onRefused(decision.code, decision.retryAfterMs);
      return;
    }
    this.ledger.use(attempt.artifact);
    if (decision.kind === 'run') {
      this.dispatch(attempt);
      return;
    }
    this.enqueue(attempt, request, nowMs);
  }

  propose(move: Move): boolean {
    if (!this.isUp) return false;
    if (move.kind !== 'set-role') return this.ledger.propose(move);
    this.context.events.after(SET_ROLE_MS, () => {
      this.engine.role = move.runnerRole as WorkKind;
    });
    return true;
  }

  /** The machine is lost with all that runs and waits there. */
  fail(): void {
    this.isUp = false;
    const waiting = [...this.waiting.values()];
    this.waiting.clear();
    this.engine.fail();
    this.ledger.clear();
    this.kvUsedBytes = 0;
    for (const {attempt} of waiting) attempt.onBroken();
  }

  digest(): AgentDigest {
    const probe = {priority: 0, firstTokenBudgetMs: Infinity, kvBytes: 0};
    const nowMs = this.context.events.nowMs;
    const {estimatedDelayMs} = this.admission.admit(this.view(), probe, nowMs);
    return {
      vmId: this.vmId,
      takenAtMs: nowMs,
      role: this.engine.role,
      running: this.engine.running,
      queued: this.waiting.size,
      queueDelayMs: estimatedDelayMs,
      kvUsedBytes: this.kvUsedBytes,
    };
  }

  snapshot(): AgentSnapshot {
    return {
      ...this.digest(),
      memoryFreeBytes: this.ledger.freeBytes,
      held: this.ledger.held,
      cachedPrefixes: this.engine.cachedPrefixes(),
      copies: this.ledger.snapshot(),
    };
  }

  private view(): AdmissionView {
    return {
      running: this.engine.running,
      maxRunning: MAX_RUNNING,
      queue: [...this.waiting.values()].map(({entry}) => entry),
      maxQueued: MAX_QUEUED,
      kvFreeBytes: KV_MEMORY_BYTES - this.kvUsedBytes,
      serviceTimeMs: this.serviceTimeMs,
      firstTokenMs: this.firstTokenOf(0),
    };
  }

  private enqueue(
    attempt: Attempt,
    request: AdmissionRequest,
    nowMs: number,
  ): void {
    const entry: QueuedRequest = {
      attemptId: attempt.attemptId,
      priority: request.priority,
      enqueuedMs: nowMs,
      deadlineMs: nowMs + request.firstTokenBudgetMs,
      kvBytes: request.kvBytes,
      firstTokenMs: request.firstTokenMs,
    };
    this.waiting.set(attempt.attemptId, {attempt, entry});
    const firstTokenMs = this.firstTokenOf(request.priority);
    const lateInMs = request.firstTokenBudgetMs - firstTokenMs + 1;
    this.context.events.after(lateInMs, () => {
      if (this.waiting.has(attempt.attemptId)) this.pump();
    });
    this.pump();
  }

  /** Refuses what is too late, then fills free slots from the queue. */
  private pump(): void {
    for (;;) {
      if (this.waiting.size === 0) return;
      const nowMs = this.context.events.nowMs;
      const queue = [...this.waiting.values()].map(({entry}) => entry);
      const decision = this.admission.pick(queue, nowMs, {
        firstTokenMs: this.firstTokenOf(0),
        dispatchIntervalMs: this.serviceTimeMs / MAX_RUNNING,
        kvFreeBytes: KV_MEMORY_BYTES - this.kvUsedBytes,
        dispatchCount: this.dispatchCount,
      });
      for (const {attemptId} of decision.tooLate) {
        const {attempt} = this.take(attemptId);
        this.ledger.release(attempt.artifact);
        attempt.onRefused('too-late', decision.retryAfterMs);
      }
      if (!decision.next || this.engine.running >= MAX_RUNNING) return;
      this.dispatch(this.take(decision.next.attemptId).attempt);
    }
  }

  private firstTokenOf(priority: number): number {
    return this.firstTokenMs.get(priority) ?? FIRST_TOKEN_MS;
  }

  private take(attemptId: string): Waiting {
    const waiting = this.waiting.get(attemptId)!;
    this.waiting.delete(attemptId);
    return waiting;
  }

  private dispatch(attempt: Attempt): void {
    const {events} = this.context;
    const startedMs = events.nowMs;
    const kvBytes = kvBytesOf(attempt);
    this.dispatchCount += 1;
    this.kvUsedBytes += kvBytes;
    this.engine.start({
      ...attempt,
      onFirstToken: () => {
        const tookMs = events.nowMs - startedMs;
        const beforeMs = this.firstTokenOf(attempt.priority);
        const afterMs = beforeMs + SMOOTHING * (tookMs - beforeMs);
        this.firstTokenMs.set(attempt.priority, afterMs);
        attempt.onFirstToken();
      },
      onDone: () => {
        const tookMs = events.nowMs - startedMs;
        this.serviceTimeMs += SMOOTHING * (tookMs - this.serviceTimeMs);
        this.kvUsedBytes -= kvBytes;
        this.ledger.release(attempt.artifact);
        attempt.onDone();
        this.pump();
      },
      onBroken: attempt.onBroken,
    });
  }
}

function kvBytesOf(attempt: Attempt): number {
  return (attempt.promptTokens + attempt.outputTokens) * KV_BYTES_PER_TOKEN;
}
