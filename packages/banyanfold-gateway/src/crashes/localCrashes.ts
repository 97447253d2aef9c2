import type {Clock} from '@banyanfold/core';
import {DEFAULT_ATTRIBUTE_CRASHES_OPTIONS} from '@banyanfold/decisions';
import type {AnsweredParts} from './answeredParts.js';
import type {ObservedCrash} from './crashDetector.js';
import {isPartFingerprint} from './requestFingerprint.js';

/** What decides whether local crashes make a suspect. */
export interface LocalCrashesView {
  /** Whether a holder counts the crashes that all entries see. */
  hasHolder: boolean;
  /** The holder has judged crashes up to this time, in ms of the clock. */
  judgedUntilMs: number;
}

/** A crash that this process observed itself. */
interface LocalCrash {
  crashId: string;
  atMs: number;
}

/** How long a crash is kept in order to report it to a new holder. */
const CRASH_RETENTION_MS = 600_000;
/** Maximum number of fingerprints with local crashes, some 200 bytes each. */
const MAX_FINGERPRINTS = 2_000;

/** The crashes that this process observed, by what it had in flight there. */
export class LocalCrashes {
  /** By fingerprint, in the order of the last crash. */
  private readonly crashes = new Map<string, LocalCrash[]>();

  constructor(
    private readonly clock: Clock,
    private readonly answeredParts: AnsweredParts,
  ) {}

  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  add({crashId, fingerprints}: ObservedCrash): void {
    const atMs = this.clock.nowMs();
    for (const fingerprint of fingerprints) {
      const known = this.crashes.get(fingerprint) ?? [];
      if (known.some(crash => crash.crashId === crashId)) continue;
      known.push({crashId, atMs});
      this.crashes.delete(fingerprint);
      this.crashes.set(fingerprint, known);
    }
    this.evictOld(atMs);
  }

  /** An answer cancels the crashes before it. Returns whether there were any. */
  cancel(fingerprint: string): boolean {
    return this.crashes.delete(fingerprint);
  }

  /** Whether crashes that no holder has judged yet make it a suspect. */
  isSuspect(
    fingerprint: string,
    {hasHolder, judgedUntilMs}: LocalCrashesView,
  ): boolean {
    const crashes = this.crashes.get(fingerprint);
    if (!crashes) return false;
    const {suspectCrashes, answerGraceMs} = DEFAULT_ATTRIBUTE_CRASHES_OPTIONS;
    const crashingForMs = this.clock.nowMs() - crashes[0]!.atMs;
    const wasAnswered = this.answeredParts.ageMs(fingerprint) !== undefined;
    if (wasAnswered && crashingForMs < answerGraceMs) return false;
    // Without a holder, nobody adds the crashes that other entries see.
    const isOneEnough =
      !hasHolder && !wasAnswered && isPartFingerprint(fingerprint);
    if (crashes.length < (isOneEnough ? 1 : suspectCrashes)) return false;
    // The holder has judged older crashes and doesn't list it.
    return crashes.at(-1)!.atMs > judgedUntilMs;
  }

  /** All fingerprints by crash. */
  byCrash(): ObservedCrash[] {
    const crashes = new Map<string, string[]>();
    for (const [fingerprint, observed] of this.crashes) {
      for (const {crashId} of observed) {
        const known = crashes.get(crashId);
        if (known) known.push(fingerprint);
        else crashes.set(crashId, [fingerprint]);
      }
    }
    return [...crashes].map(([crashId, fingerprints]) => ({
      crashId,
      fingerprints,
    }));
  }

  private evictOld(nowMs: number): void {
    for (const [fingerprint, crashes] of this.crashes) {
      const isOld = nowMs - crashes.at(-1)!.atMs >= CRASH_RETENTION_MS;
      if (!isOld && this.crashes.size <= MAX_FINGERPRINTS) return;
      this.crashes.delete(fingerprint);
    }
  }
}
