import {
  BanyanfoldError,
  type Clock,
  type Logger,
  runInBackground,
  type Timer,
  toBanyanfoldError,
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
import {StreamFollower, type DeliveredPage} from './streamFollower.js';
import {STREAMS, type LogService} from './types.js';

export interface ConfigFollowerOptions {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  vmId: string;
  /**
   * The VMs that share the task of appending checkpoints, including this one.
   */
  liveVmIds(): readonly string[];
  /** How long the log keeps a record. */
  retentionMs: number;
  /**
   * Called until the follower first reaches the end of the log, and while a gap
   * blocks the fold. Two peers suffice, because each returns a complete state.
   */
  fetchPeerSnapshots?(): Promise<readonly unknown[]>;
  /** Called after each change of the version in force. */
  onChange?(state: ConfigState): void;
  checkpointCheckMs?: number;
  createNonce?(): string;
}

export interface PublishRequest {
  /** The version that this one replaces; 0 for the first. */
  baseVersion: number;
  publisher: string;
  body: PublishedConfig;
}

const DEFAULT_CHECKPOINT_CHECK_MS = 5_000;
const PUBLISH_PLACE = {step: 'publish-config', peer: 'log'} as const;

/**
 * Maintains the configuration in force. It follows the `config` stream, adopts
 * newer state from peers, and appends a checkpoint before the log trims the
 * records that a new reader needs.
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

  /** The configuration in force, or undefined if none is known. */
  get state(): ConfigState | undefined {
    return this.fold.state;
  }

  /** The version in force; 0 if none is known. */
  get version(): number {
    return this.fold.state?.version ?? 0;
  }

  /** The log's current time, for example for `viewedAtMs` of a retirement. */
  get logNowMs(): number | undefined {
    return this.follower.logNowMs;
  }

  /** Whether a gap in the log prevents this node from following changes. */
  get needsBase(): boolean {
    return this.fold.needsBase;
  }

  /** Resolves when this node first has a configuration in force. */
  ready(): Promise<void> {
    return this.readyPromise;
  }

  /** Resolves when the follower first reaches the end of the log. */
  caughtUp(): Promise<void> {
    return this.follower.caughtUp();
  }

  start(): void {
    this.follower.start();
    this.fetchInBackground();
    this.schedulePeriodicCheck();
  }

  stop(): void {
    this.follower.stop();
    this.timer?.cancel();
  }

  /** Adopts a peer's state if it is newer. Returns whether it was adopted. */
  restore(snapshot: unknown): boolean {
    const isTaken = this.fold.restore(snapshot);
    if (isTaken) this.notifyOnChange();
    return isTaken;
  }

  /** Folds all records up to the current end of the log. */
  readNow(): ResultAsync<number, BanyanfoldError> {
    return this.follower.readNow();
  }

  /**
   * Publishes a configuration and waits for its verdict.
   *
   * @returns `accepted` with its version, or `void` with the version in force,
   *     or an error: `log-unavailable` or `config-needs-base` (it was not
   *     published), or `append-unknown` (it may be published now or later, so
   *     read the version again).
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
      notFoundCode: 'append-unknown',
    });
    if (offset.isErr()) return err(offset.error);
    const read = await this.follower.readThrough(offset.value);
    const verdict = this.fold.verdict(offset.value);
    if (verdict) return ok(verdict);
    const message = read.isErr()
      ? `appended at ${offset.value}, but its verdict is unknown: ${read.error.message}`
      : `appended at ${offset.value}, but a gap in the log hides its base version`;
    return err(new BanyanfoldError('append-unknown', message, PUBLISH_PLACE));
  }

  private applyPage(page: DeliveredPage): void {
    this.fold.detectGap(page.firstOffset);
    for (const record of page.records) {
      this.fold.apply(record);
      this.checkpointer.observe(record);
    }
    this.notifyOnChange();
    if (this.fold.needsBase) this.fetchInBackground();
  }

  private notifyOnChange(): void {
    const state = this.fold.state;
    if (!state || state.version === this.lastVersion) return;
    this.lastVersion = state.version;
    const {logger, onChange} = this.options;
    logger.info('config-in-force', {version: state.version});
    onChange?.(state);
    this.resolveReady();
  }

  private fetchInBackground(): void {
    const {logger} = this.options;
    runInBackground({logger, step: 'fetch-config'}, () =>
      this.fetchFromPeers(),
    );
  }

  private async fetchFromPeers(): Promise<void> {
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

  private schedulePeriodicCheck(): void {
    const {clock, checkpointCheckMs = DEFAULT_CHECKPOINT_CHECK_MS} =
      this.options;
    this.timer = clock.setTimer(checkpointCheckMs, () => {
      const {logger} = this.options;
      runInBackground({logger, step: 'check-config'}, () =>
        this.runPeriodicCheck(),
      );
      this.schedulePeriodicCheck();
    });
  }

  private async runPeriodicCheck(): Promise<void> {
    const {hasCaughtUp} = this.follower;
    if (this.fold.needsBase || !hasCaughtUp) await this.fetchFromPeers();
    await this.checkpointer.appendIfDue(this.follower, this.fold);
  }
}
