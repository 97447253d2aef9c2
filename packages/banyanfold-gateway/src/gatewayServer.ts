import http, {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {GatewayContext} from './context.js';
import {FINAL_STATUS, sendFinalAnswer} from './requests/finalAnswer.js';
import {readBody} from './requests/readBody.js';
import {RequestRun} from './requests/requestRun.js';
import {CallerIdentity} from './callers/callerIdentity.js';
import type {CallerDecision} from './callers/decideCaller.js';
import {shortDigest} from './callers/keyDigest.js';
import type {CallerLimits, DecodedRequest} from './types.js';

/** Before a configuration is known; callers are refused then anyway. */
const LIMITS_BEFORE_CONFIG: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Heads are bounded by the configuration, which may allow more later. */
const PARSER_HEADER_BYTES = 131_072;
/** Callers reuse a connection up to its announced timeout; keep it longer. */
const IDLE_SLACK_MS = 1_500;
/** Callers give up on a connection that nothing is read from after 1 s. */
const START_WAIT_MS = 600;
/** A caller that is refused for want of a configuration may come back. */
const NOT_READY_RETRY_MS = 500;
/** Of a stack: the error, and where it came from. */
const ERROR_LINES = 6;

/** Takes callers' requests and carries each to its answer. */
export class GatewayServer {
  readonly server: Server;
  private readonly runs = new Set<RequestRun>();
  openRequests = 0;
  private nextTurns: Promise<void> | undefined;

  constructor(private readonly context: GatewayContext) {
    this.server = http.createServer(
      {maxHeaderSize: PARSER_HEADER_BYTES, requestTimeout: 0},
      (request, response) => {
        this.handle(request, response).catch((thrown: unknown) =>
          this.endFailed(response, thrown),
        );
      },
    );
    this.server.on('connection', socket => {
      socket.setNoDelay(true);
    });
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

  /** Closes connections on which no request is open or has begun. */
  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  /** Refuses what waits here, so that it can go to another entry. */
  refuseUnsent(): void {
    for (const run of this.runs) run.refuseUnsent();
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
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_SLACK_MS;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {context} = this;
    const startedMs = context.clock.nowMs();
    this.openRequests += 1;
    response.once('close', () => {
      this.openRequests -= 1;
    });
    const problem = this.headProblem(request);
    if (problem !== undefined) {
      this.turnAway(request, response, problem, true);
      return;
    }
    const body = await readBody(request, this.limits.maxBodyBytes);
    if (body === 'broken-off') return;
    if (body === 'too-large') {
      this.turnAway(request, response, FINAL_STATUS.tooLarge, true);
      return;
    }
    if (!context.view.isReady) await this.untilReady();
    await this.untilCloseIsRead();
    if (response.closed || request.socket.readableEnded) return;
    if (!context.view.isReady) {
      this.turnAway(request, response, FINAL_STATUS.notRun, false);
      return;
    }
    const host = request.headers.host ?? '';
    const route = context.view.findRoute(host, request.url ?? '/');
    if (!route) {
      this.turnAwayUnrouted(request, response);
      return;
    }
    const decoded = context.codec.decodeRequest(request.rawHeaders);
    const identity = new CallerIdentity({
      view: context.view,
      isPublic: route.isPublic,
      keyDigest: decoded.keyDigest,
      keysTrustedMs: context.keysTrustedMs,
      configApplyMs: context.configApplyMs,
    });
    const caller = identity.decide();
    if (caller.kind !== 'admitted') {
      this.turnAwayCaller(request, response, decoded, caller);
      return;
    }
    const {organisation} = caller;
    const run = new RequestRun({
      context,
      request,
      response,
      decoded,
      route: {...route, priority: organisation?.priority ?? route.priority},
      identity,
      organisation,
      body,
      startedMs,
    });
    this.runs.add(run);
    try {
      await run.run();
    } finally {
      this.runs.delete(run);
    }
  }

  /**
   * An error that nobody foresaw ends one request, not the process: its caller
   * sends it again, and the next entry would end by it as this one did. A runner
   * may have run it, so that nothing is promised.
   */
  private endFailed(response: ServerResponse, thrown: unknown): void {
    const {metrics, logger, isLeaving} = this.context;
    metrics.count('requests_failed_inside_total');
    const stack = thrown instanceof Error ? thrown.stack : String(thrown);
    logger.error('request-failed', {
      error: (stack ?? '').split('\n').slice(0, ERROR_LINES).join(' | '),
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const answer = {status: FINAL_STATUS.unknown, reason: 'internal-error'};
    sendFinalAnswer(response, answer, isLeaving());
  }

  /**
   * A process that has just started knows the configuration within some tens
   * of ms. A caller whose connection was cut comes back once; it would be
   * refused for good just before it could be served.
   */
  private untilReady(): Promise<void> {
    const {view, clock} = this.context;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        unsubscribe();
        resolve();
      };
      const timer = clock.setTimer(START_WAIT_MS, finish);
      const unsubscribe = view.onChange(() => {
        if (view.isReady) finish();
      });
    });
  }

  /**
   * Lets what lies unread on the sockets be read once, so that the close of a
   * caller that left while this process was behind is seen before its request
   * is sent on. Without it, requests of callers that were gone for half a second
   * reached runners: a request and the close behind it are read in two turns of
   * the loop, and a kept connection takes the request in the first.
   */
  private untilCloseIsRead(): Promise<void> {
    this.nextTurns ??= new Promise(resolve => {
      setImmediate(() => {
        this.nextTurns = undefined;
        setImmediate(resolve);
      });
    });
    return this.nextTurns;
  }

  private headProblem(request: IncomingMessage): number | undefined {
    let bytes = 0;
    for (const text of request.rawHeaders) bytes += text.length + 2;
    if (bytes > this.limits.maxHeaderBytes) return FINAL_STATUS.headTooLarge;
    const length = Number(request.headers['content-length'] ?? 0);
    if (length > this.limits.maxBodyBytes) return FINAL_STATUS.tooLarge;
    return undefined;
  }

  /**
   * No route is a final answer, which only the newest configuration can give: the
   * route may be in one that has not been heard of here.
   */
  private turnAwayUnrouted(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {view, configApplyMs, refreshConfig} = this.context;
    if (view.isConfigConfirmed(configApplyMs)) {
      this.turnAway(request, response, FINAL_STATUS.noRoute, false);
      return;
    }
    refreshConfig();
    this.turnAway(request, response, FINAL_STATUS.notRun, false);
  }

  /** Refuses a caller that may not use the route, or may not be known to. */
  private turnAwayCaller(
    request: IncomingMessage,
    response: ServerResponse,
    {keyDigest, request: {requestId}}: DecodedRequest,
    caller: Exclude<CallerDecision, {kind: 'admitted'}>,
  ): void {
    if (caller.kind === 'undecided') {
      this.turnAway(request, response, FINAL_STATUS.notRun, false);
      return;
    }
    const {metrics, logger, view, isLeaving} = this.context;
    const {reason} = caller;
    metrics.count('callers_unauthorized_total', {reason});
    logger.info('unauthorized', {
      request: requestId,
      reason,
      key: keyDigest && shortDigest(keyDigest),
      target: request.url,
      config: view.currentConfig?.version,
    });
    const status = FINAL_STATUS.unauthorized;
    sendFinalAnswer(response, {status, reason}, isLeaving());
  }

  private turnAway(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    closeConnection: boolean,
  ): void {
    const {metrics, logger, view} = this.context;
    metrics.count('turned_away_total', {status: String(status)});
    logger.info('turned-away', {
      status,
      host: request.headers.host,
      target: request.url,
      config: view.currentConfig?.version,
      configAgeMs: view.configAgeMs && Math.round(view.configAgeMs),
    });
    sendFinalAnswer(
      response,
      {
        status,
        reason: http.STATUS_CODES[status] ?? 'refused',
        retryAfterMs:
          status === FINAL_STATUS.notRun ? NOT_READY_RETRY_MS : undefined,
      },
      closeConnection || this.context.isLeaving(),
    );
  }
}
