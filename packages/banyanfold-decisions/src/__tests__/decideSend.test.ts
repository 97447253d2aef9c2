import {describe, expect, it} from 'vitest';
import {decideSend, type SendView} from '../decideSend.js';

const QUIET: SendView = {
  workAhead: 9,
  workPerSecond: 40,
  leftMs: 6_000,
  targetLeftMs: 800,
};

describe('decideSend', () => {
  it.each<[string, Partial<SendView>, string]>([
    ['a quiet runner', {}, 'send'],
    ['a runner that has answered nothing yet', {workPerSecond: 0}, 'send'],
    ['a queue that drains in time', {workAhead: 30}, 'send'],
    ['a queue beyond the target', {workAhead: 150}, 'send'],
    ['a queue that leaves no time for the stream', {workAhead: 180}, 'refuse'],
    ['a queue beyond the deadline', {workAhead: 300}, 'refuse'],
    [
      'a queue within a long target',
      {workAhead: 200, targetLeftMs: 6_000},
      'send',
    ],
  ])('%s', (_what, fields, kind) => {
    expect(decideSend({...QUIET, ...fields}).kind).toBe(kind);
  });

  it.each([
    ['as many waiting as running, with patient callers', 6_000, 'send'],
    [
      'as many waiting as running, with callers that leave early',
      2_000,
      'refuse',
    ],
  ])('%s', (_what, leftMs, kind) => {
    // 64 requests run at once for about 2 s each; the 65th to 128th wait as
    // long.
    const view = {...QUIET, openRequests: 128, slots: 64, leftMs};
    expect(decideSend(view).kind).toBe(kind);
  });

  it('returns a retry time that callers honour', () => {
    const decision = decideSend({...QUIET, workAhead: 400});
    expect(decision).toMatchObject({kind: 'refuse', retryAfterMs: 1_800});
  });

  it('serves more in time with refusals at three times the load', () => {
    // 12 drafts of 9,000 tokens per second arrive for 10 s at a runner that
    // reads 40,000 tokens per second; callers wait 5 s. Without refusals the
    // queue exceeds 5 s, each prompt is read in vain and no caller is served.
    // With refusals the requests that are sent get an answer.
    expect(countServed(true)).toBeGreaterThan(countServed(false) * 1.5);
  });
});

/** Counts the requests answered in time at a runner with a FIFO queue. */
function countServed(refuses: boolean): number {
  const PER_SECOND = 40;
  const WORK = 9;
  const LEFT_MS = 5_000;
  const STEP_MS = 1_000 / 12;
  let served = 0;
  let freeAtMs = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
    const waitMs = Math.max(0, freeAtMs - nowMs);
    const decision = decideSend({
      ...QUIET,
      workAhead: (waitMs * PER_SECOND) / 1_000,
      workPerSecond: PER_SECOND,
      leftMs: LEFT_MS,
    });
    if (refuses && decision.kind === 'refuse') continue;
    const readMs = (WORK / PER_SECOND) * 1_000;
    // A prompt is not read if its caller has left before its turn.
    freeAtMs = nowMs + waitMs + (waitMs < LEFT_MS ? readMs : 0);
    if (waitMs + readMs <= LEFT_MS) served += 1;
  }
  return served;
}
