import type {BanyanfoldError} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {v4 as uuidV4} from 'uuid';
import {BatchAppender, DEFAULT_BATCH_OPTIONS} from './batchAppender.js';
import {ClaimNotes} from './claimNotes.js';
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
import {OwnClaims} from './ownClaims.js';
import {refuseClaim} from './refuseClaim.js';
import {StreamFollower, type DeliveredPage} from './streamFollower.js';
import {STREAMS} from './types.js';
import {UnseenRecords} from './unseenRecords.js';

/**
 * Claims idempotency keys, so that a request which may not be repeated runs at
 * most once: of all claims of a key the first in the log owns it, and only its
 * owner dispatches. Ownership doesn't lapse, so a process that was paused
 * after its verdict loses nothing to a successor.
 *
 * When the answer to an append is lost, the log is searched for the claim. If
 * that can't be done, the claim is abandoned: the caller is refused, and
 * should the claim turn out to own the key, it is released then. That is safe
 * because this process has promised, by abandoning, never to dispatch it.
 *
 * @example
 * const outcome = await claims.claim(key);
 * if (outcome.isOk() && outcome.value.kind === 'owner') dispatch();
 */
export class KeyClaims {
  private readonly window: ClaimWindow;
  private readonly fold: ClaimsFold;
  private readonly unseen: UnseenRecords;
  private readonly follower: StreamFollower;
  private readonly appender: BatchAppender;
  private readonly createNonce: () => string;
  private readonly own: OwnClaims;
  private readonly notes: ClaimNotes;

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
    this.unseen = new UnseenRecords(retentionMs);
    const stream = STREAMS.claims;
    const {
      owner,
      bodyLimitBytes = DEFAULT_BODY_LIMIT_BYTES,
      lingerMs = DEFAULT_BATCH_OPTIONS.lingerMs,
    } = options;
    this.own = new OwnClaims(this.window);
    this.appender = new BatchAppender({log, stream, clock, lingerMs});
    const {appender} = this;
    this.notes = new ClaimNotes({
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

  /** Resolves once the whole stream was folded for the first time. */
  caughtUp(): Promise<void> {
    return this.follower.caughtUp();
  }

  /** How many keys are remembered. */
  get keyCount(): number {
    return this.fold.size;
  }

  /**
   * Claims a key. A caller that gives up waiting for the verdict must still
   * `release` the key if the verdict is `owner`.
   *
   * @returns `owner`: dispatch; `taken`: somebody dispatched or will; or an
   *     error with a `ClaimErrorCode`: this claim runs nothing, now or later.
   */
  claim(text: string): ResultAsync<ClaimOutcome, BanyanfoldError> {
    return new ResultAsync(this.claimKey(text));
  }

  /** Tells all what the run of an owned key came to. */
  finish(key: string, run: FinishedRun): ResultAsync<number, BanyanfoldError> {
    return this.notes.finish(key, run);
  }

  /** Gives back an owned key that was not dispatched and never will be. */
  release(
    key: string,
    claimOffset: number,
  ): ResultAsync<number, BanyanfoldError> {
    return this.notes.release(key, claimOffset);
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
    const early = this.judgeEarly(timed);
    if (early) return early;
    return this.appendClaim(timed);
  }

  /** Spares the log an append whose verdict is known before. */
  private judgeEarly({
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
    this.own.begin(nonce, keyMs);
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
      : await this.lookForLost(offset.error);
    const judged = this.own.takeJudged(nonce);
    if (judged) return this.toOutcome(key, keyMs, judged);
    return this.abandon(nonce, offset, read);
  }

  private async lookForLost(
    error: BanyanfoldError,
  ): Promise<Result<number, BanyanfoldError>> {
    if (error.code !== 'append-unknown') return err(error);
    return this.follower.readNow();
  }

  /** From here on the claim never dispatches, even if it arrives later. */
  private abandon(
    nonce: string,
    offset: Result<number, BanyanfoldError>,
    read: Result<number, BanyanfoldError>,
  ): Result<ClaimOutcome, BanyanfoldError> {
    const error = offset.isErr() ? offset.error : undefined;
    if (error && error.code !== 'append-unknown') {
      this.own.forget(nonce);
      return refuseClaim('log-unavailable', error.message, error);
    }
    this.own.abandon(nonce);
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
      refused: ({code}) => refuseClaim(code, 'by the time of its append'),
      taken: () => ok(this.toTaken(this.fold.stateOf(key))),
      owner: owned => {
        if (this.hasSeenAllOf(keyMs)) return ok(owned);
        void this.release(key, offset);
        return refuseClaim('key-too-old', 'an earlier claim may be forgotten');
      },
    };
    const handler = handlers[verdict.kind] as (
      verdict: ClaimVerdict,
    ) => Result<ClaimOutcome, BanyanfoldError>;
    return handler(verdict);
  }

  /** Whether no earlier claim of the key can have escaped this fold. */
  private hasSeenAllOf(keyMs: number): boolean {
    return this.unseen.hasSeenSince(keyMs - this.window.maxAheadMs);
  }

  private toTaken(state: KeyState | undefined): ClaimOutcome {
    return {
      kind: 'taken',
      finished: state?.finished,
      ownedBySelf: state?.owner === this.options.owner,
    };
  }

  private applyPage(page: DeliveredPage): void {
    this.unseen.note(page);
    for (const record of page.records) {
      const judged = this.fold.apply(record);
      if (judged) this.noteJudged(judged);
    }
    this.fold.dropExpired(page.nowMs);
    this.own.dropForgotten(page.nowMs);
  }

  private noteJudged(judged: EvaluatedClaim): void {
    if (!this.own.noteJudged(judged)) return;
    const {offset, claim} = judged;
    this.options.logger.info('late-claim-released', {claimOffset: offset});
    void this.release(claim.key, offset);
  }
}
