import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@banyanfold/core';

interface CallerConnection {
  /** Requests whose responses are not flushed yet. */
  openRequests: number;
  hadRequest: boolean;
  idleSinceMs: number;
}

export interface CallerConnectionsOptions {
  clock: Clock;
  /** Longest time without a request, that of a head that arrives included. */
  maxIdleMs(): number;
}

/**
 * Closes callers' connections that have been without a request for too long.
 * The runtime's own timeout ends with the next byte, even one of an empty line.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(private readonly options: CallerConnectionsOptions) {}

  add(socket: Socket): void {
    const idleSinceMs = this.options.clock.nowMs();
    this.connections.set(socket, {
      openRequests: 0,
      hadRequest: false,
      idleSinceMs,
    });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** To be called for each request, with its response. */
  noteRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.openRequests += 1;
    connection.hadRequest = true;
    response.once('close', () => {
      connection.openRequests -= 1;
      connection.idleSinceMs = this.options.clock.nowMs();
    });
  }

  get count(): number {
    return this.connections.size;
  }

  /**
   * Closes connections whose last response is flushed. The runtime's own method
   * also closes those whose response has only been written.
   */
  closeBetweenRequests(): void {
    for (const [socket, {openRequests, hadRequest}] of this.connections) {
      if (openRequests === 0 && hadRequest) socket.destroy();
    }
  }

  /** Closes connections without a request, also those that never had one. */
  closeWithoutRequest(): void {
    for (const [socket, {openRequests}] of this.connections) {
      if (openRequests === 0) socket.destroy();
    }
  }

  closeIdle(): void {
    const {clock, maxIdleMs} = this.options;
    const oldestMs = clock.nowMs() - maxIdleMs();
    for (const [socket, {openRequests, idleSinceMs}] of this.connections) {
      if (openRequests === 0 && idleSinceMs < oldestMs) socket.destroy();
    }
  }
}
