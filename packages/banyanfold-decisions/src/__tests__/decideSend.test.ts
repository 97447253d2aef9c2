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
    ['one that has answered nothing yet', {workPerSecond: 0}, 'send'],
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
    ['all places taken once over, where callers wait long', 6_000, 'send'],
    ['all places taken once over, where they leave early', 2_000, 'refuse'],
  ])('%s', (_what, leftMs, kind) => {
    // 64 run at once for some 2 s each; the 65th to 128th wait as long.
    const view = {...QUIET, openRequests: 128, slots: 64, leftMs};
    expect(decideSend(view).kind).toBe(kind);
  });

  it('says to come back within the time that callers heed', () => {
    const decision = decideSend({...QUIET, workAhead: 400});
    expect(decision).toMatchObject({kind: 'refuse', retryAfterMs: 1_800});
  });

  it('serves more in time under three times the load than without it', () => {
    // Load: 12 drafts of 9,000 tokens a second for 10 s at a runner that reads
    // 40,000 a second; callers wait 5 s. Without refusals the queue passes 5 s,
    // each prompt is read in vain and nobody is served any more; with them those
    // sent are answered.
    expect(servedOf(true)).toBeGreaterThan(servedOf(false) * 1.5);
  });
});

/** Requests answered within their time at a runner with a queue in order. */
function servedOf(refuses: boolean): number {
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
    // A caller that left is not read for once its turn has come.
    freeAtMs = nowMs + waitMs + (waitMs < LEFT_MS ? readMs : 0);
    if (waitMs + readMs <= LEFT_MS) served += 1;
  }
  return served;
}
