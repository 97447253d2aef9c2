import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {AdmissionChecks} from '../requests/admissionChecks.js';
import {RequestLog} from '../requests/requestLog.js';
import type {InferenceRequest, RoutePolicy} from '../types.js';

const DEADLINE_MS = 5_000;

let clock: VirtualClock;
let logger: MemoryLogger;
let copyInMs: number | undefined;
let workAhead: number;
let drainDeadlineMs: number | undefined;
let context: GatewayContext;

beforeEach(() => {
  clock = new VirtualClock();
  logger = new MemoryLogger();
  copyInMs = undefined;
  workAhead = 0;
  drainDeadlineMs = undefined;
  context = {
    clock,
    logger,
    drainDeadlineMs: () => drainDeadlineMs,
    heldCopies: {copyDelayMs: () => copyInMs, ageMs: 120},
    capacities: {speed: () => 1},
    runnerStates: {
      workAhead: () => workAhead,
      workPerSecond: () => 40,
      openRequests: () => 0,
    },
    view: {runner: () => undefined, currentConfig: undefined},
  } as unknown as GatewayContext;
});

const route = {name: 'letter', targetMs: 800, priority: 1} as RoutePolicy;

function request(model: string | undefined): InferenceRequest {
  return {
    requestId: 'r1',
    model,
    promptTokens: 9_000,
    maxOutputTokens: 50,
    promptParts: [],
  };
}

function checksFor(
  model: string | undefined,
  callerIdleTimeoutMs = DEADLINE_MS,
): AdmissionChecks {
  return new AdmissionChecks({
    context,
    request: request(model),
    route,
    startedMs: clock.nowMs(),
    deadlineMs: clock.nowMs() + DEADLINE_MS,
    responseStartDeadlineMs: clock.nowMs() + callerIdleTimeoutMs,
  });
}

describe('AdmissionChecks', () => {
  it('refuses a request whose copy is ready only after its caller left', () => {
    // Guards against holding the request until its deadline, only to refuse it
    // then. The caller learns at once that it has not run and when to retry.
    const checks = checksFor('m1');
    expect(checks.checkCopyWait()).toBeUndefined();
    copyInMs = 4_000;
    expect(checks.checkCopyWait()).toBeUndefined();
    copyInMs = 5_800;
    expect(checks.checkCopyWait()?.decision.retryAfterMs).toBe(1_650);
  });

  it('refuses a request that starts only after its idle timeout', () => {
    // Callers of a stream disconnect after 2 s without an event, long before
    // their deadline. Requests held until the deadline were lost; if refused at
    // once, callers retry within a third of their remaining time, when the copy
    // is ready.
    const checks = checksFor('m1', 2_000);
    copyInMs = 1_500;
    expect(checks.checkCopyWait()).toBeUndefined();
    copyInMs = 2_600;
    expect(checks.checkCopyWait()?.decision.retryAfterMs).toBe(1_650);
    workAhead = 80;
    expect(checks.checkQueue('r1')?.decision.kind).toBe('refuse');
    expect(checksFor('m1').checkQueue('r1')).toBeUndefined();
  });

  it('refuses a request for a model if the queue leaves too little time', () => {
    workAhead = 30;
    expect(checksFor('m1').checkQueue('r1')).toBeUndefined();
    workAhead = 400;
    expect(checksFor('m1').checkQueue('r1')?.decision.kind).toBe('refuse');
    expect(checksFor(undefined).checkQueue('r1')).toBeUndefined();
  });

  it('detects a request that could outlast the drain of this process', () => {
    expect(checksFor('m1').outlastsDrain).toBe(false);
    drainDeadlineMs = clock.nowMs() + DEADLINE_MS + 1;
    expect(checksFor('m1').outlastsDrain).toBe(false);
    drainDeadlineMs = clock.nowMs() + DEADLINE_MS - 1;
    expect(checksFor('m1').outlastsDrain).toBe(true);
  });

  it('logs the inputs of each refusal', () => {
    copyInMs = 5_800;
    workAhead = 400;
    const checks = checksFor('m1');
    const log = new RequestLog({
      context,
      decoded: {request: request('m1'), passedHeaders: []},
      fingerprint: 'f1',
      sharedParts: [],
      route,
      startedMs: clock.nowMs(),
      deadlineMs: clock.nowMs() + DEADLINE_MS,
    });
    log.refuseWithoutCopy(checks.checkCopyWait()!);
    log.refuseByQueue('runner-1', checks.checkQueue('runner-1')!);
    expect(logger.lines).toMatchInlineSnapshot(`
      [
        "level=info event=refuse request=r1 reason=no-copy-in-time model=m1 copyInMs=5800 copiesAgeMs=120 leftMs=5000 retryAfterMs=1650",
        "level=info event=refuse request=r1 reason=queue runner=runner-1 workAhead=400.0 workPerSecond=40.0 waitMs=10000 leftMs=5000 retryAfterMs=1500",
      ]
    `);
  });
});
