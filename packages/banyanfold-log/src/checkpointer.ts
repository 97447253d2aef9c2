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
  /** Those among whom one re-appends checkpoints, this VM included. */
  liveVmIds(): readonly string[];
  /** How long the log keeps a record. */
  retentionMs: number;
}

/** The owner acts at half the retention, the others one step later each. */
const OWNER_SHARE = 1 / 2;
const RANK_SHARE = 1 / 16;
const MAX_RANK = 4;

/**
 * Appends the configuration in force again before the log forgets what a
 * newcomer needs. Without it, once all VMs had been replaced, nobody would
 * know the configuration any more. One VM does it, by rendezvous order, and
 * the next ones only when it hasn't; two at once do no harm, for both tell
 * the same state.
 */
export class Checkpointer {
  private readonly age = new CheckpointAge();
  private isAppending = false;
  /** Since when no newcomer could begin from the log; by the log's clock. */
  private baseLostSinceMs: number | undefined;

  constructor(private readonly options: CheckpointerOptions) {}

  /** Takes in each record of the `config` stream. */
  note(record: LogRecord): void {
    this.age.note(record);
  }

  /** Called from time to time. */
  async appendWhenDue(
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
    const delayMs = retentionMs * RANK_SHARE * this.rank();
    const {neededSinceMs} = this.age;
    if (neededSinceMs === undefined) {
      this.baseLostSinceMs ??= logNowMs;
      return logNowMs - this.baseLostSinceMs >= delayMs;
    }
    this.baseLostSinceMs = undefined;
    return logNowMs - neededSinceMs >= retentionMs * OWNER_SHARE + delayMs;
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
