import {GB, type WorkKind} from '../deployments.js';
import type {EventQueue} from '../eventQueue.js';

/** What an engine is asked to run. */
export interface EngineJob {
  artifact: string;
  modelBytes: number;
  priority: number;
  promptTokens: number;
  prefixTokens: number;
  prefixHash: string;
  outputTokens: number;
  onFirstToken: () => void;
  onDone: () => void;
  onBroken: () => void;
}

interface Prefill {
  job: EngineJob;
  leftTokens: number;
  sequence: number;
}

/** Tokens of one prefill step; a drafting runner takes larger steps. */
const CHUNK_TOKENS: Record<WorkKind, number> = {desk: 512, drafting: 4_096};
/** Small steps cost some throughput. */
const CHUNK_OVERHEAD: Record<WorkKind, number> = {desk: 1.2, drafting: 1};
const PREFILL_BASE_MS_PER_TOKEN = 0.01;
const PREFILL_MS_PER_TOKEN_PER_GB = 0.0006;
export const DECODE_BASE_MS = 8;
export const DECODE_MS_PER_GB = 0.25;
export const DECODE_MS_PER_RUNNING = 0.8;
const PREFILL_SLOWDOWN_PER_RUNNING = 0.02;
const CACHE_TOKENS = 60_000;

/** An engine as a queue with a time model: prefill in steps, then decode. */
export class FakeEngine {
  running = 0;
  private readonly cache = new Map<string, number>();
  private cachedSet: ReadonlySet<string> | undefined;
  private cachedTokens = 0;
  private sequence = 0;
  private busy = false;
  private readonly prefills: Prefill[] = [];
  private readonly live = new Set<EngineJob>();

  constructor(
    private readonly events: EventQueue,
    public role: WorkKind,
  ) {}

  /** What is cached now; replaced when it changes, never altered. */
  cachedPrefixes(): ReadonlySet<string> {
    this.cachedSet ??= new Set(this.cache.keys());
    return this.cachedSet;
  }

  start(job: EngineJob): void {
    this.running += 1;
    this.live.add(job);
    const cached = this.touchPrefix(job) ? job.prefixTokens : 0;
    const leftTokens = Math.max(1, job.promptTokens - cached);
    this.prefills.push({job, leftTokens, sequence: this.sequence++});
    this.step();
  }

  /** The machine dies: all that runs is broken, all that is cached is gone. */
  fail(): void {
    const broken = [...this.live];
    this.live.clear();
    this.prefills.length = 0;
    this.cache.clear();
    this.cachedSet = undefined;
    this.cachedTokens = 0;
    this.running = 0;
    this.busy = false;
    this.sequence += 1;
    for (const job of broken) job.onBroken();
  }

  /** Runs one step of the most urgent prefill. */
  private step(): void {
    if (this.busy || this.prefills.length === 0) return;
    this.busy = true;
    const prefill = this.mostUrgent();
    const tokens = Math.min(prefill.leftTokens, CHUNK_TOKENS[this.role]);
    const slowdown = 1 + PREFILL_SLOWDOWN_PER_RUNNING * this.running;
    const stepMs =
      tokens *
      prefillMsPerToken(prefill.job.modelBytes) *
      CHUNK_OVERHEAD[this.role] *
      slowdown;
    this.events.after(stepMs, () => {
      if (!this.live.has(prefill.job)) return;
      this.busy = false;
      prefill.leftTokens -= tokens;
      if (prefill.leftTokens <= 0) this.decode(prefill);
      this.step();
    });
  }

  private mostUrgent(): Prefill {
    return this.prefills.reduce((best, other) => {
      const byClass = other.job.priority - best.job.priority;
      if (byClass !== 0) return byClass < 0 ? other : best;
      return other.sequence < best.sequence ? other : best;
    });
  }

  private decode(prefill: Prefill): void {
    const {job} = prefill;
    this.prefills.splice(this.prefills.indexOf(prefill), 1);
    job.onFirstToken();
    const tokenMs =
      DECODE_BASE_MS +
      (job.modelBytes / GB) * DECODE_MS_PER_GB +
      this.running * DECODE_MS_PER_RUNNING;
    this.events.after(job.outputTokens * tokenMs, () => {
      if (!this.live.delete(job)) return;
      this.running -= 1;
      job.onDone();
    });
  }

  /** Whether the prefix was cached; it is now. Oldest ones are evicted. */
  private touchPrefix(job: EngineJob): boolean {
    const hit = this.cache.delete(job.prefixHash);
    this.cache.set(job.prefixHash, job.prefixTokens);
    if (hit) return true;
    this.cachedSet = undefined;
    this.cachedTokens += job.prefixTokens;
    for (const [hash, tokens] of this.cache) {
      if (this.cachedTokens <= CACHE_TOKENS) break;
      this.cache.delete(hash);
      this.cachedTokens -= tokens;
    }
    return false;
  }
}

function prefillMsPerToken(modelBytes: number): number {
  return (
    PREFILL_BASE_MS_PER_TOKEN + (modelBytes / GB) * PREFILL_MS_PER_TOKEN_PER_GB
  );
}
