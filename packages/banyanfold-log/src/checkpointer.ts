import type {ConfigFold} from '@banyanfold/config';
import type {Logger} from '@banyanfold/core';
import {CheckpointAge} from './checkpointAge.js';
import {rendezvousOrder} from './rendezvousOrder.js';
import type {StreamFollower} from './streamFollower.js';
import {STREAMS, type LogRecord, type LogService} from './types.js';

export interface CheckpointerOptions {
  log: LogService;
  logger: Logger;
  vmId: string;
  /**
   * The VMs that share the task of appending checkpoints, including this one.
   */
  liveVmIds(): readonly string[];
  /** How long the log keeps a record. */
  retentionMs: number;
}

/** The first VM acts at half the retention, each further VM one step later. */
const FIRST_RANK_RETENTION_SHARE = 1 / 2;
const RETENTION_SHARE_PER_RANK = 1 / 16;
const MAX_RANK = 4;

/**
 * Appends a checkpoint of the configuration in force before the log trims the
 * records that a new reader needs. Otherwise the configuration would be lost
 * once all VMs had been replaced. The first VM in rendezvous order appends it,
 * and the next ones only if it has not. Concurrent checkpoints are harmless,
 * because they contain the same state.
 */
export class Checkpointer {
  private readonly age = new CheckpointAge();
  private isAppending = false;
  /** Since when no new reader could build the state, by the log's clock. */
  private baseLostSinceMs: number | undefined;

  constructor(private readonly options: CheckpointerOptions) {}

  /** To be called for each record of the `config` stream. */
  observe(record: LogRecord): void {
    this.age.observe(record);
  }

  /** Appends a checkpoint if one is due. To be called periodically. */
  async appendIfDue(
    follower: Pick<StreamFollower, 'logNowMs' | 'hasCaughtUp'>,
    fold: Pick<ConfigFold, 'state' | 'needsBase'>,
  ): Promise<void> {
    if (this.isAppending || !fold.state || fold.needsBase) return;
    if (!follower.hasCaughtUp || follower.logNowMs === undefined) return;
    if (!this.isDue(follower.logNowMs)) return;
    this.isAppending = true;
    await this.append(fold.state);
    this.isAppending = false;
  }

  private isDue(logNowMs: number): boolean {
    const {retentionMs} = this.options;
    const delayMs = retentionMs * RETENTION_SHARE_PER_RANK * this.rank();
    const {neededSinceMs} = this.age;
    if (neededSinceMs === undefined) {
      this.baseLostSinceMs ??= logNowMs;
      return logNowMs - this.baseLostSinceMs >= delayMs;
    }
    this.baseLostSinceMs = undefined;
    return (
      logNowMs - neededSinceMs >=
      retentionMs * FIRST_RANK_RETENTION_SHARE + delayMs
    );
  }

  private rank(): number {
    const {vmId, liveVmIds} = this.options;
    const index = rendezvousOrder('checkpoint', liveVmIds()).indexOf(vmId);
    return index < 0 ? MAX_RANK : Math.min(index, MAX_RANK);
  }

  private async append(state: NonNullable<ConfigFold['state']>): Promise<void> {
    const {log, logger} = this.options;
    const {version, foldedThrough} = state;
    const value = {kind: 'checkpoint', ...state};
    const appended = await log.append(STREAMS.config, [value]);
    if (appended.isErr()) {
      const {code, step, peer} = appended.error;
      logger.warn('checkpoint-failed', {code, step, peer, version});
      return;
    }
    const offset = appended.value.firstOffset;
    logger.info('checkpoint-appended', {offset, version, foldedThrough});
  }
}
