import type {Clock} from '@banyanfold/core';
import type {SealResult} from '@banyanfold/protocol';
import type {ResponseBuffer} from './responseBuffer.js';

/** The state of an attempt in its lifecycle. */
export type AttemptPhase = 'waiting' | 'dispatched' | 'finished';

interface AttemptEntry {
  phase: AttemptPhase;
  /** Removes a waiting attempt from its queue or stops a running one. */
  stop(): void;
  response: ResponseBuffer | undefined;
  /** Size of the retained response; 0 until the attempt has finished. */
  retainedBytes: number;
}

/** Options of an `AttemptRegistry`. */
export interface AttemptRegistryOptions {
  clock: Clock;
  /**
   * How long the id of a sealed or finished attempt is remembered. A sealed
   * attempt can still arrive while the network may hold its bytes. With the
   * kernel's defaults a sender abandons unacknowledged data after about 15
   * minutes, so 20 minutes are enough. Attempts that name an earlier
   * incarnation are refused for that reason alone.
   */
  attemptIdMs: number;
  /** Limit for all finished responses; the oldest are dropped first. */
  maxRetainedBytes: number;
}

/**
 * Tracks the attempts of this process by id, so that "not run" can be reported
 * reliably.
 *
 * An entry whose attempt was lost in transit needs to report to its caller that
 * nothing ran. The attempt may still arrive afterwards. If it ran then, the
 * report would be false and the caller might send the request twice. Sealing
 * leaves a tombstone, and an attempt that has one is refused on arrival.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<string, AttemptEntry>();
  /** Expiry times of the ids that were sealed or refused and must not run. */
  private readonly tombstones = new Map<string, number>();
  /** Expiry times of finished ids whose response has been dropped. */
  private readonly finished = new Map<string, number>();
  private retainedBytes = 0;

  constructor(private readonly options: AttemptRegistryOptions) {}

  /** Registers a new attempt, unless its id was sealed or seen before. */
  begin(attemptId: string): 'begun' | 'sealed' | 'duplicate' {
    this.removeExpired();
    if (this.tombstones.has(attemptId)) return 'sealed';
    if (this.attempts.has(attemptId) || this.finished.has(attemptId)) {
      return 'duplicate';
    }
    this.attempts.set(attemptId, {
      phase: 'waiting',
      stop: () => {},
      response: undefined,
      retainedBytes: 0,
    });
    return 'begun';
  }

  /** Sets how a seal stops the attempt in its current phase. */
  onSeal(attemptId: string, stop: () => void): void {
    const entry = this.attempts.get(attemptId);
    if (entry) entry.stop = stop;
  }

  /**
   * Marks the attempt as running. Must be called in the same event-loop step in
   * which the request is sent, so that no seal can intervene. Returns false if
   * the attempt isn't waiting any more, for example because it was sealed.
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

  /** Whether the attempt was sealed or refused: it never ran and never will. */
  isSealed(attemptId: string): boolean {
    return this.tombstones.has(attemptId);
  }

  /** Retains the response for an entry that resumes. */
  retainResponse(attemptId: string, response: ResponseBuffer): void {
    const entry = this.attempts.get(attemptId);
    if (entry) entry.response = response;
  }

  responseOf(attemptId: string): ResponseBuffer | undefined {
    return this.attempts.get(attemptId)?.response;
  }

  /** Records that an attempt was refused unsent; it must not run later. */
  refuse(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.tombstones.set(attemptId, this.expiresAtMs());
  }

  finish(attemptId: string): void {
    const entry = this.attempts.get(attemptId);
    if (!entry || entry.phase === 'finished') return;
    entry.phase = 'finished';
    entry.retainedBytes = entry.response?.byteLength() ?? 0;
    this.retainedBytes += entry.retainedBytes;
    for (const [oldest, {phase}] of this.attempts) {
      if (this.retainedBytes <= this.options.maxRetainedBytes) return;
      if (phase === 'finished') this.dropResponse(oldest);
    }
  }

  /** Drops the retained response; the id stays registered as finished. */
  dropResponse(attemptId: string): void {
    const entry = this.attempts.get(attemptId);
    if (!entry) return;
    this.retainedBytes -= entry.retainedBytes;
    this.attempts.delete(attemptId);
    this.finished.set(attemptId, this.expiresAtMs());
  }

  /**
   * Prevents an attempt that hasn't started from running, and stops a running
   * one.
   */
  seal(attemptId: string): SealResult['state'] {
    this.removeExpired();
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

  /** Whether this process has registered or sealed the attempt. */
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

  /** Ids of the attempts that are running. */
  dispatchedIds(): string[] {
    return [...this.attempts]
      .filter(([, {phase}]) => phase === 'dispatched')
      .map(([attemptId]) => attemptId);
  }

  private expiresAtMs(): number {
    return this.options.clock.nowMs() + this.options.attemptIdMs;
  }

  /** Removes expired ids; both maps are in order of expiry. */
  private removeExpired(): void {
    const nowMs = this.options.clock.nowMs();
    for (const map of [this.tombstones, this.finished]) {
      for (const [attemptId, expiresAtMs] of map) {
        if (expiresAtMs > nowMs) break;
        map.delete(attemptId);
      }
    }
  }
}
