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
import {MissedRecords} from './missedRecords.js';

export interface RetirementsOptions extends RetirementFoldOptions {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  vmId: string;
  /** The minimum time for which the log keeps a record. */
  retentionMs: number;
  createNonce?(): string;
}

export interface RetireRequest {
  copyId: string;
  artifact: string;
  /** Copies of the same artifact that other backend servers report as held. */
  reliesOnCopyIds: readonly string[];
  /** Whether the latest configuration no longer contains the artifact. */
  isUnpublished?: boolean;
  /** When these copies were seen, by the log's clock. Defaults to now. */
  viewedAtMs?: number;
}

const PLACE = {step: 'retire-copy', peer: 'log'} as const;

/**
 * Retires copies through the log, so that concurrent retirements on several
 * backend servers never leave an artifact without a copy.
 *
 * @example
 * const verdict = await retirements.retireCopy({copyId, artifact,
 *   reliesOnCopyIds});
 * if (verdict.isOk() && verdict.value.kind === 'accepted') unload(copyId);
 */
export class Retirements {
  private readonly fold: RetirementFold;
  private readonly missedRecords: MissedRecords;
  private readonly follower: StreamFollower;
  private readonly pending = new Map<string, RetireVerdict | undefined>();

  /** @throws BanyanfoldError `retirement-memory-too-long`. */
  constructor(private readonly options: RetirementsOptions) {
    assertMemoryFitsRetention(options);
    this.fold = new RetirementFold(options);
    this.missedRecords = new MissedRecords(options.retentionMs);
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

  /** Resolves when the fold first reaches the end of the stream. */
  caughtUp(): Promise<void> {
    return this.follower.caughtUp();
  }

  /**
   * Whether a copy is retired. It may be unloaded and must not be relied on.
   */
  isRetired(copyId: string): boolean {
    return this.fold.isRetired(copyId);
  }

  /**
   * Requests the retirement of a copy. Only `accepted` permits the unload. On
   * an error the copy must be kept. If its record is appended later, the other
   * backend servers treat the copy as retired and keep theirs, which is safe.
   *
   * @returns the verdict, or the error `log-unavailable` or `append-unknown`.
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
      return err(
        this.toError('log-unavailable', 'the log has not been read yet'),
      );
    }
    const nonce = (this.options.createNonce ?? uuidV4)();
    this.pending.set(nonce, undefined);
    const verdict = await this.appendAndEvaluate({
      kind: 'retire',
      copyId: request.copyId,
      artifact: request.artifact,
      vmId: this.options.vmId,
      reliesOnCopyIds: [...request.reliesOnCopyIds],
      isUnpublished: request.isUnpublished ?? false,
      nonce,
      viewedAtMs,
    });
    this.pending.delete(nonce);
    return verdict;
  }

  private async appendAndEvaluate(
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
    if (read.isErr()) return err(this.toError('append-unknown', 'no verdict'));
    const verdict = this.pending.get(value.nonce);
    if (verdict && this.hasFullHistory(value.viewedAtMs)) return ok(verdict);
    return err(this.toError('append-unknown', 'earlier records were trimmed'));
  }

  /** Whether this fold has read every retirement that affects the record. */
  private hasFullHistory(viewedAtMs: number): boolean {
    const {memoryMs = DEFAULT_RETIREMENT_OPTIONS.memoryMs} = this.options;
    return this.missedRecords.hasSeenAllSince(viewedAtMs - memoryMs);
  }

  private applyPage(page: DeliveredPage): void {
    this.missedRecords.recordPage(page);
    for (const record of page.records) {
      const evaluated = this.fold.apply(record);
      if (!evaluated) continue;
      const {nonce} = evaluated.record;
      if (this.pending.has(nonce)) this.pending.set(nonce, evaluated.verdict);
    }
  }

  private toError(code: string, message: string): BanyanfoldError {
    return new BanyanfoldError(code, message, PLACE);
  }
}

/**
 * A new reader must be able to read all retirements that others hold in memory.
 */
function assertMemoryFitsRetention({
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
