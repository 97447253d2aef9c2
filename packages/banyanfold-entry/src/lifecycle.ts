import type {ServerResponse} from 'node:http';

/** Tracks whether this entry is leaving, and its open requests. */
export class Lifecycle {
  private isLeaving = false;
  private readonly pendingResponses = new Set<ServerResponse>();
  private openRequests = 0;
  private idleWaiters: Array<() => void> = [];

  get leaving(): boolean {
    return this.isLeaving;
  }

  /**
   * Marks the entry as leaving. From then on each response closes its
   * connection; otherwise callers would keep sending requests over kept-alive
   * connections to a VM that is shutting down.
   */
  leave(): void {
    this.isLeaving = true;
    for (const res of this.pendingResponses) closeConnectionAfter(res);
  }

  /** Registers the response of each incoming request of any kind. */
  responseOpened(res: ServerResponse): void {
    if (this.isLeaving) closeConnectionAfter(res);
    this.pendingResponses.add(res);
    res.once('close', () => this.pendingResponses.delete(res));
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
    for (const resolveWaiter of this.idleWaiters.splice(0)) resolveWaiter();
  }

  /** Resolves as soon as no request is open. */
  whenIdle(): Promise<void> {
    if (this.openRequests === 0) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }
}

function closeConnectionAfter(res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}
