import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {playRateLimit, type RateLimitPlay} from './rateLimitFleet.js';

const WINDOW_S = 4;
const FOR_MS = 16_000;

/** Mulberry32, so that a seed plays the same load each time. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** What a runner that names a limit may get in a window at most. */
function allowed(limitPerSecond: number): number {
  return limitPerSecond * WINDOW_S * 1.5 + 5;
}

const LOADS = [2, 26, 730].flatMap(entries =>
  [0.25, 1, 6.5, 50].flatMap(limitPerSecond =>
    [1.5, 12].map(times => ({
      entries,
      limitPerSecond,
      askedPerSecond: Math.max(4, limitPerSecond * times),
    })),
  ),
);

type Trouble = Partial<RateLimitPlay>;

const TROUBLES: Record<string, Trouble> = {
  'by one exchange': {},
  'through relays': {isRelayed: true},
  'while an entry is frozen': {
    isFrozen: (entry, nowMs) => entry === 0 && nowMs > 5_000 && nowMs < 8_000,
  },
  'while an entry is cut off': {
    isCut: (entry, nowMs) => entry === 1 && nowMs > 5_000 && nowMs < 9_000,
  },
  'while entries start anew': {
    restarts: (entry, nowMs) =>
      nowMs % 2_000 === 0 && entry === (nowMs / 2_000) % 3,
  },
  'while the holder changes': {
    changesHolder: nowMs => nowMs % 5_000 === 1_000,
  },
  'while nobody hears the holder': {
    isCut: (_entry, nowMs) => nowMs > 6_000 && nowMs < 9_000,
  },
};

describe('the use of a rate-limited runner over all entries', () => {
  // Guards against a runner in need that gets more than it named.
  it.each(Object.entries(TROUBLES))(
    'stays within the limit, heard of %s',
    async (_name, trouble) => {
      const over: string[] = [];
      for (const [i, load] of LOADS.entries()) {
        const random = randomOf(i + 1);
        const play = {...load, ...trouble, random, forMs: FOR_MS};
        const {mostInWindow} = await playRateLimit(play);
        const {entries, limitPerSecond, askedPerSecond} = load;
        if (mostInWindow <= allowed(limitPerSecond)) continue;
        over.push(
          `${entries} entries, ${limitPerSecond}/s of ${askedPerSecond}/s: ${mostInWindow}`,
        );
      }
      expect(over).toEqual([]);
    },
    120_000,
  );

  // Guards against a limited runner that is left idle while callers are refused.
  it.each([2, 26, 730])('uses most of the limit from %i entries', async n => {
    for (const limitPerSecond of [1, 6.5, 50]) {
      const {usedShare} = await playRateLimit({
        entries: n,
        limitPerSecond,
        askedPerSecond: limitPerSecond * 6,
        forMs: FOR_MS,
        random: randomOf(5),
      });
      expect(usedShare).toBeGreaterThan(0.7);
    }
  });

  // Guards against a runner that is kept from its share after its need is over.
  it('sends what is asked soon after the limit is lifted', async () => {
    for (const entries of [2, 26]) {
      const {sentMs} = await playRateLimit({
        entries,
        limitPerSecond: 1,
        askedPerSecond: 40,
        limitedUntilMs: 10_000,
        forMs: FOR_MS,
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
    encoded: false,
    requestsPerSecond,
  });

  function createLimits(clock: VirtualClock) {
    return new RunnerRateLimits({
      clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      random: () => 0.5,
      entries: () => 3,
    });
  }

  // Guards against a limit lifted for all by an answer that lay unread meanwhile.
  it('lifts no limit by the answer to an older request', async () => {
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

  // Guards against a limit that grows younger each time that it is told.
  it('tells only of limits that its own requests met', async () => {
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

  // Guards against a limit that a new holder hears of from nobody.
  it('goes on telling of its own limits after the holder has told them', async () => {
    const clock = new VirtualClock();
    const limits = createLimits(clock);
    await clock.advance(1_000);
    limits.recordAnswer('r1', answer(1), 900);
    await clock.advance(50);
    // The way there and back took 10 ms.
    const use = {used: 0, askedPerSecond: 0};
    limits.applyFleetLimits({r1: {perSecond: 1, ageMs: 40, ...use}}, 0, false);
    expect(limits.reportedLimits()).toEqual([
      {runnerId: 'r1', perSecond: 1, ageMs: 50},
    ]);
  });

  // Guards against a limit that comes back as its lifting is forgotten too soon.
  it('tells of a limit that a slow answer has lifted', async () => {
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
