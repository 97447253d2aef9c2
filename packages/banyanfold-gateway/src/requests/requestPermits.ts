import type {Clock} from '@banyanfold/core';
import type {RetryPermit, ServiceRetryBudget} from './serviceRetryBudget.js';

/**
 * Decides whether one request may be sent: freely as long as no attempt of it
 * can have arrived at a runner, and then with a permit of the retry budget for
 * each attempt.
 */
export class RequestPermits {
  private hasArrived = false;
  private permit: RetryPermit | undefined;
  private isInFlight = false;
  private isOver = false;

  constructor(
    private readonly clock: Clock,
    private readonly budget: () => ServiceRetryBudget,
  ) {}

  /** Whether the request may be sent now. */
  get maySend(): boolean {
    if (!this.hasArrived) return true;
    const {permit, clock} = this;
    return permit !== undefined && permit.expiresAtMs > clock.nowMs();
  }

  /** Number of permits that the entry has left. */
  get left(): number {
    return this.budget().available;
  }

  /** Resolves to whether the request may be sent, with a new permit if needed. */
  async obtain(): Promise<boolean> {
    if (this.maySend) return true;
    this.permit = await this.budget().acquire();
    if (this.isOver) this.release();
    return this.maySend;
  }

  /** To be called right before an attempt. */
  noteAttempt(): void {
    this.isInFlight = true;
  }

  /**
   * To be called after an attempt.
   *
   * @param mayHaveArrived false if nothing was sent; the permit is kept then.
   */
  noteResult(mayHaveArrived: boolean): void {
    this.isInFlight = false;
    if (mayHaveArrived) {
      this.hasArrived = true;
      this.permit = undefined;
    }
    if (this.isOver) this.release();
  }

  /** To be called when the request is finished. */
  end(): void {
    this.isOver = true;
    if (!this.isInFlight) this.release();
  }

  private release(): void {
    const {permit} = this;
    this.permit = undefined;
    if (permit) this.budget().putBack(permit);
  }
}
