import {BanyanfoldError} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import type {OriginBatches, OriginBatchStore} from '../types.js';

const down = err(
  new BanyanfoldError('no-answer', 'none', {step: 'origins', peer: 'store'}),
);

/** Keeps batches in memory. */
export class FakeOriginBatchStore implements OriginBatchStore {
  writesPerSecond = 400;
  batches: Buffer[] = [];
  isDown = false;
  /** Calls get no answer while this is set. */
  isSilent = false;
  appends = 0;
  /** Called by the next read before it answers. */
  onRead: () => void = () => {};
  readonly reads: Array<number | undefined> = [];
  private readonly resetListeners: Array<() => void> = [];

  onReset(listener: () => void): void {
    this.resetListeners.push(listener);
  }

  /** Comes back from a copy that has only the first batches. */
  restore(batchCount: number): void {
    this.batches.splice(batchCount);
    for (const listener of this.resetListeners) listener();
  }

  async append(batch: Buffer): Promise<Result<void, BanyanfoldError>> {
    this.appends += 1;
    if (this.isSilent) return new Promise(() => {});
    if (this.isDown) return down;
    this.batches.push(batch);
    return ok();
  }

  async readNewest(
    maxBatches: number,
    after = 0,
  ): Promise<Result<OriginBatches, BanyanfoldError>> {
    this.reads.push(after);
    if (this.isSilent) return new Promise(() => {});
    if (this.isDown) return down;
    const onRead = this.onRead;
    this.onRead = () => {};
    onRead();
    const from = Math.max(after, this.batches.length - maxBatches);
    return ok({
      batches: this.batches.slice(from),
      cursor: this.batches.length,
    });
  }
}
