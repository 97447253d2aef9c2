import type {PlainCandidate} from '../choosePlainRunner.js';

const EXCHANGE_MS = 250;
const SLOTS = 6;
const QUEUE_LENGTH = 24;
/** Mean of the last exchanges; see `MEAN_WORK_WINDOW_MS` in the gateway. */
const MEAN_WEIGHT = 1 - Math.exp(-EXCHANGE_MS / 5_000);

/** What an entry knows of a runner, with the stale work of its peers. */
export interface KnownRunner extends PlainCandidate {
  peersWork: number;
  /** Age of `peersWork` at this entry. */
  peersAgeMs: number;
  /** Calls at the runner when it last responded to this entry. */
  reportedWork: number;
  reportedMs: number;
}

export type Choose = (
  runners: readonly KnownRunner[],
  random: () => number,
  nowMs: number,
) => string;

export interface PlainLoadOptions {
  entries: number;
  runners: number;
  callMs: number;
  durationMs: number;
  /** Share of the calls that arrive at the first entry; else round-robin. */
  firstEntryShare: number;
  /** Speed of each runner; 1 by default. */
  speeds?: readonly number[];
  choose: Choose;
  seed: number;
}

interface Call {
  entry: number;
  arrivedMs: number;
  rejectedBy: Set<number>;
}

/** Deterministic generator, so that runs are repeatable. */
export function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Plain calls at 80% of the runners' capacity, on a virtual clock. */
export class PlainCallSimulation {
  private readonly random: () => number;
  private readonly known: KnownRunner[][];
  private readonly queues: Call[][];
  private readonly running: number[];
  private readonly sent: number[];
  private readonly heardMs: number[];
  /** Events by the ms in which they happen; a step of 1 ms is exact enough. */
  private readonly events = new Map<number, Array<() => void>>();
  private readonly latenciesMs: number[] = [];
  private nowMs = 0;
  private calls = 0;
  private rejected = 0;

  constructor(private readonly options: PlainLoadOptions) {
    const {entries, runners, seed} = options;
    this.random = randomOf(seed);
    this.queues = Array.from({length: runners}, () => []);
    this.running = this.queues.map(() => 0);
    this.sent = Array.from({length: entries}, () => 0);
    this.heardMs = this.sent.map(() => Number.NEGATIVE_INFINITY);
    this.known = this.sent.map(() =>
      this.queues.map((_queue, i) => ({
        runnerId: String(i),
        failureDomain: 'hall-a',
        ownWork: 0,
        meanWork: 0,
        peersWork: 0,
        peersAgeMs: 0,
        reportedWork: 0,
        reportedMs: Number.NEGATIVE_INFINITY,
        isSuspect: false,
        speed: this.speedOf(i),
      })),
    );
  }

  run(): {p95Ms: number; rejected: number} {
    const {durationMs, entries} = this.options;
    const reported = this.known.map(() => this.queues.map(() => 0));
    for (let entry = 0; entry < entries; entry++) {
      const firstMs = this.random() * EXCHANGE_MS;
      this.schedule(firstMs, () => this.exchange(entry, reported));
    }
    this.scheduleArrival();
    for (; this.nowMs < durationMs; this.nowMs++) {
      const due = this.events.get(this.nowMs) ?? [];
      this.events.delete(this.nowMs);
      for (const event of due) event();
    }
    const sorted = this.latenciesMs.sort((a, b) => a - b);
    const p95Ms = sorted[Math.floor(sorted.length * 0.95)]!;
    return {p95Ms, rejected: this.rejected};
  }

  private speedOf(runner: number): number {
    return this.options.speeds?.[runner] ?? 1;
  }

  private schedule(delayMs: number, event: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const due = this.events.get(atMs);
    if (due) due.push(event);
    else this.events.set(atMs, [event]);
  }

  private scheduleArrival(): void {
    const {callMs, runners} = this.options;
    const speeds = this.queues.map((_queue, i) => this.speedOf(i));
    const speed = speeds.reduce((sum, each) => sum + each, 0) / runners;
    const meanMs = callMs / (0.8 * SLOTS * runners * speed);
    let atMs = 0;
    while (atMs < this.options.durationMs) {
      atMs -= Math.log(1 - this.random()) * meanMs;
      this.schedule(atMs, () => this.send(this.nextCall()));
    }
  }

  private nextCall(): Call {
    const {entries, firstEntryShare} = this.options;
    const isSkewed = this.random() < firstEntryShare;
    const entry = isSkewed ? 0 : this.calls++ % entries;
    return {entry, arrivedMs: this.nowMs, rejectedBy: new Set()};
  }

  private send(call: Call): void {
    const runners = this.known[call.entry]!;
    const left = runners.filter((_runner, i) => !call.rejectedBy.has(i));
    if (left.length === 0) return;
    for (const runner of runners) {
      runner.peersAgeMs = this.nowMs - this.heardMs[call.entry]!;
    }
    const {choose} = this.options;
    const chosen = Number(choose(left, this.random, this.nowMs));
    this.sent[call.entry]! += 1;
    runners[chosen]!.lastSent = this.sent[call.entry];
    const isFull =
      this.running[chosen]! >= SLOTS &&
      this.queues[chosen]!.length >= QUEUE_LENGTH;
    if (isFull) {
      this.rejected += 1;
      call.rejectedBy.add(chosen);
      return this.send(call);
    }
    runners[chosen]!.ownWork += 1;
    if (this.running[chosen]! < SLOTS) this.start(call, chosen);
    else this.queues[chosen]!.push(call);
  }

  private start(call: Call, runner: number): void {
    this.running[runner]! += 1;
    const usualMs = this.options.callMs * (0.65 + 0.7 * this.random());
    const tookMs = usualMs / this.speedOf(runner);
    this.schedule(tookMs, () => {
      this.running[runner]! -= 1;
      this.known[call.entry]![runner]!.ownWork -= 1;
      this.latenciesMs.push(this.nowMs - call.arrivedMs);
      const next = this.queues[runner]!.shift();
      if (next) this.start(next, runner);
      const known = this.known[call.entry]![runner]!;
      known.reportedMs = this.nowMs;
      known.reportedWork = this.running[runner]! + this.queues[runner]!.length;
    });
  }

  /** Reports the entry's open work, and receives what others last reported. */
  private exchange(entry: number, reported: number[][]): void {
    this.heardMs[entry] = this.nowMs;
    for (const [i, runner] of this.known[entry]!.entries()) {
      reported[entry]![i] = runner.ownWork;
      const total = reported.reduce((sum, works) => sum + works[i]!, 0);
      runner.peersWork = total - runner.ownWork;
      runner.meanWork += (total - runner.meanWork) * MEAN_WEIGHT;
    }
    this.schedule(EXCHANGE_MS, () => this.exchange(entry, reported));
  }
}
