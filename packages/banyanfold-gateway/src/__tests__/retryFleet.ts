import {MemoryLogger, Metrics, sleep, VirtualClock} from '@banyanfold/core';
import {RetryGrants} from '../placement/retryGrants.js';
import {RequestPermits} from '../requests/requestPermits.js';
import {GRANTED_FOR_MS, RetryBudgets} from '../requests/retryBudgets.js';
import {randomOf} from './randomOf.js';

export const RETRY_RATIO = 0.2;
export const RETRY_WINDOW_MS = 10_000;
const USED_SHARE = 0.85;
const LEASE_TTL_MS = 1_000;
const STEP_MS = 100;
const MS_PER_SECOND = 1000;
const SERVICE = 'desk';

/** Which entry gets the next request. */
const SPLITS = {
  even: (entries: number, random: number) => Math.floor(random * entries),
  one: () => 0,
  half: (entries: number, random: number) => Math.floor((random * entries) / 2),
  skewed: (entries: number, random: number) =>
    Math.floor(random ** 4 * entries),
} as const;

/** Numbers of entries that the holder may count, right or wrong. */
const COUNTS = {
  right: (entries: number) => entries,
  one: () => 1,
  tooMany: (entries: number) => entries * 10,
} as const;

/** How the holder answers requests for permits. */
const ANSWERS = {
  atOnce: () => 0,
  late: (random: number) => random * 3_000,
  never: () => Infinity,
} as const;

export type Split = keyof typeof SPLITS;
export type Count = keyof typeof COUNTS;
export type Answer = keyof typeof ANSWERS;
export const ALL_SPLITS = Object.keys(SPLITS) as Split[];
export const ALL_COUNTS = Object.keys(COUNTS) as Count[];
export const ALL_ANSWERS = Object.keys(ANSWERS) as Answer[];

/** Entries that lose their state at the same time. */
interface Restart {
  atMs: number;
  share: number;
}

export interface RetryPlay {
  entries: number;
  retrySlack: number;
  count: Count;
  answer: Answer;
  split: Split;
  /** Requests per second over all entries, in each phase. */
  phases: ReadonlyArray<{requestsPerSecond: number; lastsMs: number}>;
  /** Runners reject requests from then on. */
  rejectingFromMs: number;
  /** Share of the requests that runners reject. */
  rejectedShare: number;
  /** How often runners reject each request that is retried. */
  rejections: number;
  /** How long a retry waits before it is sent. */
  waitMs: number;
  restarts: readonly Restart[];
  /**
   * When another process becomes the holder. The one before goes on granting
   * until its lease has expired.
   */
  holderChangesMs: readonly number[];
  seed: number;
}

/** What happened over all entries. */
export interface RetryOutcome {
  requests: number;
  retries: number;
  /** Retries beyond what their window allows, in the worst window. */
  mostExcess: number;
  /** Requests for permits that the holder got. */
  asked: number;
}

/** Counts by step, from which the counts of windows are summed. */
class StepCounts {
  private readonly counts: number[] = [];

  add(atMs: number, count: number): void {
    const step = Math.floor(atMs / STEP_MS);
    this.counts[step] = (this.counts[step] ?? 0) + count;
  }

  get total(): number {
    return this.sum(0, this.counts.length);
  }

  /** Sum over steps from `from` up to but not including `to`. */
  sum(from: number, to: number): number {
    let sum = 0;
    for (let step = Math.max(0, from); step < to; step++) {
      sum += this.counts[step] ?? 0;
    }
    return sum;
  }
}

interface ModelEntry {
  budgets: RetryBudgets;
  hasEnded: boolean;
}

/** Plays requests that runners reject at entries that share a retry budget. */
class RetryFleet {
  readonly requests = new StepCounts();
  readonly retries = new StepCounts();
  asked = 0;
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  private entries: ModelEntry[];
  private grants: RetryGrants;
  /** Of the holder before, which doesn't know of the change yet. */
  private formerGrants: RetryGrants | undefined;
  private formerUntilMs = 0;

  constructor(private readonly play: RetryPlay) {
    this.random = randomOf(play.seed);
    this.grants = this.startHolder(true);
    this.entries = Array.from({length: play.entries}, () => this.startEntry());
  }

  async run(): Promise<void> {
    const {phases, rejectingFromMs, rejectedShare, rejections} = this.play;
    let due = 0;
    for (const {requestsPerSecond, lastsMs} of phases) {
      for (let playedMs = 0; playedMs < lastsMs; playedMs += STEP_MS) {
        const nowMs = this.clock.nowMs();
        this.applyFaults(nowMs);
        due += (requestsPerSecond * STEP_MS) / MS_PER_SECOND;
        const arrived = Math.floor(due);
        due -= arrived;
        this.requests.add(nowMs, arrived);
        const share = nowMs < rejectingFromMs ? 0 : rejectedShare;
        for (let i = 0; i < arrived; i++) {
          void this.request(this.random() < share ? rejections : 0);
        }
        await this.clock.advance(STEP_MS);
      }
    }
  }

  private applyFaults(nowMs: number): void {
    const isDue = (atMs: number) => atMs >= nowMs && atMs < nowMs + STEP_MS;
    for (const {atMs, share} of this.play.restarts) {
      if (!isDue(atMs)) continue;
      this.entries = this.entries.map(entry => {
        if (this.random() >= share) return entry;
        entry.hasEnded = true;
        return this.startEntry();
      });
    }
    if (this.play.holderChangesMs.some(isDue)) {
      this.formerGrants = this.grants;
      this.formerUntilMs = nowMs + LEASE_TTL_MS;
      this.grants = this.startHolder(false);
    }
  }

  private startEntry(): ModelEntry {
    const {clock, random} = this;
    const budgets = new RetryBudgets({
      logger: new MemoryLogger(),
      clock,
      metrics: new Metrics(),
      retryRatio: RETRY_RATIO,
      retryWindowMs: RETRY_WINDOW_MS,
      usedShare: USED_SHARE,
      requestGrant: (service, count) => this.requestGrant(service, count),
      random,
    });
    return {budgets, hasEnded: false};
  }

  private startHolder(isFirst: boolean): RetryGrants {
    const {entries, retrySlack, count} = this.play;
    const grants = new RetryGrants({
      clock: this.clock,
      permitsPerWindow: retrySlack * USED_SHARE,
      windowMs: RETRY_WINDOW_MS,
      grantedForMs: GRANTED_FOR_MS,
      leaseTtlMs: LEASE_TTL_MS,
      entryCount: () => COUNTS[count](entries),
    });
    grants.begin(isFirst);
    return grants;
  }

  private async requestGrant(service: string, count: number) {
    this.asked += 1;
    const delayMs = ANSWERS[this.play.answer](this.random());
    if (delayMs === Infinity) return new Promise<undefined>(() => {});
    const grant = this.askedHolder().grant(service, count);
    if (delayMs > 0) await sleep(this.clock, delayMs);
    return grant;
  }

  /** Either of two holders while both take themselves for the holder. */
  private askedHolder(): RetryGrants {
    const isFormerHolding = this.clock.nowMs() < this.formerUntilMs;
    const asksFormer = isFormerHolding && this.random() < 0.5;
    return (asksFormer && this.formerGrants) || this.grants;
  }

  private async request(rejections: number): Promise<void> {
    const {clock, play} = this;
    const pick = SPLITS[play.split](play.entries, this.random());
    const entry = this.entries[pick]!;
    const budget = entry.budgets.of(SERVICE);
    const permits = new RequestPermits(clock, () => budget);
    budget.recordRequest();
    permits.noteAttempt();
    permits.noteResult(true);
    let rejectionsLeft = rejections;
    while (rejectionsLeft > 0 && (await permits.obtain())) {
      if (play.waitMs > 0) await sleep(clock, play.waitMs);
      if (entry.hasEnded) return;
      if (!permits.maySend) continue;
      permits.noteAttempt();
      this.retries.add(clock.nowMs(), 1);
      permits.noteResult(true);
      rejectionsLeft -= 1;
    }
    permits.end();
  }
}

/**
 * Plays rejected requests, and counts retries as a deployment does.
 *
 * @example (await simulateRetries(play)).mostExcess // at most 0
 */
export async function simulateRetries(play: RetryPlay): Promise<RetryOutcome> {
  const fleet = new RetryFleet(play);
  await fleet.run();
  const {requests, retries, asked} = fleet;
  const windowSteps = RETRY_WINDOW_MS / STEP_MS;
  const steps =
    play.phases.reduce((sum, {lastsMs}) => sum + lastsMs, 0) / STEP_MS;
  let mostExcess = Number.NEGATIVE_INFINITY;
  for (let from = 0; from < steps; from++) {
    const counted = [0, windowSteps, windowSteps / 2].map(before =>
      requests.sum(from - before, from - before + windowSteps),
    );
    const allowed = RETRY_RATIO * Math.max(...counted) + play.retrySlack;
    const excess = retries.sum(from, from + windowSteps) - allowed;
    mostExcess = Math.max(mostExcess, excess);
  }
  return {
    requests: requests.total,
    retries: retries.total,
    mostExcess,
    asked,
  };
}
