import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {randomOf} from './randomOf.js';
import {simulateRateLimit, type RateLimitScenario} from './rateLimitFleet.js';

const WINDOW_S = 4;
const DURATION_MS = 16_000;

/** Maximum number of requests per window at a runner with a limit. */
function maxRequests(limitPerSecond: number): number {
  return limitPerSecond * WINDOW_S * 1.5 + 5;
}

const LOADS = [2, 26, 730].flatMap(entries =>
  [0.25, 1, 6.5, 50].flatMap(limitPerSecond =>
    [1.5, 12].map(factor => ({
      entries,
      limitPerSecond,
      askedPerSecond: Math.max(4, limitPerSecond * factor),
    })),
  ),
);

type Fault = Partial<RateLimitScenario>;

const FAULTS: Record<string, Fault> = {
  'with direct exchanges': {},
  'through relays': {isRelayed: true},
  'while an entry is frozen': {
    isFrozen: (entry, nowMs) => entry === 0 && nowMs > 5_000 && nowMs < 8_000,
  },
  'while an entry is disconnected': {
    isDisconnected: (entry, nowMs) =>
      entry === 1 && nowMs > 5_000 && nowMs < 9_000,
  },
  'while entries restart': {
    restarts: (entry, nowMs) =>
      nowMs % 2_000 === 0 && entry === (nowMs / 2_000) % 3,
  },
  'while the holder changes': {
    changesHolder: nowMs => nowMs % 5_000 === 1_000,
  },
  'while all entries and the holder restart': {
    restarts: (_entry, nowMs) => nowMs === 6_000 || nowMs === 9_000,
    changesHolder: nowMs => nowMs === 6_000 || nowMs === 9_000,
    countedAfterMs: 500,
  },
  'while all entries restart and reach no holder': {
    restarts: (_entry, nowMs) => nowMs === 6_000,
    isUnreachable: nowMs => nowMs >= 6_000 && nowMs < 12_000,
    countedAfterMs: 500,
  },
  'while no entry reaches the holder': {
    isDisconnected: (_entry, nowMs) => nowMs > 6_000 && nowMs < 9_000,
  },
};

describe('the use of a rate-limited runner by all entries', () => {
  // Guards against exceeding the limit of a runner.
  it.each(Object.entries(FAULTS))(
    'stays within the limit %s',
    async (_name, fault) => {
      const violations: string[] = [];
      for (const [i, load] of LOADS.entries()) {
        const random = randomOf(i + 1);
        const scenario = {...load, ...fault, random, durationMs: DURATION_MS};
        const {mostInWindow} = await simulateRateLimit(scenario);
        const {entries, limitPerSecond, askedPerSecond} = load;
        if (mostInWindow <= maxRequests(limitPerSecond)) continue;
        violations.push(
          `${entries} entries, ${limitPerSecond}/s of ${askedPerSecond}/s: ${mostInWindow}`,
        );
      }
      expect(violations).toEqual([]);
    },
    120_000,
  );

  // Guards against leaving a limited runner idle while requests are refused.
  it.each([2, 26, 730])('uses most of the limit with %i entries', async n => {
    for (const limitPerSecond of [1, 6.5, 50]) {
      const {usedShare} = await simulateRateLimit({
        entries: n,
        limitPerSecond,
        askedPerSecond: limitPerSecond * 6,
        durationMs: DURATION_MS,
        random: randomOf(5),
      });
      expect(usedShare).toBeGreaterThan(0.7);
    }
  });

  // Guards against refusing requests to a runner whose limit allows all of them.
  it('refuses no request under a limit far above them', async () => {
    const sent: number[] = [];
    for (const limitPerSecond of [1e6, 1e9]) {
      const {sentMs} = await simulateRateLimit({
        entries: 2,
        limitPerSecond,
        askedPerSecond: 40,
        durationMs: DURATION_MS,
        random: randomOf(7),
      });
      sent.push(sentMs.length);
    }
    expect(sent[1]).toBe(sent[0]);
    expect(sent[0]).toBeGreaterThan(600);
  });

  // Guards against throttling a runner after its limit was lifted.
  it('sends all requests soon after the limit is lifted', async () => {
    for (const entries of [2, 26]) {
      const {sentMs} = await simulateRateLimit({
        entries,
        limitPerSecond: 1,
        askedPerSecond: 40,
        limitedUntilMs: 10_000,
        durationMs: DURATION_MS,
        random: randomOf(6),
      });
      const after = sentMs.filter(atMs => atMs >= 13_000).length;
      expect(after).toBeGreaterThan(100);
    }
  });
});

describe('RunnerRateLimits', () => {
  const answer = (requestsPerSecond?: number) => ({
    signed: true,
    notExecuted: false,
    fromOtherRunner: false,
    isLeaving: false,
    encoded: false,
    requestsPerSecond,
  });

  function createLimits(clock: VirtualClock) {
    return new RunnerRateLimits({
      clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      random: () => 0.5,
    });
  }

  // Guards against lifting a limit because of a response that stayed unread.
  it('does not lift a limit on the response to an older request', async () => {
    const clock = new VirtualClock();
    const limits = createLimits(clock);
    await clock.advance(1_000);
    limits.recordAnswer('r1', answer(1), 900);
    await clock.advance(1_000);
    limits.recordAnswer('r1', answer(), 800);
    expect(limits.acquire('r1').kind).not.toBe('unlimited');
    limits.recordAnswer('r1', answer(), 1_900);
    expect(limits.acquire('r1').kind).toBe('unlimited');
  });

  // Guards against a limit that seems more recent with each report.
  it('reports only limits that its own requests received', async () => {
    const clock = new VirtualClock();
    const limits = createLimits(clock);
    await clock.advance(1_000);
    const use = {used: 0, askedPerSecond: 0};
    limits.applyFleetLimits({r1: {perSecond: 1, ageMs: 20, ...use}}, 0, false);
    expect(limits.acquire('r1').kind).not.toBe('unlimited');
    expect(limits.reportedLimits()).toEqual([]);
    limits.recordAnswer('r1', answer(1), 900);
    expect(limits.reportedLimits()).toEqual([
      {runnerId: 'r1', perSecond: 1, ageMs: 0},
    ]);
  });

  // Guards against a limit that no entry reports to a new holder.
  it('keeps reporting its own limits after the holder reports them', async () => {
    const clock = new VirtualClock();
    const limits = createLimits(clock);
    await clock.advance(1_000);
    limits.recordAnswer('r1', answer(1), 900);
    await clock.advance(50);
    // The round trip took 10 ms.
    const use = {used: 0, askedPerSecond: 0};
    limits.applyFleetLimits({r1: {perSecond: 1, ageMs: 40, ...use}}, 0, false);
    expect(limits.reportedLimits()).toEqual([
      {runnerId: 'r1', perSecond: 1, ageMs: 50},
    ]);
  });

  // Guards against a limit that returns because its removal is forgotten too
  // early.
  it('reports a limit that a slow response has lifted', async () => {
    const clock = new VirtualClock();
    const limits = createLimits(clock);
    await clock.advance(1_000);
    limits.recordAnswer('r1', answer(1), 900);
    await clock.advance(6_000);
    limits.recordAnswer('r1', answer(), 2_000);
    limits.prune(() => true);
    expect(limits.reportedLimits()).toEqual([
      {runnerId: 'r1', perSecond: undefined, ageMs: 5_000},
    ]);
  });
});
