import {chooseRunner, type Random} from '@banyanfold/decisions';
import {quantile} from '../common/quantiles.js';
import {createRandom, exponential} from '../decisions/random.js';
import {EventQueue} from '../decisions/eventQueue.js';

const DURATION_MS = 30_000;
const WARM_UP_MS = 5_000;
const EXCHANGE_MS = 250;
/** Thousands of prompt tokens that a runner reads per second. */
const WORK_PER_SECOND = 40;
const PROMPT_WORK = 9;
/** Part of the prompt that it shares with others of its group. */
const SHARED_WORK = 6.3;
/** Groups of prompts for each runner. */
const GROUPS_PER_RUNNER = 2;
/** Prefixes that a runner has cached. */
const CACHED_GROUPS = 8;
/**
 * Share of the capacity that the prompts take if each prefix is cached where
 * its prompt goes. As some prefixes are read again, runners read for 0.75 to
 * 0.8 of the time; see the column `busy`.
 */
const LOAD = 0.7;
const MS_PER_SECOND = 1000;

export interface StreamSetup {
  entries: number;
  speeds: readonly number[];
  /** Whether the entries take the speeds into account. */
  knowsSpeeds: boolean;
  seed: number;
}

interface Runner {
  freeAtMs: number;
  cached: string[];
}

/**
 * Prompts with shared prefixes at runners that read one prompt after the other.
 */
export class StreamSimulation {
  private readonly random: Random;
  private readonly events = new EventQueue();
  private readonly runners: Runner[];
  /** Open work by entry and runner. */
  private readonly own: number[][];
  /** Open work by entry and runner as last reported by the other entries. */
  private readonly peers: number[][];
  private readonly reported: number[][];
  private readonly firstTokensMs: number[] = [];
  private readonly arrivalMs: number;
  private readMs = 0;

  constructor(private readonly setup: StreamSetup) {
    const {entries, speeds, seed} = setup;
    this.random = createRandom(seed);
    this.runners = speeds.map(() => ({freeAtMs: 0, cached: []}));
    const noWork = () => speeds.map(() => 0);
    const each = () => Array.from({length: entries}, noWork);
    [this.own, this.peers, this.reported] = [each(), each(), each()];
    const speed = speeds.reduce((sum, one) => sum + one, 0);
    const promptMs =
      ((PROMPT_WORK - SHARED_WORK) * MS_PER_SECOND) / WORK_PER_SECOND;
    this.arrivalMs = promptMs / (speed * LOAD);
  }

  /** 95th percentile of the time to first token, and the share of time read. */
  run(): {p95Ms: number; busy: number} {
    for (let entry = 0; entry < this.setup.entries; entry++) {
      const delayMs = this.random() * EXCHANGE_MS;
      this.events.after(delayMs, () => this.exchange(entry));
    }
    this.arrive();
    this.events.runUntil(DURATION_MS);
    const busy = this.readMs / DURATION_MS / this.runners.length;
    return {p95Ms: quantile(this.firstTokensMs, 0.95), busy};
  }

  private exchange(entry: number): void {
    for (const index of this.runners.keys()) {
      this.reported[entry]![index] = this.own[entry]![index]!;
      const total = this.reported.reduce((sum, work) => sum + work[index]!, 0);
      this.peers[entry]![index] = total - this.own[entry]![index]!;
    }
    this.events.after(EXCHANGE_MS, () => this.exchange(entry));
  }

  private arrive(): void {
    const entry = Math.floor(this.random() * this.setup.entries);
    const groups = this.runners.length * GROUPS_PER_RUNNER;
    const key = `g${Math.floor(this.random() * groups)}`;
    this.send(entry, key);
    const delayMs = exponential(this.random, this.arrivalMs);
    this.events.after(delayMs, () => this.arrive());
  }

  private send(entry: number, key: string): void {
    const index = this.choose(entry, key);
    const runner = this.runners[index]!;
    const isCached = runner.cached.includes(key);
    const work = isCached ? PROMPT_WORK - SHARED_WORK : PROMPT_WORK;
    runner.cached = [key, ...runner.cached.filter(other => other !== key)];
    runner.cached.length = Math.min(runner.cached.length, CACHED_GROUPS);
    const {nowMs} = this.events;
    const rate = WORK_PER_SECOND * this.setup.speeds[index]!;
    const startMs = Math.max(nowMs, runner.freeAtMs);
    this.readMs += (work * MS_PER_SECOND) / rate;
    runner.freeAtMs = startMs + (work * MS_PER_SECOND) / rate;
    this.own[entry]![index]! += PROMPT_WORK;
    const tookMs = runner.freeAtMs - nowMs;
    this.events.after(tookMs, () => {
      this.own[entry]![index]! -= PROMPT_WORK;
      if (nowMs >= WARM_UP_MS) this.firstTokensMs.push(tookMs);
    });
  }

  private choose(entry: number, key: string): number {
    const {speeds, knowsSpeeds} = this.setup;
    const candidates = speeds.map((speed, index) => ({
      runnerId: String(index),
      failureDomain: 'a',
      openWork: this.own[entry]![index]! + this.peers[entry]![index]!,
      hasAdapter: true,
      isSuspect: false,
      speed: knowsSpeeds ? speed : 1,
    }));
    const work = ((EXCHANGE_MS * 1.5) / this.arrivalMs) * PROMPT_WORK;
    const arrivals = {work, random: this.random};
    const affinity = {
      key,
      sharedWork: SHARED_WORK,
      promptWork: PROMPT_WORK,
    };
    return Number(chooseRunner(candidates, affinity, 'a', arrivals)!.runnerId);
  }
}
