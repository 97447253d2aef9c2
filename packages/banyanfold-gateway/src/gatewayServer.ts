import http, {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {summarizeError} from '@banyanfold/core';
import type {GatewayContext} from './context.js';
import {BlockPool} from './requests/blockPool.js';
import {
  DiscardedRequest,
  discardingClasses,
} from './requests/discardedExchange.js';
import {ERROR_STATUS, sendErrorResponse} from './requests/errorResponse.js';
import {HeadRefusals} from './requests/headRefusals.js';
import {
  announcedBytes,
  hasUnknownLength,
  readBody,
} from './requests/readBody.js';
import {RequestHandler} from './requests/requestHandler.js';
import {RequestTurns, type Exchange} from './requests/requestTurns.js';
import {CallerConnections} from './resources/callerConnections.js';
import {CallerIdentity} from './callers/callerIdentity.js';
import type {CallerLimits} from './types.js';

/** Used until a configuration is known; callers are refused then anyway. */
const LIMITS_BEFORE_CONFIG: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
const CONTINUE_PATTERN = /(?:^|\W)100-continue(?:$|\W)/i;
/** Parser limit; the configured limit is lower and may be raised later. */
const MAX_PARSED_HEADER_BYTES = 131_072;
/** Added to the announced timeout, until which callers reuse connections. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Interval at which the time limits of connections are checked. */
const CONNECTION_CHECK_MS = 500;
/** Shorter than the 1 s after which callers abandon a silent connection. */
const READY_WAIT_MS = 600;

/** HTTP server for callers: validates, authorizes and handles requests. */
export class GatewayServer {
  readonly server: Server;
  private readonly activeRequests = new Set<RequestHandler>();
  private readonly refusals: HeadRefusals;
  private readonly connections: CallerConnections;
  private readonly turns: RequestTurns;
  private readonly blocks = new BlockPool();
  openRequests = 0;
  private pendingLoopTurns: Promise<void> | undefined;

  constructor(private readonly context: GatewayContext) {
    this.refusals = new HeadRefusals(context);
    this.turns = this.createTurns();
    this.server = http.createServer({
      ...discardingClasses(socket => this.turns.discardsNext(socket)),
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      // The runtime would answer such requests before their turn.
      requireHostHeader: false,
    });
    // The runtime would act on two of them before the turn of the request.
    for (const event of ['request', 'checkContinue', 'checkExpectation']) {
      this.server.on(event, (request, response) => {
        if (request instanceof DiscardedRequest) return;
        this.turns.add({request, response, readMs: context.clock.nowMs()});
      });
    }
    this.connections = new CallerConnections({
      clock: context.clock,
      maxIdleMs: () =>
        this.server.keepAliveTimeout + this.server.headersTimeout,
    });
    this.server.on('connection', socket => {
      socket.setNoDelay(true);
      this.connections.add(socket);
      context.descriptors?.addCaller(socket);
      context.backlog?.addCaller(socket);
    });
    context.descriptors?.countRequestsBy(() => this.openRequests);
    this.applyLimits();
    context.view.onChange(() => this.applyLimits());
  }

  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Connections of callers, with and without a request. */
  get connectionCount(): number {
    return this.connections.count;
  }

  /** Closes connections that wait for their next request. */
  closeIdleConnections(): void {
    this.connections.closeBetweenRequests();
  }

  /** Closes connections without a request, also those that never had one. */
  closeSilentConnections(): void {
    this.connections.closeWithoutRequest();
  }

  /** Closes connections that have been without a request for too long. */
  closeStaleConnections(): void {
    this.connections.closeIdle();
  }

  /** Frees memory that is kept for the bodies of further requests. */
  freeUnusedMemory(): void {
    this.blocks.shrink();
  }

  /** Refuses unsent requests, so that they can go to another entry. */
  refuseUnsent(): void {
    for (const handler of this.activeRequests) handler.refuseUnsent();
  }

  /** Logs the requests that the exit of the process cuts off. */
  logRequestsCutByExit(): void {
    for (const handler of this.activeRequests) handler.logCutByExit();
  }

  stopAccepting(): void {
    this.server.close();
  }

  private get limits(): CallerLimits {
    return this.context.view.currentConfig?.limits ?? LIMITS_BEFORE_CONFIG;
  }

  private applyLimits(): void {
    const {headerTimeoutMs, idleTimeoutMs} = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  private createTurns(): RequestTurns {
    const {requestPlaces, options, metrics, logger} = this.context;
    return new RequestTurns({
      maxAhead: options.maxRequestsAhead,
      places: requestPlaces,
      handle: exchange => {
        this.handle(exchange).catch((thrown: unknown) =>
          this.handleUnexpectedError(exchange.response, thrown),
        );
      },
      refuse: exchange => {
        this.noteOpen(exchange);
        this.refusals.refuseForPlaces(exchange.request, exchange.response);
      },
      onDiscard: (reason, socket) => {
        metrics.count('caller_connections_cut_total', {reason});
        logger.info('connection-cut', {reason, caller: socket.remoteAddress});
      },
    });
  }

  /** Counts a request until its response is flushed or its connection closed. */
  private noteOpen({request, response}: Exchange): void {
    this.openRequests += 1;
    this.connections.noteRequest(request.socket, response);
    response.once('close', () => {
      this.openRequests -= 1;
    });
    response.once('finish', () => this.limitUnreadBody(request));
  }

  /**
   * Closes the connection of a request that was answered before its body had
   * ended, unless the rest of it arrives soon.
   */
  private limitUnreadBody(request: IncomingMessage): void {
    if (request.complete) return;
    const {clock, options} = this.context;
    const {socket} = request;
    const timer = clock.setTimer(options.unreadBodyMs, () => socket.destroy());
    request.once('close', () => timer.cancel());
  }

  private async handle(exchange: Exchange): Promise<void> {
    const {context} = this;
    const {request, response, readMs: startedMs} = exchange;
    this.noteOpen(exchange);
    const errorStatus = this.checkHead(request);
    if (errorStatus !== undefined) {
      this.refusals.refuse(request, response, errorStatus, true);
      return;
    }
    if (this.isTooLate(request)) {
      this.refusals.refuseForBacklog(request, response);
      return;
    }
    const {heldBytes, descriptors} = context;
    if (descriptors && !descriptors.canServe(request.socket)) {
      this.refusals.refuseForDescriptors(request, response);
      return;
    }
    const holding = heldBytes?.admit(response, announcedBytes(request));
    if (heldBytes && !holding) {
      this.refusals.refuseForMemory(request, response);
      return;
    }
    if (holding) {
      // Closes the connection of a caller that has stopped sending its body, or
      // that does not take an error response which was sent before.
      holding.giveWay = () => {
        if (response.headersSent) response.destroy();
        else this.refusals.refuseForMemory(request, response, true);
      };
    }
    const stopTimer = this.limitBodyTime(request, response);
    if (request.headers.expect !== undefined && request.httpVersion === '1.1') {
      response.writeContinue();
    }
    const body = await readBody(request, {
      maxBytes: this.limits.maxBodyBytes,
      pool: this.blocks,
      addBytes: holding && (bytes => holding.addBody(bytes)),
    });
    stopTimer();
    if (body === 'broken-off' || response.headersSent) return;
    holding?.endBody();
    if (body === 'no-memory') {
      this.refusals.refuseForMemory(request, response);
      return;
    }
    if (body === 'too-large') {
      this.refusals.refuse(request, response, ERROR_STATUS.tooLarge, true);
      return;
    }
    if (!context.view.isReady) await this.waitUntilReady();
    await this.waitForUnreadCloses();
    if (response.closed || request.socket.readableEnded) return;
    if (!context.view.isReady) {
      this.refusals.refuse(request, response, ERROR_STATUS.notRun, false);
      return;
    }
    const host = request.headers.host ?? '';
    const route = context.view.findRoute(host, request.url ?? '/');
    if (!route) {
      this.refusals.refuseUnrouted(request, response);
      return;
    }
    const decoding = context.codec.decodeRequest(request.rawHeaders);
    if (decoding.isErr()) {
      this.refusals.refuseInvalid(request, response, decoding.error);
      return;
    }
    const decoded = decoding.value;
    const identity = new CallerIdentity({
      view: context.view,
      isPublic: route.isPublic,
      keyDigest: decoded.keyDigest,
      keysTrustedMs: context.keysTrustedMs,
      configApplyMs: context.configApplyMs,
    });
    const caller = identity.decide();
    if (caller.kind !== 'admitted') {
      this.refusals.refuseCaller(request, response, decoded, caller);
      return;
    }
    const {organisation} = caller;
    const handler = new RequestHandler({
      context,
      request,
      response,
      decoded,
      route: {...route, priority: organisation?.priority ?? route.priority},
      identity,
      organisation,
      body,
      holding,
      startedMs,
    });
    this.activeRequests.add(handler);
    try {
      await handler.run();
    } finally {
      this.activeRequests.delete(handler);
    }
  }

  /**
   * Ends one request after an unexpected error, but not the process: its caller
   * retries, and the request would end the next entry too. A runner may have
   * run the request, so the response doesn't rule that out.
   */
  private handleUnexpectedError(
    response: ServerResponse,
    thrown: unknown,
  ): void {
    const {metrics, logger, isDraining} = this.context;
    metrics.count('requests_failed_inside_total');
    logger.error('request-failed', {error: summarizeError(thrown)});
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const errorResponse = {
      status: ERROR_STATUS.unknown,
      reason: 'internal-error',
    };
    sendErrorResponse(response, errorResponse, isDraining());
  }

  /**
   * Waits for the first configuration, which a new process reads within some
   * tens of ms. A caller whose connection was closed retries only once, so a
   * refusal now would be final although it could be served shortly after.
   */
  private waitUntilReady(): Promise<void> {
    const {view, clock} = this.context;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        unsubscribe();
        resolve();
      };
      const timer = clock.setTimer(READY_WAIT_MS, finish);
      const unsubscribe = view.onChange(() => {
        if (view.isReady) finish();
      });
    });
  }

  /**
   * Waits for two turns of the event loop, so that pending data is read from
   * the sockets and a caller that disconnected is detected before its request
   * is sent. A request and the close that follows it are read in two turns, and
   * a kept-alive connection handles the request in the first. Without this
   * wait, requests of callers that had left half a second before reached
   * runners.
   */
  private waitForUnreadCloses(): Promise<void> {
    this.pendingLoopTurns ??= new Promise(resolve => {
      setImmediate(() => {
        this.pendingLoopTurns = undefined;
        setImmediate(resolve);
      });
    });
    return this.pendingLoopTurns;
  }

  /**
   * Answers a request whose body takes longer than the request may take. No
   * runner has it, but a 503 would ask its caller to come back, whose time is
   * over.
   *
   * @returns a function to be called once the body has arrived.
   */
  private limitBodyTime(
    request: IncomingMessage,
    response: ServerResponse,
  ): () => void {
    const {view, codec, options, clock} = this.context;
    const hasBody = announcedBytes(request) > 0 || hasUnknownLength(request);
    if (!hasBody) return () => {};
    const host = request.headers.host ?? '';
    const route = view.findRoute(host, request.url ?? '/');
    // Without a route the request is refused once its body has ended.
    const timeoutMs = route?.timeoutMs ?? this.limits.idleTimeoutMs;
    const deadlineMs = codec
      .decodeRequest(request.rawHeaders)
      .map(decoded => decoded.request.deadlineMs)
      .unwrapOr(undefined);
    const allowedMs = Math.min(timeoutMs, deadlineMs ?? Infinity);
    const timer = clock.setTimer(allowedMs - options.deadlineMarginMs, () => {
      if (response.headersSent) return;
      this.refusals.refuse(request, response, ERROR_STATUS.timeout, true);
    });
    return () => timer.cancel();
  }

  /** Whether this process is too late to serve the request in its time. */
  private isTooLate(request: IncomingMessage): boolean {
    const {backlog, view} = this.context;
    if (!backlog || !view.isReady) return false;
    const route = view.findRoute(
      request.headers.host ?? '',
      request.url ?? '/',
    );
    return route !== undefined && backlog.shouldRefuse(route);
  }

  /** Returns the error status for a head that exceeds the limits, if any. */
  private checkHead(request: IncomingMessage): number | undefined {
    let bytes = 0;
    for (const value of request.rawHeaders) bytes += value.length + 2;
    if (bytes > this.limits.maxHeaderBytes) return ERROR_STATUS.headTooLarge;
    const {host, expect} = request.headers;
    const isCurrent = request.httpVersion === '1.1';
    if (isCurrent && host === undefined) return ERROR_STATUS.invalid;
    if (isCurrent && expect !== undefined && !CONTINUE_PATTERN.test(expect)) {
      return ERROR_STATUS.unknownExpectation;
    }
    const isTooLarge = announcedBytes(request) > this.limits.maxBodyBytes;
    return isTooLarge ? ERROR_STATUS.tooLarge : undefined;
  }
}
