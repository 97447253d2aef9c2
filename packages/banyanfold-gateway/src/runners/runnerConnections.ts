import type {Clock} from '@banyanfold/core';
import {createConnector} from '@banyanfold/log';
import type {Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {GatewayOptions} from '../options.js';

const NO_TIMEOUT_MS = 0;
/**
 * How long requests that may run only once get connections of their own after a
 * response of the runner could not be attributed to a request.
 */
const OWN_CONNECTIONS_MS = 60_000;
/** Safety margin before the idle timeout that a runner announces. */
const KEEP_ALIVE_MARGIN_MS = 300;

/** Nothing was sent, because the request no longer needs the connection. */
export class UnwantedConnectionError extends Error {
  constructor() {
    super('the connection is no longer wanted');
  }
}

/** How the opening of a connection ended. */
export interface ConnectionOpening {
  address: string;
  tookMs: number;
  isOpen: boolean;
}

export interface RunnerConnectionOptions {
  address: string;
  /** Identifies the connection within the process, for the log. */
  connectionNumber: number;
  clock: Clock;
  options: GatewayOptions;
  /** Called when the connection is established or has failed. */
  onOpening?: (opening: ConnectionOpening) => void;
}

/** One connection to a runner, which carries one request at a time. */
export class RunnerConnection {
  readonly client: Client;
  readonly connectionNumber: number;
  /** Requests that were sent on it. */
  requestCount = 0;
  /** True once the connection has been established. */
  established = false;
  /** Whether the connection carried a request before the current one. */
  isReused = false;
  /** Whether it may carry another request after the current one. */
  isShared = true;
  closed = false;
  idleSinceMs = 0;
  /** Whether a request may still be sent when the connection is open. */
  isWanted: () => boolean = () => true;
  /** Called when bytes of the response were read, after they were parsed. */
  onRead: (bytes: number) => void = () => {};
  /** Whether it carries no request. */
  isIdle = false;
  /** Called once, when it is closed. */
  onClosed: () => void = () => {};
  private socket: Socket | undefined;
  private endProbe: Promise<boolean> | undefined;
  /** Bytes that the parser has been given since the connection is open. */
  private readBytes = 0;

  constructor({
    address,
    connectionNumber,
    clock,
    options,
    onOpening = () => {},
  }: RunnerConnectionOptions) {
    this.connectionNumber = connectionNumber;
    const {connectTimeoutMs: timeoutMs} = options;
    const connect = createConnector({timeoutMs, clock});
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: NO_TIMEOUT_MS,
      bodyTimeout: NO_TIMEOUT_MS,
      keepAliveTimeout: options.runnerIdleMs,
      keepAliveMaxTimeout: options.runnerIdleMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (target, done) => {
        const startedMs = clock.nowMs();
        connect(target, (error, socket) => {
          const tookMs = clock.nowMs() - startedMs;
          onOpening({address, tookMs, isOpen: !error});
          if (error || !socket) {
            done(error ?? new Error('connector returned no socket'), null);
            return;
          }
          if (!this.isWanted()) {
            socket.destroy();
            done(new UnwantedConnectionError(), null);
            return;
          }
          this.established = true;
          this.socket = socket;
          socket.prependOnceListener('end', () => this.probeEnd(socket));
          done(null, socket);
        });
      },
    });
    // The parser listens by then, so that it is called first.
    this.client.on('connect', () =>
      this.socket?.on('readable', () => this.handleRead()),
    );
    this.client.on('disconnect', () => this.markClosed());
  }

  /**
   * Whether the runner closed the connection cleanly. Call it when the response
   * has ended.
   *
   * Only a clean close shows that a response without a length is complete. When
   * the last bytes and a reset arrive together, the runtime reports an ordinary
   * end, and a truncated response would be forwarded as complete. A connection
   * that was reset fails a write at once, while one that the other side closed
   * cleanly still accepts it. A blank line, which servers skip, therefore
   * distinguishes the two.
   */
  async endedCleanly(): Promise<boolean> {
    const {socket} = this;
    if (!socket || socket.errored !== null) return false;
    return (await this.endProbe) ?? false;
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.isIdle = false;
    this.requestCount += 1;
    this.client.dispatch(options, handler);
  }

  private handleRead(): void {
    const {bytesRead = 0, readableLength = 0} = this.socket ?? {};
    const bytes = bytesRead - readableLength - this.readBytes;
    if (bytes <= 0) return;
    this.readBytes += bytes;
    // Without a request, the parser skips empty lines without end.
    if (this.isIdle) this.destroy();
    else this.onRead(bytes);
  }

  private probeEnd(socket: Socket): void {
    this.endProbe = new Promise(resolve => {
      socket.write('\r\n', error => resolve(!error));
    });
  }

  destroy(): void {
    if (this.closed) return;
    this.markClosed();
    this.client.destroy().catch(() => {
      // `destroy` fails only for a client that is already destroyed.
    });
  }

  private markClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.onClosed();
  }
}

export interface AcquireOptions {
  /** The request may run only once, so its response must be beyond doubt. */
  runsOnce?: boolean;
  /** Whether an idle connection may carry the request. */
  isUsable?: (connection: RunnerConnection) => boolean;
}

/** Pool of keep-alive connections by runner address. */
export class RunnerConnections {
  private readonly idle = new Map<string, RunnerConnection[]>();
  /** Addresses whose responses are ambiguous, and until when. */
  private readonly ambiguousUntilMs = new Map<string, number>();
  opened = 0;
  /** Connections that are not closed, with or without a request. */
  openCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: GatewayOptions,
    private readonly onOpening?: (opening: ConnectionOpening) => void,
  ) {}

  /**
   * Returns the connection that has been idle longest, or a new one.
   *
   * A request that may run only once gets a connection of its own while the
   * runner's responses are ambiguous: the first response on a connection is the
   * answer to its first request, whatever it names.
   *
   * @example connections.acquire('10.2.0.4:8022', {runsOnce: true})
   */
  acquire(
    address: string,
    {runsOnce = false, isUsable = () => true}: AcquireOptions = {},
  ): RunnerConnection {
    if (runsOnce && this.isAmbiguous(address)) {
      const connection = this.open(address);
      connection.isShared = false;
      return connection;
    }
    return this.takeIdle(address, isUsable) ?? this.open(address);
  }

  /**
   * Records a response that could not be attributed to a request by its id.
   *
   * @returns whether the runner's responses were not known to be ambiguous.
   */
  noteAmbiguous(address: string): boolean {
    const isNew = !this.isAmbiguous(address);
    const untilMs = this.clock.nowMs() + OWN_CONNECTIONS_MS;
    this.ambiguousUntilMs.set(address, untilMs);
    return isNew;
  }

  private isAmbiguous(address: string): boolean {
    const untilMs = this.ambiguousUntilMs.get(address) ?? 0;
    return untilMs > this.clock.nowMs();
  }

  private takeIdle(
    address: string,
    isUsable: (connection: RunnerConnection) => boolean,
  ): RunnerConnection | undefined {
    const nowMs = this.clock.nowMs();
    const {reuseRestMs, runnerIdleMs} = this.options;
    const resting = this.idle.get(address) ?? [];
    let position = 0;
    while (position < resting.length) {
      const connection = resting[position]!;
      const idleMs = this.idleMs(connection, nowMs);
      if (!connection.closed && idleMs < reuseRestMs) return undefined;
      const isExpired = connection.closed || idleMs >= runnerIdleMs;
      if (!isExpired && !isUsable(connection)) {
        position += 1;
        continue;
      }
      resting.splice(position, 1);
      if (!isExpired) return connection;
      connection.destroy();
    }
    return undefined;
  }

  private open(address: string): RunnerConnection {
    this.opened += 1;
    this.openCount += 1;
    const {clock, options, onOpening} = this;
    const connection = new RunnerConnection({
      address,
      connectionNumber: this.opened,
      clock,
      options,
      onOpening,
    });
    connection.onClosed = () => {
      this.openCount -= 1;
    };
    return connection;
  }

  /** Returns a connection to the pool after a complete response. */
  release(address: string, connection: RunnerConnection): void {
    if (connection.closed) return;
    if (!connection.isShared) {
      connection.destroy();
      return;
    }
    connection.isReused = true;
    connection.isIdle = true;
    connection.idleSinceMs = this.clock.nowMs();
    const resting = this.idle.get(address);
    if (resting) resting.push(connection);
    else this.idle.set(address, [connection]);
  }

  /** Closes connections that have been idle for longer than the timeout. */
  closeIdle(): void {
    const nowMs = this.clock.nowMs();
    for (const [address, resting] of this.idle) {
      const kept = resting.filter(connection => {
        const isOld =
          this.idleMs(connection, nowMs) >= this.options.runnerIdleMs;
        if (isOld) connection.destroy();
        return !connection.closed;
      });
      if (kept.length === 0) this.idle.delete(address);
      else this.idle.set(address, kept);
    }
    for (const [address, untilMs] of this.ambiguousUntilMs) {
      if (untilMs <= nowMs) this.ambiguousUntilMs.delete(address);
    }
  }

  /** Connections without a request. */
  get idleCount(): number {
    let count = 0;
    for (const resting of this.idle.values()) {
      for (const {closed} of resting) count += Number(!closed);
    }
    return count;
  }

  /**
   * Closes the connections that have been idle longest.
   *
   * @returns how many were closed.
   */
  closeLongestIdle(count: number): number {
    const chosen = [...this.idle.values()]
      .flat()
      .filter(({closed}) => !closed)
      .sort((a, b) => a.idleSinceMs - b.idleSinceMs)
      .slice(0, count);
    for (const connection of chosen) connection.destroy();
    return chosen.length;
  }

  private idleMs(connection: RunnerConnection, nowMs: number): number {
    return nowMs - connection.idleSinceMs;
  }
}
