import {
  BanyanfoldError,
  toBanyanfoldError,
  type Clock,
  type Logger,
  type Timer,
} from '@banyanfold/core';
import {
  ConfigFold,
  type ConfigState,
  type ConfigVerdict,
  type PublishedConfig,
  type PublishRecord,
} from '@banyanfold/config';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {v4 as uuidV4} from 'uuid';
import {appendOnce} from './appendOnce.js';
import {Checkpointer} from './checkpointer.js';
import {StreamFollower, type FollowedPage} from './streamFollower.js';
import {STREAMS, type LogService} from './types.js';

export interface ConfigFollowerOptions {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  vmId: string;
  /** Those among whom one re-appends checkpoints, this VM included. */
  liveVmIds(): readonly string[];
  /** How long the log keeps a record. */
  retentionMs: number;
  /**
   * Asked until the end of the log was reached once, and while a gap keeps the
   * fold from going on. Two peers are enough; each answer is a whole state.
   */
  fetchPeerSnapshots?(): Promise<readonly unknown[]>;
  /** Called after each change of version. */
  onChange?(state: ConfigState): void;
  checkpointCheckMs?: number;
  createNonce?(): string;
}

export interface PublishRequest {
  /** The version it is based on; 0 for the first. */
  baseVersion: number;
  publisher: string;
  body: PublishedConfig;
}

const DEFAULT_CHECKPOINT_CHECK_MS = 5_000;
const PUBLISH_PLACE = {step: 'publish-config', peer: 'log'} as const;

/**
 * Keeps the configuration in force: follows the `config` stream, takes newer
 * state from peers, and appends a checkpoint again before the log forgets
 * what a newcomer needs.
 *
 * @example
 * const follower = new ConfigFollower({log, clock, logger, random, vmId,
 *   liveVmIds: () => ['entry-1'], retentionMs: 3_600_000});
 * follower.start();
 * await follower.ready();
 */
export class ConfigFollower {
  private readonly fold = new ConfigFold();
  private readonly checkpointer: Checkpointer;
  private readonly follower: StreamFollower;
  private readonly createNonce: () => string;
  private timer: Timer | undefined;
  private lastVersion = 0;
  private readonly readyPromise: Promise<void>;
  private resolveReady: () => void = () => {};

  constructor(private readonly options: ConfigFollowerOptions) {
    this.createNonce = options.createNonce ?? uuidV4;
    this.checkpointer = new Checkpointer(options);
    this.follower = new StreamFollower({
      log: options.log,
      stream: STREAMS.config,
      clock: options.clock,
      logger: options.logger,
      random: options.random,
      onPage: page => this.applyPage(page),
    });
    this.readyPromise = new Promise(resolve => {
      this.resolveReady = resolve;
    });
  }

  /** The configuration in force, or undefined when none is known. */
  get state(): ConfigState | undefined {
    return this.fold.state;
  }

  /** The version in force; 0 for none. */
  get version(): number {
    return this.fold.state?.version ?? 0;
  }

  /** The log's clock, as `viewedAtMs` of a retirement wants it. */
  get logNowMs(): number | undefined {
    return this.follower.logNowMs;
  }

  /** Whether a gap in the log keeps this node from following changes. */
  get needsBase(): boolean {
    return this.fold.needsBase;
  }

  /** Resolves when there is a configuration in force here. */
  ready(): Promise<void> {
    return this.readyPromise;
  }

  /** Resolves once the end of the log was reached for the first time. */
  caughtUp(): Promise<void> {
    return this.follower.caughtUp();
  }

  start(): void {
    this.follower.start();
    void this.askPeers();
    this.scheduleCheck();
  }

  stop(): void {
    this.follower.stop();
    this.timer?.cancel();
  }

  /** Takes a peer's state when it is newer; says whether it was. */
  restore(snapshot: unknown): boolean {
    const isTaken = this.fold.restore(snapshot);
    if (isTaken) this.noteChange();
    return isTaken;
  }

  /** Folds through the end of the log as it is now. */
  readNow(): ResultAsync<number, BanyanfoldError> {
    return this.follower.readNow();
  }

  /**
   * Publishes a configuration and waits for the verdict on it.
   *
   * @returns `accepted` with its version, or `void` with the version in force;
   *     or an error: `log-unavailable` and `config-needs-base` (it isn't
   *     published), or `append-unknown` (it may be, now or later: read the
   *     version again).
   * @example
   * await follower.publishConfig({baseVersion: follower.version,
   *   publisher: 'ana', body});
   */
  publishConfig(
    request: PublishRequest,
  ): ResultAsync<ConfigVerdict, BanyanfoldError> {
    return new ResultAsync(this.publish(request));
  }

  private async publish(
    request: PublishRequest,
  ): Promise<Result<ConfigVerdict, BanyanfoldError>> {
    const {log} = this.options;
    if (this.fold.needsBase) {
      const message = 'a gap in the log hides the version in force';
      const code = 'config-needs-base';
      return err(new BanyanfoldError(code, message, PUBLISH_PLACE));
    }
    const nonce = this.createNonce();
    const value: PublishRecord = {kind: 'publish', nonce, ...request};
    const offset = await appendOnce({
      log,
      stream: STREAMS.config,
      value,
      fromOffset: this.follower.position,
      notSeenCode: 'append-unknown',
    });
    if (offset.isErr()) return err(offset.error);
    const read = await this.follower.readThrough(offset.value);
    const verdict = this.fold.verdict(offset.value);
    if (verdict) return ok(verdict);
    const message = read.isErr()
      ? `appended at ${offset.value}, but not judged: ${read.error.message}`
      : `appended at ${offset.value}, but a gap in the log hides its base`;
    return err(new BanyanfoldError('append-unknown', message, PUBLISH_PLACE));
  }

  private applyPage(page: FollowedPage): void {
    this.fold.detectGap(page.firstOffset);
    for (const record of page.records) {
      this.fold.apply(record);
      this.checkpointer.note(record);
    }
    this.noteChange();
    if (this.fold.needsBase) void this.askPeers();
  }

  private noteChange(): void {
    const state = this.fold.state;
    if (!state || state.version === this.lastVersion) return;
    this.lastVersion = state.version;
    const {logger, onChange} = this.options;
    logger.info('config-in-force', {version: state.version});
    onChange?.(state);
    this.resolveReady();
  }

  private async askPeers(): Promise<void> {
    const {fetchPeerSnapshots, logger} = this.options;
    if (!fetchPeerSnapshots) return;
    try {
      for (const snapshot of await fetchPeerSnapshots()) this.restore(snapshot);
    } catch (thrown) {
      const place = {step: 'fetch-config-snapshots', peer: 'entries'};
      const {code, step, peer, message} = toBanyanfoldError(
        thrown,
        'peers-unreachable',
        place,
      );
      logger.warn('config-peers-failed', {code, step, peer, message});
    }
  }

  private scheduleCheck(): void {
    const {clock, checkpointCheckMs = DEFAULT_CHECKPOINT_CHECK_MS} =
      this.options;
    this.timer = clock.setTimer(checkpointCheckMs, () => {
      void this.check();
      this.scheduleCheck();
    });
  }

  private async check(): Promise<void> {
    const {hasCaughtUp} = this.follower;
    if (this.fold.needsBase || !hasCaughtUp) await this.askPeers();
    await this.checkpointer.appendWhenDue(this.follower, this.fold);
  }
}
