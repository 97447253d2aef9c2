import {BanyanfoldError, type Clock, type Logger} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {v4 as uuidV4} from 'uuid';
import {appendOnce} from './appendOnce.js';
import {
  DEFAULT_RETIREMENT_OPTIONS,
  RetirementFold,
  type RetireRecord,
  type RetirementFoldOptions,
  type RetireVerdict,
} from './retirementFold.js';
import {StreamFollower, type DeliveredPage} from './streamFollower.js';
import {STREAMS, type LogService} from './types.js';
import {UnseenRecords} from './unseenRecords.js';

export interface RetirementsOptions extends RetirementFoldOptions {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  vmId: string;
  /** How long the log keeps a record, at least. */
  retentionMs: number;
  createNonce?(): string;
}

export interface RetireRequest {
  copyId: string;
  artifact: string;
  /** Copies of the same artifact on other backend servers, seen as held. */
  reliesOnCopyIds: readonly string[];
  /** Whether the configuration, read just now, has the artifact no more. */
  isUnpublished?: boolean;
  /** When they were seen, by the log's clock; now when left out. */
  viewedAtMs?: number;
}

const PLACE = {step: 'retire-copy', peer: 'log'} as const;

/**
 * Asks the log whether a copy may go, so that copies retired at the same time
 * on several backend servers never leave an artifact without any.
 *
 * @example
 * const verdict = await retirements.retireCopy({copyId, artifact,
 *   reliesOnCopyIds});
 * if (verdict.isOk() && verdict.value.kind === 'accepted') unload(copyId);
 */
export class Retirements {
  private readonly fold: RetirementFold;
  private readonly unseen: UnseenRecords;
  private readonly follower: StreamFollower;
  private readonly awaited = new Map<string, RetireVerdict | undefined>();

  /** @throws BanyanfoldError `retirement-memory-too-long`. */
  constructor(private readonly options: RetirementsOptions) {
    assertMemoryFits(options);
    this.fold = new RetirementFold(options);
    this.unseen = new UnseenRecords(options.retentionMs);
    const {log, clock, logger, random} = options;
    this.follower = new StreamFollower({
      log,
      stream: STREAMS.retirements,
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

  /** Whether a copy may be unloaded; a copy that may must not be relied on. */
  isRetired(copyId: string): boolean {
    return this.fold.isRetired(copyId);
  }

  /**
   * Asks for the retirement of a copy. Only `accepted` permits the unload. On
   * an error the copy stays; if its record arrives later, the copy counts as
   * retired for others, who then keep theirs, which is on the safe side.
   *
   * @returns the verdict, or `log-unavailable`, or `append-unknown`.
   */
  retireCopy(
    request: RetireRequest,
  ): ResultAsync<RetireVerdict, BanyanfoldError> {
    return new ResultAsync(this.retire(request));
  }

  private async retire(
    request: RetireRequest,
  ): Promise<Result<RetireVerdict, BanyanfoldError>> {
    const viewedAtMs = request.viewedAtMs ?? this.follower.logNowMs;
    if (viewedAtMs === undefined) {
      return err(this.fail('log-unavailable', 'the log was not read yet'));
    }
    const nonce = (this.options.createNonce ?? uuidV4)();
    this.awaited.set(nonce, undefined);
    const verdict = await this.appendAndJudge({
      kind: 'retire',
      copyId: request.copyId,
      artifact: request.artifact,
      vmId: this.options.vmId,
      reliesOnCopyIds: [...request.reliesOnCopyIds],
      isUnpublished: request.isUnpublished ?? false,
      nonce,
      viewedAtMs,
    });
    this.awaited.delete(nonce);
    return verdict;
  }

  private async appendAndJudge(
    value: RetireRecord,
  ): Promise<Result<RetireVerdict, BanyanfoldError>> {
    const {log} = this.options;
    const offset = await appendOnce({
      log,
      stream: STREAMS.retirements,
      value,
      fromOffset: this.follower.position,
    });
    if (offset.isErr()) return err(offset.error);
    const read = await this.follower.readThrough(offset.value);
    if (read.isErr()) return err(this.fail('append-unknown', 'not judged'));
    const verdict = this.awaited.get(value.nonce);
    if (verdict && this.hasSeenMemoryOf(value.viewedAtMs)) return ok(verdict);
    return err(this.fail('append-unknown', 'earlier records were trimmed'));
  }

  /** Whether no retirement that the record must heed escaped this fold. */
  private hasSeenMemoryOf(viewedAtMs: number): boolean {
    const {memoryMs = DEFAULT_RETIREMENT_OPTIONS.memoryMs} = this.options;
    return this.unseen.hasSeenSince(viewedAtMs - memoryMs);
  }

  private applyPage(page: DeliveredPage): void {
    this.unseen.note(page);
    for (const record of page.records) {
      const judged = this.fold.apply(record);
      if (!judged) continue;
      const {nonce} = judged.record;
      if (this.awaited.has(nonce)) this.awaited.set(nonce, judged.verdict);
    }
  }

  private fail(code: string, message: string): BanyanfoldError {
    return new BanyanfoldError(code, message, PLACE);
  }
}

/** A newcomer must be able to read all that the others remember. */
function assertMemoryFits({
  memoryMs = DEFAULT_RETIREMENT_OPTIONS.memoryMs,
  maxViewAgeMs = DEFAULT_RETIREMENT_OPTIONS.maxViewAgeMs,
  retentionMs,
}: RetirementsOptions): void {
  if (memoryMs + maxViewAgeMs < retentionMs) return;
  throw new BanyanfoldError(
    'retirement-memory-too-long',
    `memoryMs + maxViewAgeMs (${memoryMs} + ${maxViewAgeMs}) must be less ` +
      `than the log's retention (${retentionMs}); lower memoryMs`,
    {step: 'check-retirement-memory', peer: 'self'},
  );
}
