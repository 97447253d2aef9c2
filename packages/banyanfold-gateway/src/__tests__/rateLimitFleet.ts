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
/** Time after which a limit is known everywhere and has to hold. */
const SETTLING_MS = 3_000;
const MS_PER_SECOND = 1000;

export interface RateLimitScenario {
  entries: number;
  limitPerSecond: number;
  askedPerSecond: number;
  durationMs: number;
  random: () => number;
  /** Time until which the runner sets its limit. */
  limitedUntilMs?: number;
  /**
   * Whether reports and answers take one exchange longer, as through a relay.
   */
  isRelayed?: boolean;
  /** Whether no entry reaches the holder. */
  isUnreachable?: (nowMs: number) => boolean;
  /** Whether an entry, whose requests don't count, is disconnected from it. */
  isDisconnected?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry is frozen. */
  isFrozen?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry restarts at this step. */
  restarts?: (entry: number, nowMs: number) => boolean;
  /** Whether another process becomes the holder at this step. */
  changesHolder?: (nowMs: number) => boolean;
  /**
   * Requests count from an entry that has known the limit for this long; all of
   * them by default.
   */
  countedAfterMs?: number;
}

export interface RateLimitOutcome {
  /** Maximum number of requests in a window from entries that are connected. */
  mostInWindow: number;
  /** Requests per second while the limit held, relative to the limit. */
  usedShare: number;
  /** When each request was sent. */
  sentMs: number[];
}

interface Entry {
  limits: RunnerRateLimits;
  /** When it received its first answer of the runner with a limit. */
  knownSinceMs: number | undefined;
  /** In the order of delivery. */
  answers: HolderAnswer[];
}

interface HolderAnswer {
  atMs: number;
  sentMs: number;
  limits: Record<string, FleetRateLimit>;
}

interface Report {
  atMs: number;
  limits: KnownRateLimit[];
  uses: RateUse[];
}

/**
 * Simulates requests to one rate-limited runner from entries that share a
 * holder.
 */
export async function simulateRateLimit(
  scenario: RateLimitScenario,
): Promise<RateLimitOutcome> {
  const {entries: count, durationMs, random, isRelayed = false} = scenario;
  const {limitedUntilMs = Number.POSITIVE_INFINITY} = scenario;
  const {countedAfterMs} = scenario;
  const {isDisconnected = never, isFrozen = never, restarts = never} = scenario;
  const clock = new VirtualClock();
  const logger = new MemoryLogger();
  const metrics = new Metrics();
  const start = (): Entry => ({
    limits: new RunnerRateLimits({
      clock,
      logger,
      metrics,
      random,
    }),
    knownSinceMs: undefined,
    answers: [],
  });
  const entries = Array.from({length: count}, start);
  let holder = new FleetRateLimits(clock);
  const reports: Report[] = [];
  const delayMs = isRelayed ? EXCHANGE_MS : 0;
  const sent: Array<{atMs: number; isCounted: boolean}> = [];

  const exchange = (entry: Entry, nowMs: number) => {
    const {limits, answers} = entry;
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
    answers.push({
      atMs: nowMs + delayMs,
      sentMs: nowMs,
      limits: holder.snapshot(),
    });
    while (answers.length > 0 && answers[0]!.atMs <= nowMs) {
      const answer = answers.shift()!;
      limits.applyFleetLimits(answer.limits, nowMs - answer.sentMs, isRelayed);
    }
    limits.prune(() => true);
  };

  const hasKnownLimit = ({knownSinceMs}: Entry, nowMs: number) =>
    countedAfterMs === undefined ||
    (knownSinceMs !== undefined && nowMs - knownSinceMs >= countedAfterMs);

  const send = (entry: Entry, isConnected: boolean, nowMs: number) => {
    if (entry.limits.acquire(RUNNER).kind === 'refuse') return;
    const isCounted = isConnected && hasKnownLimit(entry, nowMs);
    sent.push({atMs: nowMs, isCounted});
    const isLimited = nowMs < limitedUntilMs;
    if (isLimited) entry.knownSinceMs ??= nowMs;
    const facts = {
      signed: true,
      notExecuted: false,
      fromOtherRunner: false,
      isLeaving: false,
      encoded: false,
      requestsPerSecond: isLimited ? scenario.limitPerSecond : undefined,
    };
    entry.limits.recordAnswer(RUNNER, facts, nowMs);
  };

  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (scenario.changesHolder?.(nowMs)) holder = new FleetRateLimits(clock);
    for (let i = 0; i < count; i++) {
      if (restarts(i, nowMs)) entries[i] = start();
      if (scenario.isUnreachable?.(nowMs)) continue;
      if (isDisconnected(i, nowMs) || isFrozen(i, nowMs)) continue;
      const isDue = (nowMs + i * STEP_MS) % EXCHANGE_MS === 0;
      if (isDue) exchange(entries[i]!, nowMs);
    }
    let due = (scenario.askedPerSecond * STEP_MS) / MS_PER_SECOND;
    while (due > 0 && random() < due) {
      due -= 1;
      // Requests are distributed unevenly.
      const at = Math.floor(random() ** 1.3 * count);
      if (isFrozen(at, nowMs)) continue;
      send(entries[at]!, !isDisconnected(at, nowMs), nowMs);
    }
    await clock.advance(STEP_MS);
  }
  return outcomeOf(sent, scenario);
}

function outcomeOf(
  sent: ReadonlyArray<{atMs: number; isCounted: boolean}>,
  {limitPerSecond, durationMs, limitedUntilMs = durationMs}: RateLimitScenario,
): RateLimitOutcome {
  const inForce = sent.filter(
    ({atMs}) => atMs >= SETTLING_MS && atMs < limitedUntilMs,
  );
  const counted = inForce.filter(({isCounted}) => isCounted);
  let mostInWindow = 0;
  let first = 0;
  for (const [i, {atMs}] of counted.entries()) {
    while (counted[first]!.atMs <= atMs - WINDOW_MS) first += 1;
    mostInWindow = Math.max(mostInWindow, i - first + 1);
  }
  const seconds = (limitedUntilMs - SETTLING_MS) / MS_PER_SECOND;
  return {
    mostInWindow,
    usedShare: inForce.length / (seconds * limitPerSecond),
    sentMs: sent.map(({atMs}) => atMs),
  };
}

function never(): boolean {
  return false;
}
