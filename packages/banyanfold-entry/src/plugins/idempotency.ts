import {type BanyanfoldError, runInBackground} from '@banyanfold/core';
import {KeyClaims, parseTimedKey, type ClaimOutcome} from '@banyanfold/log';
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
/** Allows for base64 encoding and the other fields of the record. */
const RECORDED_BODY_FACTOR = 1.5;
const RECORDED_BODY_OVERHEAD_BYTES = 512;

type TakenClaim = Extract<ClaimOutcome, {kind: 'taken'}>;

/**
 * Runs a non-repeatable request at most once.
 *
 * The same key may arrive concurrently at two entries, or again after its
 * response was lost. Only the entry that owns the key according to the log
 * dispatches the request; other calls receive what is known about that run.
 */
class IdempotencyGuard {
  private readonly claims: KeyClaims;
  private readonly localRuns = new LocalRuns();
  private readonly outcomeRecorder: KeyOutcomeRecorder;

  constructor(private readonly context: EntryContext) {
    const {settings, log, clock, logger, random} = context;
    this.outcomeRecorder = new KeyOutcomeRecorder(context);
    this.claims = new KeyClaims({
      log,
      clock,
      logger,
      random,
      owner: `${settings.vmId}/${uuidV4()}`,
      retentionMs: settings.logRetentionMs,
      horizonMs: settings.keyHorizonMs,
      bodyLimitBytes:
        settings.keyBodyBytes * RECORDED_BODY_FACTOR +
        RECORDED_BODY_OVERHEAD_BYTES,
    });
  }

  start(): void {
    this.claims.start();
  }

  async stop(): Promise<void> {
    await this.outcomeRecorder.stop();
    this.claims.stop();
  }

  async run(job: RequestJob, next: NextStep): Promise<RequestResult> {
    const key = parseTimedKey(job.idempotencyKey ?? '')?.key;
    if (key === undefined) {
      throw new ApiError(
        'invalid_idempotency_key',
        'this request may not be repeated; send a new UUIDv7 with it in the ' +
          'header Idempotency-Key',
      );
    }
    const claimed = await this.claims.claim(key);
    if (claimed.isErr()) throw this.toApiError(claimed.error);
    const outcome = claimed.value;
    if (outcome.kind === 'taken') return this.answerTakenKey(job, key, outcome);
    return this.dispatch(job, key, outcome.claimOffset, next);
  }

  private async dispatch(
    job: RequestJob,
    key: string,
    claimOffset: number,
    next: NextStep,
  ): Promise<RequestResult> {
    this.localRuns.set(key, {kind: 'running'});
    try {
      const result = await next();
      this.recordOutcome(job, key, claimOffset, result);
      return result;
    } catch (error) {
      // The request may have run, whatever the error was.
      this.recordOutcome(job, key, claimOffset, {
        kind: 'broken',
        reason: 'internal',
      });
      throw error;
    }
  }

  /**
   * Writes the outcome to the log. The caller's response doesn't wait for it,
   * since it is already final.
   */
  private recordOutcome(
    job: RequestJob,
    key: string,
    claimOffset: number,
    result: RequestResult,
  ): void {
    const {logger} = this.context;
    if (neverRan(job, result)) {
      this.localRuns.set(key, {kind: 'releasing'});
      runInBackground({logger, step: 'release-key'}, async () => {
        const isReleased = await this.outcomeRecorder.record(() =>
          this.claims.release(key, claimOffset),
        );
        if (isReleased) this.localRuns.delete(key);
      });
      return;
    }
    const {keyBodyBytes} = this.context.settings;
    const run = toFinishedRun(job, result, keyBodyBytes);
    this.localRuns.set(key, {kind: 'finished', run});
    runInBackground({logger, step: 'finish-key'}, () =>
      this.outcomeRecorder.record(() => this.claims.finish(key, run)),
    );
  }

  private answerTakenKey(
    job: RequestJob,
    key: string,
    {finished}: TakenClaim,
  ): RequestResult {
    const localRun = this.localRuns.get(key);
    const run = localRun?.kind === 'finished' ? localRun.run : finished;
    if (run) return {kind: 'answer', answer: recordedAnswer(job, run)};
    if (!localRun && !this.mayStillRun(job, key)) throw outcomeUnknownError();
    throw new ApiError('key_in_progress', 'it is being run under this key', {
      outcome: 'unknown',
      retryAfterMs: IN_PROGRESS_RETRY_MS,
    });
  }

  /**
   * Whether the run may still be in progress. From the creation of its key to
   * its record in the log, no run takes longer than this.
   */
  private mayStillRun(job: RequestJob, key: string): boolean {
    const keyMs = parseTimedKey(key)?.keyMs ?? 0;
    const {wholeAnswerMs} = job.target.selector.targets;
    return this.context.clock.wallMs() - keyMs < 2 * wholeAnswerMs;
  }

  private toApiError(error: BanyanfoldError): ApiError {
    this.context.logger.warn('claim-failed', {
      code: error.code,
      step: error.step,
      peer: error.peer,
    });
    const known = CLAIM_ERRORS[error.code];
    if (known) return new ApiError(known.code, known.message, known);
    // This call ran nothing, but an earlier call with the same key may have run
    // through another entry since the claims were last read here. With "not
    // run" the caller would wrongly conclude that nothing was done.
    return new ApiError(
      'log_unavailable',
      'keys cannot be claimed now; this call ran nothing, but whether an ' +
        'earlier one with the same key ran is not known; send it again with ' +
        'the same key',
      {outcome: 'unknown', retryAfterMs: LOG_RETRY_MS},
    );
  }
}

interface ClaimErrorResponse {
  code: ApiErrorCode;
  message: string;
  outcome: 'not-run' | 'unknown';
}

const CLAIM_ERRORS: Record<string, ClaimErrorResponse | undefined> = {
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
  // The request may have run, and its record may have expired from the log.
  'key-too-old': {
    code: 'key_outcome_unknown',
    message: 'the key is too old to tell whether it ran; it will not run now',
    outcome: 'unknown',
  },
};

/** Whether it is certain that no attempt of the request has started. */
function neverRan(job: RequestJob, result: RequestResult): boolean {
  if (result.kind === 'failed') return result.error.outcome === 'not-run';
  return result.kind === 'caller-gone' && job.attempts === 0;
}

/** Creates the plug-in that runs non-repeatable requests at most once. */
export function idempotencyPlugin(context: EntryContext): EntryPlugin {
  const guard = new IdempotencyGuard(context);
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
