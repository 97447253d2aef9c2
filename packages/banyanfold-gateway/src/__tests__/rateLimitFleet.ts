import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {FleetRateLimits} from '../placement/fleetRateLimits.js';
import type {RateUse} from '../runners/rateUseMeter.js';
import {
  RunnerRateLimits,
  type FleetRateLimit,
  type KnownRateLimit,
} from '../runners/runnerRateLimits.js';

const RUNNER = 'r1';
const STEP_MS = 10;
const EXCHANGE_MS = 250;
const WINDOW_MS = 4_000;
/** From when on after it was first named a limit holds. */
const SETTLED_MS = 3_000;
const MS_PER_SECOND = 1000;

export interface RateLimitPlay {
  entries: number;
  limitPerSecond: number;
  askedPerSecond: number;
  forMs: number;
  random: () => number;
  /** The runner names its limit until then. */
  limitedUntilMs?: number;
  /** Reports and words take an exchange longer, as through a relay. */
  isRelayed?: boolean;
  /** Whether an entry hears nothing and is not heard. */
  isCut?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry does nothing at all. */
  isFrozen?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry starts anew at this step. */
  restarts?: (entry: number, nowMs: number) => boolean;
  /** Whether another process takes over from the holder at this step. */
  changesHolder?: (nowMs: number) => boolean;
}

export interface RateLimitOutcome {
  /** The most that entries which are not cut off sent in a window. */
  mostInWindow: number;
  /** Requests a second while the limit held, over what it allowed. */
  usedShare: number;
  /** When each request was sent. */
  sentMs: number[];
}

interface Entry {
  limits: RunnerRateLimits;
  /** In the order in which they reach it. */
  words: Word[];
}

interface Word {
  atMs: number;
  toldMs: number;
  limits: Record<string, FleetRateLimit>;
}

interface Report {
  atMs: number;
  limits: KnownRateLimit[];
  uses: RateUse[];
}

/** Plays requests for one rate-limited runner at entries that share a holder. */
export async function playRateLimit(
  play: RateLimitPlay,
): Promise<RateLimitOutcome> {
  const {entries: count, forMs, random, isRelayed = false} = play;
  const {limitedUntilMs = Number.POSITIVE_INFINITY} = play;
  const {isCut = never, isFrozen = never, restarts = never} = play;
  const clock = new VirtualClock();
  const logger = new MemoryLogger();
  const metrics = new Metrics();
  const start = (): Entry => ({
    limits: new RunnerRateLimits({
      clock,
      logger,
      metrics,
      random,
      entries: () => count,
    }),
    words: [],
  });
  const entries = Array.from({length: count}, start);
  let holder = new FleetRateLimits(clock);
  const reports: Report[] = [];
  const delayMs = isRelayed ? EXCHANGE_MS : 0;
  const sent: Array<{atMs: number; isCounted: boolean}> = [];

  const exchange = (entry: Entry, nowMs: number) => {
    const {limits, words} = entry;
    reports.push({
      atMs: nowMs + delayMs,
      limits: limits.reportedLimits().map(limit => ({
        ...limit,
        ageMs: limit.ageMs + delayMs,
      })),
      uses: limits.takeReports(),
    });
    while (reports.length > 0 && reports[0]!.atMs <= nowMs) {
      const report = reports.shift()!;
      holder.recordLimits(report.limits);
      holder.recordUse(report.uses);
    }
    words.push({
      atMs: nowMs + delayMs,
      toldMs: nowMs,
      limits: holder.snapshot(),
    });
    while (words.length > 0 && words[0]!.atMs <= nowMs) {
      const word = words.shift()!;
      limits.applyFleetLimits(word.limits, nowMs - word.toldMs, isRelayed);
    }
    limits.prune(() => true);
  };

  const send = (entry: Entry, isCounted: boolean, nowMs: number) => {
    if (entry.limits.acquire(RUNNER).kind === 'refuse') return;
    sent.push({atMs: nowMs, isCounted});
    const isLimited = nowMs < limitedUntilMs;
    const facts = {
      signed: true,
      notExecuted: false,
      fromOtherRunner: false,
      encoded: false,
      requestsPerSecond: isLimited ? play.limitPerSecond : undefined,
    };
    entry.limits.recordAnswer(RUNNER, facts, nowMs);
  };

  for (let nowMs = 0; nowMs < forMs; nowMs += STEP_MS) {
    if (play.changesHolder?.(nowMs)) holder = new FleetRateLimits(clock);
    for (let i = 0; i < count; i++) {
      if (restarts(i, nowMs)) entries[i] = start();
      if (isCut(i, nowMs) || isFrozen(i, nowMs)) continue;
      const isDue = (nowMs + i * STEP_MS) % EXCHANGE_MS === 0;
      if (isDue) exchange(entries[i]!, nowMs);
    }
    let due = (play.askedPerSecond * STEP_MS) / MS_PER_SECOND;
    while (due > 0 && random() < due) {
      due -= 1;
      // Callers are spread unevenly.
      const at = Math.floor(random() ** 1.3 * count);
      if (isFrozen(at, nowMs)) continue;
      send(entries[at]!, !isCut(at, nowMs), nowMs);
    }
    await clock.advance(STEP_MS);
  }
  return outcomeOf(sent, play);
}

function outcomeOf(
  sent: ReadonlyArray<{atMs: number; isCounted: boolean}>,
  {limitPerSecond, forMs, limitedUntilMs = forMs}: RateLimitPlay,
): RateLimitOutcome {
  const inForce = sent.filter(
    ({atMs}) => atMs >= SETTLED_MS && atMs < limitedUntilMs,
  );
  const counted = inForce.filter(({isCounted}) => isCounted);
  let mostInWindow = 0;
  let first = 0;
  for (const [i, {atMs}] of counted.entries()) {
    while (counted[first]!.atMs <= atMs - WINDOW_MS) first += 1;
    mostInWindow = Math.max(mostInWindow, i - first + 1);
  }
  const seconds = (limitedUntilMs - SETTLED_MS) / MS_PER_SECOND;
  return {
    mostInWindow,
    usedShare: inForce.length / (seconds * limitPerSecond),
    sentMs: sent.map(({atMs}) => atMs),
  };
}

function never(): boolean {
  return false;
}
