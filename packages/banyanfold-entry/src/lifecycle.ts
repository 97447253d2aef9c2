/** Whether this entry leaves, and what is still open at it. */
export class Lifecycle {
  leaving = false;
  private openRequests = 0;
  private idleWaiters: Array<() => void> = [];

  get open(): number {
    return this.openRequests;
  }

  requestOpened(): void {
    this.openRequests++;
  }

  requestClosed(): void {
    this.openRequests--;
    if (this.openRequests > 0) return;
    for (const wake of this.idleWaiters.splice(0)) wake();
  }

  /** Resolves when no request is open. */
  whenIdle(): Promise<void> {
    if (this.openRequests === 0) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }
}
