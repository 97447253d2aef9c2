import type {CrashVerdict} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {AttemptResult} from './responseRelay.js';

/**
 * After a runner closes the connection, a crash is detected within this time by
 * one probe of its address. Only then does the trial count as one without a
 * result.
 */
const CRASH_DETECTION_MS = 500;

/** Results of attempts that a runner ran and answered. */
const ANSWERED_KINDS: ReadonlySet<AttemptResult['kind']> = new Set([
  'delivered',
  'failed',
]);
/** Results of attempts that no runner ran. */
const NOT_RUN_KINDS: ReadonlySet<AttemptResult['kind']> = new Set([
  'rejected',
  'unreached',
]);

/** Tracks whether one request is suspected of crashing runners. */
export class SuspectStatus {
  constructor(
    private readonly context: GatewayContext,
    private readonly fingerprint: string,
  ) {}

  get verdict(): CrashVerdict | undefined {
    return this.context.suspects.verdictOf(this.fingerprint);
  }

  /** Time until the request leaves quarantine, in ms. */
  get quarantinedForMs(): number {
    return this.context.suspects.quarantinedForMs(this.fingerprint);
  }

  /** Records that a runner answered the request completely, without a crash. */
  noteAnswered(): void {
    this.context.suspects.noteServed(this.fingerprint);
  }

  /**
   * Records the end of a trial.
   *
   * @param result undefined if the request was not sent.
   */
  noteTrialEnd(result: AttemptResult | undefined): void {
    const {clock, suspects} = this.context;
    if (result && ANSWERED_KINDS.has(result.kind)) return;
    if (!result || NOT_RUN_KINDS.has(result.kind)) {
      suspects.noteTrialOver(this.fingerprint, false);
      return;
    }
    clock.setTimer(CRASH_DETECTION_MS, () =>
      suspects.noteTrialOver(this.fingerprint, true),
    );
  }
}
