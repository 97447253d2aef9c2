import type {ServerResponse} from 'node:http';

/** Whether this entry leaves, and what is still open at it. */
export class Lifecycle {
  private isLeaving = false;
  private readonly unanswered = new Set<ServerResponse>();
  private openRequests = 0;
  private idleWaiters: Array<() => void> = [];

  get leaving(): boolean {
    return this.isLeaving;
  }

  /**
   * From here on each answer closes its connection: a caller that kept it
   * would keep coming to a VM that goes.
   */
  leave(): void {
    this.isLeaving = true;
    for (const res of this.unanswered) closeAfter(res);
  }

  /** Called for each request of any kind when it comes. */
  responseOpened(res: ServerResponse): void {
    if (this.isLeaving) closeAfter(res);
    this.unanswered.add(res);
    res.once('close', () => this.unanswered.delete(res));
  }

  get openRequestCount(): number {
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

function closeAfter(res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}
