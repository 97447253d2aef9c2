import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {CrashLedger} from '../crashes/crashLedger.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {joinFingerprints} from '@banyanfold/decisions';
import {DEFAULT_OPTIONS} from '../options.js';
import {urgentIntervalMs} from '../peers/urgentIntervalMs.js';

const STEP_MS = 10;
const MS_PER_SECOND = 1000;
const RUNNERS = 40;
/** Time from arrival at a runner to the first event, and to the last one. */
const PREFILL_MS = 100;
const ANSWER_MS = 500;
/** Time from the first event to the crash. */
const CRASH_AFTER_MS = 30;
const LIVED_ON_MS = 300;
const RUNNER_DOWN_MS = 2_000;
const MAX_ATTEMPTS = 2;
const DEADLINE_MS = 4_000;
const TRIAL_POLL_MS = 150;
const STORE_READ_MS = 2_000;
const HOLDER_TIMEOUT_MS = 1_500;
/** Number of entries from which exchanges go through relays. */
const RELAYED_ENTRIES = 16;
const ENTRIES_PER_RELAY = 11;
const KNOWN_CRASHES = 5;
const SOUND_FROM_MS = 2_000;

export interface CrashFleetScenario {
  entries: number;
  /** Time within which all entries have to know of the cause. */
  contactMs: number;
  random: () => number;
  durationMs?: number;
  soundPerSecond?: number;
  crashingPerSecond?: number;
  /** Parts that crash runners; each crashing request has one of them. */
  crashingParts?: readonly string[];
  /** Whether an entry is frozen. */
  isFrozen?(entry: number, nowMs: number): boolean;
  /** Whether an entry reaches no other entry, but the store and runners. */
  isCutOff?(entry: number, nowMs: number): boolean;
  /** Whether an entry restarts at this step. */
  restarts?(entry: number, nowMs: number): boolean;
  /** Whether no holder is there. */
  isVacant?(nowMs: number): boolean;
  /** Runners that fail together at this step, without a request's fault. */
  failingRunners?(nowMs: number): number;
}

export interface CrashFleetOutcome {
  crashes: number;
  /** Arrivals of crashing requests after all entries have to know the part. */
  lateArrivals: number;
  /** Share of sound requests that were answered completely, from then on. */
  soundShare: number;
  /** Keys in quarantine at the end. */
  quarantined: string[];
}

interface Entry {
  index: number;
  suspects: CrashSuspects;
  nextExchangeMs: number;
  lastExchangeMs: number;
  holderMs: number;
  storeReadMs: number;
  /** Time of the last event after which it may not be up to date. */
  disturbedMs: number;
}

interface Request {
  entry: Entry;
  fingerprints: string[];
  isCrashing: boolean;
  bornMs: number;
  attempts: number;
  nextTryMs: number;
  trialKey?: string;
  isDone: boolean;
  isServed: boolean;
}

interface Run {
  request: Request;
  arrivedMs: number;
}

interface Runner {
  id: string;
  incarnation: number;
  upMs: number;
  runs: Run[];
}

/**
 * Simulates entries that share a holder, callers whose prompts share parts, and
 * runners that crash by some of these parts.
 */
export class CrashFleet {
  private readonly clock = new VirtualClock();
  private readonly entries: Entry[] = [];
  private readonly runners: Runner[];
  private readonly requests: Request[] = [];
  private readonly crashesMs: number[] = [];
  private readonly arrivals: Array<{atMs: number; entry: Entry}> = [];
  private readonly answers: Array<{dueMs: number; request: Request}> = [];
  private readonly stored = new Set<string>();
  private ledger: CrashLedger;
  private holders = 0;
  private wasVacant = false;

  constructor(private readonly scenario: CrashFleetScenario) {
    this.ledger = this.newLedger();
    for (let i = 0; i < scenario.entries; i++) {
      this.entries.push(this.newEntry(i, 0));
    }
    this.runners = Array.from({length: RUNNERS}, (_, i) => ({
      id: `r${i}`,
      incarnation: 1,
      upMs: 0,
      runs: [],
    }));
  }

  async play(): Promise<CrashFleetOutcome> {
    const {durationMs = 14_000} = this.scenario;
    while (this.clock.nowMs() < durationMs) {
      this.step(this.clock.nowMs());
      await this.clock.advance(STEP_MS);
    }
    return this.outcome();
  }

  private step(nowMs: number): void {
    const {scenario} = this;
    this.disturb(nowMs);
    const {soundPerSecond = 150, crashingPerSecond = 8} = scenario;
    this.send(nowMs, soundPerSecond, false);
    if (nowMs >= SOUND_FROM_MS) this.send(nowMs, crashingPerSecond, true);
    for (const runner of this.runners) this.run(runner, nowMs);
    const failing = scenario.failingRunners?.(nowMs) ?? 0;
    for (const runner of this.runners.slice(0, failing)) {
      this.crash(runner, nowMs);
    }
    this.noteAnswers(nowMs);
    for (const request of this.requests) {
      if (!request.isDone && request.nextTryMs <= nowMs) {
        this.tryRequest(request, nowMs);
      }
    }
    for (const entry of this.entries) this.synchronise(entry, nowMs);
  }

  private disturb(nowMs: number): void {
    const {restarts, isVacant} = this.scenario;
    const vacant = isVacant?.(nowMs) ?? false;
    if (this.wasVacant && !vacant) this.ledger = this.newLedger();
    this.wasVacant = vacant;
    for (const [i, entry] of this.entries.entries()) {
      if (restarts?.(i, nowMs)) {
        for (const request of this.requests) {
          if (request.entry === entry) request.isDone = true;
        }
        this.entries[i] = this.newEntry(i, nowMs);
      }
      if (this.isFrozen(entry, nowMs)) entry.disturbedMs = nowMs;
    }
  }

  private send(nowMs: number, perSecond: number, isCrashing: boolean): void {
    const {random, crashingParts = ['part/bad']} = this.scenario;
    let due = (perSecond * STEP_MS) / MS_PER_SECOND;
    for (; due > 0; due -= 1) {
      if (random() >= due) continue;
      const entry = this.pick(this.entries);
      if (this.isFrozen(entry, nowMs)) continue;
      const first = `part/f${Math.floor(random() * 4)}`;
      const second = `part/s${Math.floor(random() * 6)}`;
      const bad = isCrashing ? [this.pick(crashingParts)] : [];
      this.requests.push({
        entry,
        fingerprints: [
          `request-${this.requests.length}`,
          first,
          ...bad,
          second,
        ],
        isCrashing,
        bornMs: nowMs,
        attempts: 0,
        nextTryMs: nowMs,
        isDone: false,
        isServed: false,
      });
    }
  }

  private tryRequest(request: Request, nowMs: number): void {
    const {entry, fingerprints, bornMs} = request;
    if (this.isFrozen(entry, nowMs)) return;
    const verdict = entry.suspects.verdictOf(fingerprints);
    const isExpired = nowMs - bornMs > DEADLINE_MS;
    if (verdict === 'quarantined' || isExpired) {
      request.isDone = true;
      return;
    }
    const up = this.runners.filter(({upMs}) => upMs <= nowMs);
    if (verdict === undefined) {
      this.arrive(request, this.pick(up), nowMs);
      return;
    }
    request.nextTryMs = nowMs + TRIAL_POLL_MS;
    if (!this.reachesHolder(entry, nowMs)) return;
    const key = joinFingerprints(entry.suspects.suspectsAmong(fingerprints));
    const {runnerId} = this.ledger.permitTrial({
      fingerprint: key,
      runnerIds: up.map(({id}) => id),
      forMs: DEADLINE_MS,
    });
    const runner = this.runners.find(({id}) => id === runnerId);
    if (!runner) return;
    request.trialKey = key;
    this.arrive(request, runner, nowMs);
  }

  private arrive(request: Request, runner: Runner, nowMs: number): void {
    request.attempts += 1;
    request.nextTryMs = Number.POSITIVE_INFINITY;
    runner.runs.push({request, arrivedMs: nowMs});
    if (request.isCrashing) {
      this.arrivals.push({atMs: nowMs, entry: request.entry});
    }
  }

  private run(runner: Runner, nowMs: number): void {
    const crashing = runner.runs.some(
      ({request, arrivedMs}) =>
        request.isCrashing && nowMs - arrivedMs >= PREFILL_MS + CRASH_AFTER_MS,
    );
    if (crashing) {
      this.crash(runner, nowMs);
      return;
    }
    const ended = runner.runs.filter(
      ({arrivedMs}) => nowMs - arrivedMs >= ANSWER_MS,
    );
    runner.runs = runner.runs.filter(run => !ended.includes(run));
    for (const {request} of ended) {
      request.isServed = !request.isDone;
      request.isDone = true;
      this.answers.push({dueMs: nowMs + LIVED_ON_MS, request});
    }
  }

  private crash(runner: Runner, nowMs: number): void {
    const crashId = `${runner.id}@${runner.incarnation}`;
    const inFlight = new Map<Entry, string[]>();
    for (const {request} of runner.runs) {
      const known = inFlight.get(request.entry) ?? [];
      inFlight.set(request.entry, [...known, ...request.fingerprints]);
      if (request.attempts >= MAX_ATTEMPTS) request.isDone = true;
      request.nextTryMs = nowMs;
      request.trialKey = undefined;
    }
    for (const [entry, fingerprints] of inFlight) {
      entry.suspects.noteCrash({crashId, fingerprints});
    }
    if (runner.runs.some(({request}) => request.isCrashing)) {
      this.crashesMs.push(nowMs);
    }
    runner.runs = [];
    runner.incarnation += 1;
    runner.upMs = nowMs + RUNNER_DOWN_MS;
  }

  private noteAnswers(nowMs: number): void {
    while (this.answers.length > 0 && this.answers[0]!.dueMs <= nowMs) {
      const {request} = this.answers.shift()!;
      const {suspects} = request.entry;
      suspects.noteServed(request.fingerprints);
      if (request.trialKey !== undefined) {
        suspects.noteTrialOver(request.trialKey, false);
      }
    }
  }

  /** Exchanges with the holder when due, or else reads the store. */
  private synchronise(entry: Entry, nowMs: number): void {
    if (this.isFrozen(entry, nowMs)) return;
    if (nowMs >= entry.nextExchangeMs && this.reachesHolder(entry, nowMs)) {
      this.exchange(entry, nowMs);
    }
    const isWithoutHolder = nowMs - entry.holderMs > HOLDER_TIMEOUT_MS;
    const isReadDue = nowMs - entry.storeReadMs >= STORE_READ_MS;
    if (isWithoutHolder && isReadDue && entry.suspects.hasCrashData) {
      this.readStore(entry, nowMs);
    }
  }

  private exchange(entry: Entry, nowMs: number): void {
    const {exchangeIntervalMs} = DEFAULT_OPTIONS;
    entry.nextExchangeMs = nowMs + exchangeIntervalMs;
    entry.lastExchangeMs = nowMs;
    const {suspects} = entry;
    const relay = this.relayOf(entry, nowMs);
    if (relay) {
      relay.suspects.forward(suspects.pendingReport());
      suspects.acknowledge();
      suspects.applyList(relay.suspects.suspectListFor(suspects.knownVersion));
    } else {
      const report = suspects.pendingReport();
      if (report) this.ledger.addReport(report);
      suspects.acknowledge();
      suspects.applyList(this.ledger.suspectListFor(suspects.knownVersion));
    }
    entry.holderMs = nowMs;
  }

  /** Undefined for an entry that is a relay itself or needs none. */
  private relayOf(entry: Entry, nowMs: number): Entry | undefined {
    if (this.scenario.entries < RELAYED_ENTRIES) return undefined;
    const relay = this.entries[entry.index - (entry.index % ENTRIES_PER_RELAY)];
    if (!relay || relay === entry) return undefined;
    const isUsable = nowMs - relay.holderMs < HOLDER_TIMEOUT_MS;
    return isUsable && !this.isFrozen(relay, nowMs) ? relay : undefined;
  }

  private expedite(entry: Entry): void {
    const urgentMs = urgentIntervalMs(this.scenario.entries, DEFAULT_OPTIONS);
    entry.nextExchangeMs = Math.min(
      entry.nextExchangeMs,
      entry.lastExchangeMs + urgentMs,
    );
  }

  private readStore(entry: Entry, nowMs: number): void {
    entry.storeReadMs = nowMs;
    entry.suspects.noteStoredQuarantine(
      new Map([...this.stored].map(key => [key, 3_600_000])),
    );
  }

  private reachesHolder({index}: Entry, nowMs: number): boolean {
    const {isVacant, isCutOff} = this.scenario;
    return !isVacant?.(nowMs) && !isCutOff?.(index, nowMs);
  }

  private isFrozen({index}: Entry, nowMs: number): boolean {
    return this.scenario.isFrozen?.(index, nowMs) ?? false;
  }

  private newLedger(): CrashLedger {
    this.holders += 1;
    return new CrashLedger({
      clock: this.clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      epoch: `h${this.holders}`,
      onQuarantine: key => this.stored.add(key),
      onRelease: key => this.stored.delete(key),
    });
  }

  private newEntry(index: number, nowMs: number): Entry {
    const suspects = new CrashSuspects(this.clock);
    const {exchangeIntervalMs} = DEFAULT_OPTIONS;
    const entry: Entry = {
      index,
      suspects,
      nextExchangeMs: nowMs + ((index * STEP_MS) % exchangeIntervalMs),
      lastExchangeMs: nowMs,
      holderMs: nowMs,
      storeReadMs: nowMs,
      disturbedMs: nowMs === 0 ? Number.NEGATIVE_INFINITY : nowMs,
    };
    suspects.onReport = () => this.expedite(entry);
    this.readStore(entry, nowMs);
    return entry;
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.scenario.random() * values.length)]!;
  }

  private outcome(): CrashFleetOutcome {
    const {contactMs} = this.scenario;
    const lastMs =
      this.crashesMs[KNOWN_CRASHES - 1] ?? this.crashesMs.at(-1) ?? 0;
    const late = this.arrivals.filter(
      ({atMs, entry}) =>
        atMs > lastMs + contactMs && atMs > entry.disturbedMs + contactMs,
    );
    const sound = this.requests.filter(
      ({isCrashing, bornMs}) =>
        !isCrashing &&
        bornMs > lastMs + 2 * contactMs &&
        bornMs < this.clock.nowMs() - MS_PER_SECOND,
    );
    const served = sound.filter(({isServed}) => isServed);
    const {suspects: listed = []} = this.ledger.suspectListFor(undefined);
    return {
      crashes: this.crashesMs.length,
      lateArrivals: late.length,
      soundShare: served.length / sound.length,
      quarantined: listed
        .filter(({quarantinedMs}) => quarantinedMs !== undefined)
        .map(({fingerprint}) => fingerprint),
    };
  }
}
