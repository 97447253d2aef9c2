import {type BanyanfoldError, runInBackground} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {v4 as uuidV4} from 'uuid';
import {BatchAppender, DEFAULT_BATCH_OPTIONS} from './batchAppender.js';
import {ClaimUpdateAppender} from './claimUpdateAppender.js';
import type {ClaimRecord, FinishedRun} from './claimRecords.js';
import {
  assertWindowFits,
  checkWindow,
  DEFAULT_CLAIM_WINDOW,
  type ClaimWindow,
} from './claimWindow.js';
import {
  ClaimsFold,
  type ClaimVerdict,
  type EvaluatedClaim,
  type KeyState,
} from './claimsFold.js';
import {
  DEFAULT_BODY_LIMIT_BYTES,
  type ClaimOutcome,
  type KeyClaimsOptions,
} from './keyClaimsTypes.js';
import {parseTimedKey, type TimedKey} from './keyTime.js';
import {PendingClaims} from './pendingClaims.js';
import {refuseClaim} from './refuseClaim.js';
import {StreamFollower, type DeliveredPage} from './streamFollower.js';
import {STREAMS} from './types.js';
import {MissedRecords} from './missedRecords.js';

/**
 * Claims idempotency keys so that a non-idempotent request runs at most once.
 * The first claim of a key in the log owns the key, and only its owner
 * dispatches. Ownership does not expire, so no other process can take the key
 * from a process that was paused after its verdict.
 *
 * When the response to an append is lost, the log is searched for the claim. If
 * the search fails, the claim is abandoned: the caller is refused, and the key
 * is released if the claim turns out to own it. The release is safe because
 * this process never dispatches an abandoned claim.
 *
 * @example
 * const outcome = await claims.claim(key);
 * if (outcome.isOk() && outcome.value.kind === 'owner') dispatch();
 */
export class KeyClaims {
  private readonly window: ClaimWindow;
  private readonly fold: ClaimsFold;
  private readonly missedRecords: MissedRecords;
  private readonly follower: StreamFollower;
  private readonly appender: BatchAppender;
  private readonly createNonce: () => string;
  private readonly pendingClaims: PendingClaims;
  private readonly updates: ClaimUpdateAppender;

  /** @throws BanyanfoldError `claim-window-too-wide`. */
  constructor(private readonly options: KeyClaimsOptions) {
    const {log, clock, logger, random, retentionMs} = options;
    const {
      horizonMs = DEFAULT_CLAIM_WINDOW.horizonMs,
      maxAheadMs = DEFAULT_CLAIM_WINDOW.maxAheadMs,
    } = options;
    this.window = {horizonMs, maxAheadMs};
    assertWindowFits(this.window, retentionMs);
    this.createNonce = options.createNonce ?? uuidV4;
    this.fold = new ClaimsFold(this.window);
    this.missedRecords = new MissedRecords(retentionMs);
    const stream = STREAMS.claims;
    const {
      owner,
      bodyLimitBytes = DEFAULT_BODY_LIMIT_BYTES,
      lingerMs = DEFAULT_BATCH_OPTIONS.lingerMs,
    } = options;
    this.pendingClaims = new PendingClaims(this.window);
    this.appender = new BatchAppender({
      log,
      stream,
      clock,
      logger,
      lingerMs,
    });
    const {appender} = this;
    this.updates = new ClaimUpdateAppender({
      appender,
      clock,
      logger,
      random,
      owner,
      bodyLimitBytes,
    });
    this.follower = new StreamFollower({
      log,
      stream,
      clock,
      logger,
      random,
      onPage: page => this.applyPage(page),
    });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Resolves when the fold first reaches the end of the stream. */
  caughtUp(): Promise<void> {
    return this.follower.caughtUp();
  }

  /** The number of keys held in memory. */
  get keyCount(): number {
    return this.fold.size;
  }

  /**
   * Claims a key. A caller that stops waiting for the outcome must still
   * `release` the key if the outcome is `owner`.
   *
   * @returns `owner` if the caller must dispatch, `taken` if the owner of
   *     another claim has dispatched or will dispatch, or an error with a
   *     `ClaimErrorCode` if this claim never leads to a dispatch.
   */
  claim(text: string): ResultAsync<ClaimOutcome, BanyanfoldError> {
    return new ResultAsync(this.claimKey(text));
  }

  /** Publishes the result of the run of an owned key. */
  finish(key: string, run: FinishedRun): ResultAsync<number, BanyanfoldError> {
    return this.updates.finish(key, run);
  }

  /** Releases an owned key that was not dispatched and never will be. */
  release(
    key: string,
    claimOffset: number,
  ): ResultAsync<number, BanyanfoldError> {
    return this.updates.release(key, claimOffset);
  }

  private async claimKey(
    text: string,
  ): Promise<Result<ClaimOutcome, BanyanfoldError>> {
    const timed = parseTimedKey(text);
    if (!timed) return refuseClaim('key-not-uuidv7', 'not a UUIDv7');
    if (!this.follower.hasCaughtUp) {
      const read = await this.follower.readNow();
      if (read.isErr()) return refuseClaim('log-unavailable', '', read.error);
    }
    const early = this.evaluateBeforeAppend(timed);
    if (early) return early;
    return this.appendClaim(timed);
  }

  /** Avoids an append when the outcome is already known. */
  private evaluateBeforeAppend({
    key,
    keyMs,
  }: TimedKey): Result<ClaimOutcome, BanyanfoldError> | undefined {
    const state = this.fold.stateOf(key);
    if (state && !state.isReleased) return ok(this.toTaken(state));
    const logNowMs = this.follower.logNowMs ?? keyMs;
    const refusal = checkWindow(keyMs, logNowMs, this.window);
    return refusal && refuseClaim(refusal, `the log's clock is ${logNowMs}`);
  }

  private async appendClaim({
    key,
    keyMs,
  }: TimedKey): Promise<Result<ClaimOutcome, BanyanfoldError>> {
    const nonce = this.createNonce();
    this.pendingClaims.add(nonce, keyMs);
    const {owner} = this.options;
    const record: ClaimRecord = {
      kind: 'claim',
      key,
      owner,
      nonce,
      atKeyMs: keyMs,
    };
    const offset = await this.appender.append(record);
    const read = offset.isOk()
      ? await this.follower.readThrough(offset.value)
      : await this.searchForLostAppend(offset.error);
    const evaluated = this.pendingClaims.takeEvaluated(nonce);
    if (evaluated) return this.toOutcome(key, keyMs, evaluated);
    return this.abandon(nonce, offset, read);
  }

  private async searchForLostAppend(
    error: BanyanfoldError,
  ): Promise<Result<number, BanyanfoldError>> {
    if (error.code !== 'append-unknown') return err(error);
    return this.follower.readNow();
  }

  /** An abandoned claim never dispatches, even if it is appended later. */
  private abandon(
    nonce: string,
    offset: Result<number, BanyanfoldError>,
    read: Result<number, BanyanfoldError>,
  ): Result<ClaimOutcome, BanyanfoldError> {
    const error = offset.isErr() ? offset.error : undefined;
    if (error && error.code !== 'append-unknown') {
      this.pendingClaims.remove(nonce);
      return refuseClaim('log-unavailable', error.message, error);
    }
    this.pendingClaims.abandon(nonce);
    if (read.isErr()) {
      return refuseClaim('claim-unknown', read.error.message, read.error);
    }
    return refuseClaim('log-unavailable', 'the claim is not in the log', error);
  }

  private toOutcome(
    key: string,
    keyMs: number,
    {verdict, offset}: EvaluatedClaim,
  ): Result<ClaimOutcome, BanyanfoldError> {
    const handlers: {
      [K in ClaimVerdict['kind']]: (
        verdict: Extract<ClaimVerdict, {kind: K}>,
      ) => Result<ClaimOutcome, BanyanfoldError>;
    } = {
      refused: ({code}) =>
        refuseClaim(code, 'outside the claim window at its append'),
      taken: () => ok(this.toTaken(this.fold.stateOf(key))),
      owner: owned => {
        if (this.hasSeenAllClaimsOf(keyMs)) return ok(owned);
        this.releaseInBackground(key, offset);
        return refuseClaim(
          'key-too-old',
          'an earlier claim may have been trimmed',
        );
      },
    };
    const handler = handlers[verdict.kind] as (
      verdict: ClaimVerdict,
    ) => Result<ClaimOutcome, BanyanfoldError>;
    return handler(verdict);
  }

  /** Whether this fold cannot have missed an earlier claim of the key. */
  private hasSeenAllClaimsOf(keyMs: number): boolean {
    return this.missedRecords.hasSeenAllSince(keyMs - this.window.maxAheadMs);
  }

  private toTaken(state: KeyState | undefined): ClaimOutcome {
    return {
      kind: 'taken',
      finished: state?.finished,
      ownedBySelf: state?.owner === this.options.owner,
    };
  }

  private applyPage(page: DeliveredPage): void {
    this.missedRecords.recordPage(page);
    for (const record of page.records) {
      const evaluated = this.fold.apply(record);
      if (evaluated) this.releaseIfAbandoned(evaluated);
    }
    this.fold.dropExpired(page.nowMs);
    this.pendingClaims.dropExpired(page.nowMs);
  }

  private releaseInBackground(key: string, offset: number): void {
    const {logger} = this.options;
    runInBackground({logger, step: 'release-key'}, async () => {
      await this.release(key, offset);
    });
  }

  private releaseIfAbandoned(evaluated: EvaluatedClaim): void {
    if (!this.pendingClaims.recordEvaluated(evaluated)) return;
    const {offset, claim} = evaluated;
    this.options.logger.info('late-claim-released', {claimOffset: offset});
    this.releaseInBackground(claim.key, offset);
  }
}
