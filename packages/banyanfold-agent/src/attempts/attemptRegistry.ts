import type {Clock} from '@banyanfold/core';
import type {SealResult} from '@banyanfold/protocol';
import type {ResponseBuffer} from './responseBuffer.js';

/** How far an attempt has come. */
export type AttemptPhase = 'waiting' | 'dispatched' | 'finished';

interface AttemptEntry {
  phase: AttemptPhase;
  /** Takes a waiting attempt out of its queue, or stops a running one. */
  stop(): void;
  answer: ResponseBuffer | undefined;
  /** What the answer takes, once it is finished. */
  keptBytes: number;
}

/** How a registry is built. */
export interface AttemptRegistryOptions {
  clock: Clock;
  /**
   * How long a sealed or finished id is known. A sealed attempt can still
   * arrive as long as the network may hold its bytes: a sender gives up on
   * unacknowledged data after some 15 minutes by the kernel's defaults, so 20
   * minutes are enough. Later ones, of an earlier incarnation, are refused for
   * that alone.
   */
  attemptIdMs: number;
  /** Finished answers together keep no more; the oldest go first. */
  maxRetainedBytes: number;
}

/**
 * Knows each attempt of this process by its id, so that "not run" is true.
 *
 * An entry whose attempt got lost on the way wants to tell its caller that
 * nothing ran. The attempt may still arrive afterwards; if it ran then, the
 * caller would be told a lie and might send the request twice. Sealing leaves
 * a tombstone that such an attempt meets.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<string, AttemptEntry>();
  /** Until when a sealed or refused id must not run. */
  private readonly tombstones = new Map<string, number>();
  /** Until when an id is known as finished. */
  private readonly finished = new Map<string, number>();
  private keptBytes = 0;

  constructor(private readonly options: AttemptRegistryOptions) {}

  /** Takes in a new attempt, unless its id was sealed or seen before. */
  begin(attemptId: string): 'begun' | 'sealed' | 'duplicate' {
    this.sweep();
    if (this.tombstones.has(attemptId)) return 'sealed';
    if (this.attempts.has(attemptId) || this.finished.has(attemptId)) {
      return 'duplicate';
    }
    this.attempts.set(attemptId, {
      phase: 'waiting',
      stop: () => {},
      answer: undefined,
      keptBytes: 0,
    });
    return 'begun';
  }

  /** Says how to stop the attempt when it is sealed, in its present phase. */
  onSeal(attemptId: string, stop: () => void): void {
    const entry = this.attempts.get(attemptId);
    if (entry) entry.stop = stop;
  }

  /**
   * Marks the attempt as running, in the same step of the loop as the sending,
   * so that no seal can come between. False when it was sealed before.
   */
  dispatch(attemptId: string): boolean {
    const entry = this.attempts.get(attemptId);
    if (entry?.phase !== 'waiting') return false;
    entry.phase = 'dispatched';
    entry.stop = () => {};
    return true;
  }

  isWaiting(attemptId: string): boolean {
    return this.attempts.get(attemptId)?.phase === 'waiting';
  }

  /** Whether it is certain that the attempt never ran and never will. */
  isSealed(attemptId: string): boolean {
    return this.tombstones.has(attemptId);
  }

  /** Keeps the answer, for an entry that comes back for it. */
  retainResponse(attemptId: string, answer: ResponseBuffer): void {
    const entry = this.attempts.get(attemptId);
    if (entry) entry.answer = answer;
  }

  responseOf(attemptId: string): ResponseBuffer | undefined {
    return this.attempts.get(attemptId)?.answer;
  }

  /** The attempt was refused before it was sent; it must not run later. */
  refuse(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.tombstones.set(attemptId, this.expiryMs());
  }

  finish(attemptId: string): void {
    const entry = this.attempts.get(attemptId);
    if (!entry || entry.phase === 'finished') return;
    entry.phase = 'finished';
    entry.keptBytes = entry.answer?.byteLength() ?? 0;
    this.keptBytes += entry.keptBytes;
    for (const [oldest, {phase}] of this.attempts) {
      if (this.keptBytes <= this.options.maxRetainedBytes) return;
      if (phase === 'finished') this.dropResponse(oldest);
    }
  }

  /** Drops the kept answer; the id stays known as finished. */
  dropResponse(attemptId: string): void {
    const entry = this.attempts.get(attemptId);
    if (!entry) return;
    this.keptBytes -= entry.keptBytes;
    this.attempts.delete(attemptId);
    this.finished.set(attemptId, this.expiryMs());
  }

  /**
   * Makes sure that an attempt which hasn't started never will, and stops one
   * that runs.
   */
  seal(attemptId: string): SealResult['state'] {
    this.sweep();
    const entry = this.attempts.get(attemptId);
    if (entry?.phase === 'dispatched') {
      entry.stop();
      return 'started';
    }
    if (entry?.phase === 'finished') return 'finished';
    if (this.finished.has(attemptId)) return 'finished';
    this.refuse(attemptId);
    entry?.stop();
    return 'never-started';
  }

  /** Whether this process has met the attempt, in any phase. */
  has(attemptId: string): boolean {
    return (
      this.attempts.has(attemptId) ||
      this.finished.has(attemptId) ||
      this.tombstones.has(attemptId)
    );
  }

  openCount(): number {
    let open = 0;
    for (const {phase} of this.attempts.values()) {
      if (phase !== 'finished') open++;
    }
    return open;
  }

  /** Attempts that run now. */
  dispatchedIds(): string[] {
    return [...this.attempts]
      .filter(([, {phase}]) => phase === 'dispatched')
      .map(([attemptId]) => attemptId);
  }

  private expiryMs(): number {
    return this.options.clock.nowMs() + this.options.attemptIdMs;
  }

  /** Both maps are in the order of expiry, so the sweep stops early. */
  private sweep(): void {
    const nowMs = this.options.clock.nowMs();
    for (const map of [this.tombstones, this.finished]) {
      for (const [attemptId, expiresMs] of map) {
        if (expiresMs > nowMs) break;
        map.delete(attemptId);
      }
    }
  }
}
