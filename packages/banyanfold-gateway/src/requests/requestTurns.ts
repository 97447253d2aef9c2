import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A request and its response. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** When its head was read, in ms of the clock. */
  readMs: number;
}

/** Why requests of a connection are discarded. */
export type DiscardReason = 'requests-ahead' | 'no-place';

/** The places of the process for requests. */
export interface Places {
  /**
   * Returns false if there is none.
   *
   * @param isAhead whether the request waits for the one before it.
   */
  take(isAhead: boolean): boolean;
  free(): void;
}

export interface RequestTurnsOptions {
  /** Requests that may wait on a connection for the one before them. */
  maxAhead: number;
  /** Undefined if the requests of the process are not limited. */
  places?: Places;
  /** Handles a request. */
  handle(exchange: Exchange): void;
  /** Refuses a request that there is no place for, and closes its connection. */
  refuse(exchange: Exchange): void;
  /** Called when the requests of a connection begin to be discarded. */
  onDiscard(reason: DiscardReason, socket: Socket): void;
}

interface Connection {
  /** The request that is being handled, and those that wait for it. */
  exchanges: Exchange[];
  /** Places that are free once the connection is closed. */
  placesTaken: number;
  isDiscarding: boolean;
  discarded: number;
}

/** Discarded requests after which a connection is closed at once. */
const MAX_DISCARDED = 10_000;

/**
 * Handles the requests of each connection one after another. The runtime hands
 * over all requests that it has read at once. Handled at once, requests that are
 * sent ahead would take any number of runner connections, and their responses
 * would be held until the first one is taken.
 */
export class RequestTurns {
  private readonly connections = new WeakMap<Socket, Connection>();

  constructor(private readonly options: RequestTurnsOptions) {}

  add(exchange: Exchange): void {
    const {socket} = exchange.request;
    const connection = this.connections.get(socket) ?? this.open(socket);
    if (this.discardsNext(socket)) return;
    const {maxAhead, places, refuse} = this.options;
    const {exchanges} = connection;
    const isAhead = exchanges.length > 0;
    if (exchanges.length > maxAhead) {
      return this.discard(connection, socket, 'requests-ahead');
    }
    if (places && !places.take(isAhead)) {
      this.discard(connection, socket, 'no-place');
      if (!isAhead) refuse(exchange);
      return;
    }
    connection.placesTaken += 1;
    exchanges.push(exchange);
    if (!isAhead) this.begin(connection, exchange);
  }

  /** Whether the next request of a connection is discarded; counts it if so. */
  discardsNext(socket: Socket): boolean {
    if (socket.destroyed) return true;
    const connection = this.connections.get(socket);
    if (!connection?.isDiscarding) return false;
    connection.discarded += 1;
    if (connection.discarded > MAX_DISCARDED) socket.destroy();
    return true;
  }

  private open(socket: Socket): Connection {
    const connection = {
      exchanges: [],
      placesTaken: 0,
      isDiscarding: false,
      discarded: 0,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => {
      connection.exchanges.length = 0;
      this.freePlaces(connection, connection.placesTaken);
    });
    return connection;
  }

  /**
   * Drops the requests that wait; their callers may repeat them, as nobody has
   * begun them. Their places are taken until the connection is closed, because
   * the runtime keeps them for as long.
   */
  private discard(
    connection: Connection,
    socket: Socket,
    reason: DiscardReason,
  ): void {
    connection.isDiscarding = true;
    connection.exchanges.splice(1);
    this.options.onDiscard(reason, socket);
  }

  private begin(connection: Connection, exchange: Exchange): void {
    const {request, response} = exchange;
    response.once('close', () => this.endTurn(connection, request.socket));
    this.options.handle(exchange);
  }

  private endTurn(connection: Connection, socket: Socket): void {
    if (connection.exchanges.length === 0) return;
    connection.exchanges.shift();
    this.freePlaces(connection, 1);
    if (connection.isDiscarding) {
      socket.destroy();
      return;
    }
    const [next] = connection.exchanges;
    if (!next) return;
    // The response before it may have said that the connection closes.
    if (next.response.socket) this.begin(connection, next);
    else connection.isDiscarding = true;
  }

  private freePlaces(connection: Connection, count: number): void {
    connection.placesTaken -= count;
    for (let i = 0; i < count; i++) this.options.places?.free();
  }
}
