import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {OwnRefusals} from '../requests/ownRefusals.js';
import {RequestLog} from '../requests/requestLog.js';
import type {InferenceRequest, RoutePolicy} from '../types.js';

const DEADLINE_MS = 5_000;

let clock: VirtualClock;
let logger: MemoryLogger;
let copyInMs: number | undefined;
let workAhead: number;
let cutOffMs: number | undefined;
let context: GatewayContext;

beforeEach(() => {
  clock = new VirtualClock();
  logger = new MemoryLogger();
  copyInMs = undefined;
  workAhead = 0;
  cutOffMs = undefined;
  context = {
    clock,
    logger,
    cutOffMs: () => cutOffMs,
    held: {copyDelayMs: () => copyInMs, ageMs: 120},
    states: {
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

function refusalsOf(
  model: string | undefined,
  callerIdleTimeoutMs = DEADLINE_MS,
): OwnRefusals {
  return new OwnRefusals({
    context,
    request: request(model),
    route,
    startedMs: clock.nowMs(),
    deadlineMs: clock.nowMs() + DEADLINE_MS,
    leavesMs: clock.nowMs() + callerIdleTimeoutMs,
  });
}

describe('OwnRefusals', () => {
  it('tells of a copy that comes after its caller has left', () => {
    // Held, the caller would be refused when its time is over; it learns at
    // once that its request has not run and when to come back.
    const refusals = refusalsOf('m1');
    expect(refusals.withoutCopy()).toBeUndefined();
    copyInMs = 4_000;
    expect(refusals.withoutCopy()).toBeUndefined();
    copyInMs = 5_800;
    expect(refusals.withoutCopy()?.decision.retryAfterMs).toBe(1_650);
  });

  it('tells those at once whom neither copy nor queue reaches before they leave', () => {
    // Callers of a stream leave after 2 s without an event, long before their
    // deadline. Held to the deadline they were lost; told at once, they come
    // back in up to a third of what they have left, when the copy is there.
    const refusals = refusalsOf('m1', 2_000);
    copyInMs = 1_500;
    expect(refusals.withoutCopy()).toBeUndefined();
    copyInMs = 2_600;
    expect(refusals.withoutCopy()?.decision.retryAfterMs).toBe(1_650);
    workAhead = 80;
    expect(refusals.byQueue('r1')?.decision.kind).toBe('refuse');
    expect(refusalsOf('m1').byQueue('r1')).toBeUndefined();
  });

  it('tells of a queue that leaves no time, at runners of models only', () => {
    workAhead = 30;
    expect(refusalsOf('m1').byQueue('r1')).toBeUndefined();
    workAhead = 400;
    expect(refusalsOf('m1').byQueue('r1')?.decision.kind).toBe('refuse');
    expect(refusalsOf(undefined).byQueue('r1')).toBeUndefined();
  });

  it('tells what would be cut off when this process ends', () => {
    expect(refusalsOf('m1').isTooLate).toBe(false);
    cutOffMs = clock.nowMs() + DEADLINE_MS + 1;
    expect(refusalsOf('m1').isTooLate).toBe(false);
    cutOffMs = clock.nowMs() + DEADLINE_MS - 1;
    expect(refusalsOf('m1').isTooLate).toBe(true);
  });

  it('has what decided it in the log', () => {
    copyInMs = 5_800;
    workAhead = 400;
    const refusals = refusalsOf('m1');
    const log = new RequestLog({
      context,
      decoded: {request: request('m1'), passedHeaders: []},
      fingerprint: 'f1',
      route,
      startedMs: clock.nowMs(),
      deadlineMs: clock.nowMs() + DEADLINE_MS,
    });
    log.refuseWithoutCopy(refusals.withoutCopy()!);
    log.refuseByQueue('runner-1', refusals.byQueue('runner-1')!);
    expect(logger.lines).toMatchInlineSnapshot(`
      [
        "level=info event=refuse request=r1 reason=no-copy-in-time model=m1 copyInMs=5800 copiesAgeMs=120 leftMs=5000 retryAfterMs=1650",
        "level=info event=refuse request=r1 reason=queue runner=runner-1 workAhead=400.0 workPerSecond=40.0 waitMs=10000 leftMs=5000 retryAfterMs=1500",
      ]
    `);
  });
});
