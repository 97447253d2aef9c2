import type {Server, ServerResponse} from 'node:http';
import {Server as TlsServer} from 'node:https';
import type {Socket} from 'node:net';

/** Tracks whether this entry is leaving, its connections and open requests. */
export class Lifecycle {
  private isLeaving = false;
  private hasStoppedServing = false;
  private readonly connections = new Set<Socket>();
  /** Connections that have carried a request. */
  private readonly served = new WeakSet<Socket>();
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
    if (res.socket) this.served.add(res.socket);
    res.once('close', () => this.pendingResponses.delete(res));
  }

  /** From now on requests are refused, because the exit would cut them off. */
  stopServing(): void {
    this.hasStoppedServing = true;
  }

  get stoppedServing(): boolean {
    return this.hasStoppedServing;
  }

  /** Tracks the connections of a server. */
  watch(server: Server): void {
    const isTls = server instanceof TlsServer;
    server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => {
      this.connections.add(socket);
      socket.once('close', () => this.connections.delete(socket));
    });
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Closes the connections that wait for their next request. The runtime's own
   * method also closes those whose response has been written but not flushed.
   */
  closeIdleConnections(): void {
    for (const socket of this.connections) {
      if (this.served.has(socket) && !this.isBusy(socket)) socket.destroy();
    }
  }

  /** Closes the connections without a request, also those that had none. */
  closeSilentConnections(): void {
    for (const socket of this.connections) {
      if (!this.isBusy(socket)) socket.destroy();
    }
  }

  private isBusy(socket: Socket): boolean {
    return [...this.pendingResponses].some(res => res.socket === socket);
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
