import type {BanyanfoldError} from '@banyanfold/core';
import {KeyClaims, readTimedKey, type ClaimOutcome} from '@banyanfold/log';
import {v4 as uuidV4} from 'uuid';
import {
  entryPlugins,
  type EntryContext,
  type EntryPlugin,
  type NextStep,
} from '../context.js';
import {ApiError, type ApiErrorCode} from '../http/apiErrors.js';
import type {RequestJob, RequestResult} from '../requests/types.js';
import {KeyOutcomeRecorder} from './keyOutcomeRecorder.js';
import {
  outcomeUnknownError,
  recordedAnswer,
  toFinishedRun,
} from './keyOutcome.js';
import {LocalRuns} from './localRuns.js';

const IN_PROGRESS_RETRY_MS = 1000;
const LOG_RETRY_MS = 2000;
/** The answer in base64 and what stands around it in its record. */
const KEPT_BODY_FACTOR = 1.5;
const KEPT_BODY_OVERHEAD_BYTES = 512;

type Taken = Extract<ClaimOutcome, {kind: 'taken'}>;

/**
 * Runs a request that may not be repeated at most once.
 *
 * The same key may come twice at once through two entries, or again after its
 * answer was lost. Only the owner of the key, by the log, dispatches; whoever
 * else comes gets what is known of that run.
 */
class KeyGuard {
  private readonly claims: KeyClaims;
  private readonly ownRuns = new LocalRuns();
  private readonly notes: KeyOutcomeRecorder;

  constructor(private readonly context: EntryContext) {
    const {settings, log, clock, logger, random} = context;
    this.notes = new KeyOutcomeRecorder(context);
    this.claims = new KeyClaims({
      log,
      clock,
      logger,
      random,
      owner: `${settings.vmId}/${uuidV4()}`,
      retentionMs: settings.logRetentionMs,
      horizonMs: settings.keyHorizonMs,
      bodyLimitBytes:
        settings.keyBodyBytes * KEPT_BODY_FACTOR + KEPT_BODY_OVERHEAD_BYTES,
    });
  }

  start(): void {
    this.claims.start();
  }

  async stop(): Promise<void> {
    await this.notes.stop();
    this.claims.stop();
  }

  async run(job: RequestJob, next: NextStep): Promise<RequestResult> {
    const key = readTimedKey(job.idempotencyKey ?? '')?.key;
    if (key === undefined) {
      throw new ApiError(
        'invalid_idempotency_key',
        'this request may not be repeated; send a new UUIDv7 with it in the ' +
          'header Idempotency-Key',
      );
    }
    const claimed = await this.claims.claim(key);
    if (claimed.isErr()) throw this.claimError(claimed.error);
    const outcome = claimed.value;
    if (outcome.kind === 'taken') return this.answerTaken(job, key, outcome);
    return this.dispatch(job, key, outcome.claimOffset, next);
  }

  private async dispatch(
    job: RequestJob,
    key: string,
    claimOffset: number,
    next: NextStep,
  ): Promise<RequestResult> {
    this.ownRuns.set(key, {kind: 'running'});
    try {
      const result = await next();
      this.note(job, key, claimOffset, result);
      return result;
    } catch (error) {
      // Whatever went wrong here, it may have run.
      this.note(job, key, claimOffset, {kind: 'broken', reason: 'internal'});
      throw error;
    }
  }

  /** The caller's answer doesn't wait for these: it is final already. */
  private note(
    job: RequestJob,
    key: string,
    claimOffset: number,
    result: RequestResult,
  ): void {
    if (neverRan(job, result)) {
      this.ownRuns.set(key, {kind: 'releasing'});
      void this.notes
        .record(() => this.claims.release(key, claimOffset))
        .then(isReleased => isReleased && this.ownRuns.delete(key));
      return;
    }
    const {keyBodyBytes} = this.context.settings;
    const run = toFinishedRun(job, result, keyBodyBytes);
    this.ownRuns.set(key, {kind: 'finished', run});
    void this.notes.record(() => this.claims.finish(key, run));
  }

  private answerTaken(
    job: RequestJob,
    key: string,
    {finished}: Taken,
  ): RequestResult {
    const own = this.ownRuns.get(key);
    const run = own?.kind === 'finished' ? own.run : finished;
    if (run) return {kind: 'answer', answer: recordedAnswer(job, run)};
    if (!own && !this.mayStillRun(job, key)) throw outcomeUnknownError();
    throw new ApiError('key_in_progress', 'it is being run under this key', {
      outcome: 'unknown',
      retryAfterMs: IN_PROGRESS_RETRY_MS,
    });
  }

  /** No run takes longer, from its key's making to its record in the log. */
  private mayStillRun(job: RequestJob, key: string): boolean {
    const keyMs = readTimedKey(key)?.keyMs ?? 0;
    const {wholeAnswerMs} = job.target.selector.targets;
    return this.context.clock.wallMs() - keyMs < 2 * wholeAnswerMs;
  }

  private claimError(error: BanyanfoldError): ApiError {
    this.context.logger.warn('claim-failed', {
      code: error.code,
      step: error.step,
      peer: error.peer,
    });
    const known = CLAIM_ERRORS[error.code];
    if (known) return new ApiError(known.code, known.message, known);
    // This call ran nothing. An earlier one with the same key may have run
    // through another entry since the claims were last read here, and "not
    // run" would make a desk tell its member that nothing was lodged.
    return new ApiError(
      'log_unavailable',
      'keys cannot be claimed now; this call ran nothing, but whether an ' +
        'earlier one with the same key ran is not known; send it again with ' +
        'the same key',
      {outcome: 'unknown', retryAfterMs: LOG_RETRY_MS},
    );
  }
}

interface ClaimErrorAnswer {
  code: ApiErrorCode;
  message: string;
  outcome: 'not-run' | 'unknown';
}

const CLAIM_ERRORS: Record<string, ClaimErrorAnswer | undefined> = {
  'key-not-uuidv7': {
    code: 'invalid_idempotency_key',
    message: 'the key must be a UUIDv7',
    outcome: 'not-run',
  },
  'key-from-future': {
    code: 'invalid_idempotency_key',
    message: "the key's time is ahead of the log's clock",
    outcome: 'not-run',
  },
  // Its record may be gone from the log by now, and it may have run.
  'key-too-old': {
    code: 'key_outcome_unknown',
    message: 'the key is too old to tell whether it ran; it will not run now',
    outcome: 'unknown',
  },
};

/** Whether it is proved that no attempt of the request ever started. */
function neverRan(job: RequestJob, result: RequestResult): boolean {
  if (result.kind === 'failed') return result.error.outcome === 'not-run';
  return result.kind === 'caller-gone' && job.attempts === 0;
}

/** Creates the plug-in that guards requests which may not be repeated. */
export function idempotencyPlugin(context: EntryContext): EntryPlugin {
  const guard = new KeyGuard(context);
  return {
    name: 'idempotency',
    guardsNonRepeatable: true,
    async start() {
      guard.start();
    },
    stop: () => guard.stop(),
    async aroundRequest(job, next) {
      if (job.target.selector.repeatable) return next();
      return guard.run(job, next);
    },
  };
}

entryPlugins.register('idempotency', idempotencyPlugin);
