import {joinFingerprints, type CrashVerdict} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {Quarantine} from '../crashes/crashSuspects.js';
import type {RunnerRegistration} from '../types.js';
import type {SentResult} from './responseRelay.js';

/**
 * After a runner closes the connection, a crash is detected within this time by
 * one probe of its address. Only then does the trial count as one without a
 * result.
 */
const CRASH_DETECTION_MS = 500;
/**
 * A request that crashes runners does so when its answer begins. Events that
 * arrive so long after the first one show that it doesn't.
 */
const WRITING_MS = 1_000;

/** Results of attempts that no runner ran. */
const NOT_RUN_KINDS: ReadonlySet<SentResult['kind']> = new Set([
  'rejected',
  'unreached',
]);

/** Tracks whether one request is suspected of crashing runners. */
export class SuspectStatus {
  /** Key of its suspects while it runs in a trial. */
  trialKey: string | undefined;
  private firstEventMs: number | undefined;
  private hasWritten = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly fingerprints: readonly string[],
  ) {}

  get verdict(): CrashVerdict | undefined {
    return this.context.suspects.verdictOf(this.fingerprints);
  }

  /** Whether it may be sent now, in a trial or because it is no suspect. */
  get mayBeSent(): boolean {
    const {verdict} = this;
    if (verdict === undefined) return true;
    return verdict === 'suspect' && this.trialKey !== undefined;
  }

  /** The quarantine that applies to the request; undefined if none does. */
  get quarantine(): Quarantine | undefined {
    return this.context.suspects.quarantineOf(this.fingerprints);
  }

  /** Key of its suspects, under which it asks for a trial. */
  get suspectKey(): string {
    return joinFingerprints(
      this.context.suspects.suspectsAmong(this.fingerprints),
    );
  }

  /** Records that the request may be sent once in a trial. */
  beginTrial(trialKey: string): void {
    this.trialKey = trialKey;
  }

  /** Records that an attempt was sent. */
  noteSent(): void {
    this.firstEventMs = undefined;
    this.hasWritten = false;
  }

  /** Records that events of a stream have arrived. */
  noteEvents(runner: RunnerRegistration): void {
    const {clock, crashWatch, suspects} = this.context;
    crashWatch.noteSignOfLife(runner);
    const nowMs = clock.nowMs();
    this.firstEventMs ??= nowMs;
    if (this.hasWritten || nowMs - this.firstEventMs < WRITING_MS) return;
    this.hasWritten = true;
    suspects.noteServed(this.fingerprints);
  }

  /** Records that a runner answered the request completely. */
  noteAnswered(runner: RunnerRegistration, isEndedByClose: boolean): void {
    this.context.crashWatch.noteAnswered(runner, this.fingerprints, {
      isEndedByClose,
      isTrial: this.trialKey !== undefined,
    });
  }

  /**
   * Records the end of the trial.
   *
   * @param result undefined if the request was not sent.
   */
  noteTrialEnd(result: SentResult | undefined): void {
    const {clock, suspects} = this.context;
    const {trialKey} = this;
    this.trialKey = undefined;
    if (trialKey === undefined) return;
    this.context.logger.info('trial-ended', {
      fingerprint: trialKey,
      result: result?.kind ?? 'not-sent',
      error: result && 'error' in result ? result.error : undefined,
      hasWritten: this.hasWritten,
    });
    if (!result || NOT_RUN_KINDS.has(result.kind)) {
      suspects.noteTrialOver(trialKey, false);
      return;
    }
    const isResolved = result.kind === 'delivered' || this.hasWritten;
    clock.setTimer(CRASH_DETECTION_MS, () =>
      suspects.noteTrialOver(trialKey, !isResolved),
    );
  }
}
