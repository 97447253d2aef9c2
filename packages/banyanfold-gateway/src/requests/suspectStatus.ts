import type {CrashVerdict} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {AttemptResult} from './responseRelay.js';

/**
 * A runner's crash is told within this after it cut the request off: one probe
 * of its address. Only then does a trial count as one without a result.
 */
const CRASH_TOLD_MS = 500;

/** Results of a run that a runner ended by its own answer. */
const ANSWERED: ReadonlySet<AttemptResult['kind']> = new Set([
  'delivered',
  'failed',
]);
const NOT_RUN: ReadonlySet<AttemptResult['kind']> = new Set([
  'rejected',
  'unreached',
]);

/** Whether one request may crash runners, and how its run as a suspect ends. */
export class SuspectStatus {
  constructor(
    private readonly context: GatewayContext,
    private readonly fingerprint: string,
  ) {}

  get verdict(): CrashVerdict | undefined {
    return this.context.suspects.verdictOf(this.fingerprint);
  }

  /** Until it leaves quarantine, in ms. */
  get quarantinedForMs(): number {
    return this.context.suspects.quarantinedForMs(this.fingerprint);
  }

  /** A runner answered it whole, so that it crashes nothing. */
  noteAnswered(): void {
    this.context.suspects.noteServed(this.fingerprint);
  }

  /** @param result undefined where it was not sent. */
  noteTrialEnd(result: AttemptResult | undefined): void {
    const {clock, suspects} = this.context;
    if (result && ANSWERED.has(result.kind)) return;
    if (!result || NOT_RUN.has(result.kind)) {
      suspects.noteTrialOver(this.fingerprint, false);
      return;
    }
    clock.setTimer(CRASH_TOLD_MS, () =>
      suspects.noteTrialOver(this.fingerprint, true),
    );
  }
}
