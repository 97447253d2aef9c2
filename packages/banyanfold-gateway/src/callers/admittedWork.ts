import type {PoolBacklog} from '@banyanfold/decisions';
import type {ShareMeter} from './shareMeter.js';

/** One admitted request in the backlog of its pool until its first byte. */
export class AdmittedWork {
  private isWaiting = true;

  constructor(
    private readonly meter: ShareMeter,
    private readonly pool: string,
    private readonly backlog: PoolBacklog,
  ) {
    meter.changeBacklog(pool, backlog, 1);
  }

  /** Counts the request as completed once its response starts. Idempotent. */
  markStarted(): void {
    this.leave({completed: this.backlog.work, dropped: 0});
  }

  /**
   * Takes the request out of the backlog if its response has not started.
   *
   * @param isDropped no runner had a place for it in time.
   */
  end(isDropped: boolean): void {
    const {work} = this.backlog;
    this.leave({completed: 0, dropped: isDropped ? work : 0});
  }

  private leave(progress: {completed: number; dropped: number}): void {
    if (!this.isWaiting) return;
    this.isWaiting = false;
    const {meter, pool, backlog} = this;
    meter.changeBacklog(pool, backlog, -1);
    if (progress.completed > 0 || progress.dropped > 0) {
      meter.addProgress({pool, ...progress});
    }
  }
}
