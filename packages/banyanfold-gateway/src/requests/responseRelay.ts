import {summarizeError} from '@banyanfold/core';
import type {ServerResponse} from 'node:http';
import type {GatewayContext} from '../context.js';
import {
  UnwantedConnectionError,
  type RunnerConnection,
} from '../runners/runnerConnections.js';
import type {Holding} from '../resources/holding.js';
import type {
  ResponseInfo,
  ResponseHeaders,
  DecodedRequest,
  RoutePolicy,
} from '../types.js';
import {
  Attempt,
  type ResponseHead,
  type AttemptRequest,
  type AttemptObserver,
} from './attempt.js';
import {
  brokenResult,
  closedByRunnerResult,
  limitExceededResult,
  type AttemptResult,
} from './attemptResult.js';
import {isRepeatable} from './decideRequestRetry.js';
import {promisesNotRun} from './errorResponse.js';
import {EventSplitter, type CompleteEvents} from './eventSplitter.js';
import {
  decodeHead,
  integrityErrorOf,
  isReusable,
  isUnattributed,
  type IncomingResponse,
} from './incomingResponse.js';
import {ResponseLimits, type ResponseLimit} from './responseLimits.js';
import {ResponseWriter} from './responseWriter.js';

/** Code of the client library's error for a head or trailers that are too long. */
const HEAD_OVERFLOW_CODE = 'UND_ERR_HEADERS_OVERFLOW';

export type {AttemptResult, SentResult} from './attemptResult.js';

/** The runner of an attempt, and callbacks for the start of its response. */
export interface AttemptHooks {
  runnerId: string;
  onFirstByte(): void;
  /** Called with each response, before it is known whether it is the runner's. */
  onResponse(response: IncomingResponse): void;
  /** Called before complete events of a stream are forwarded to the caller. */
  beforeEvents(): void;
  /**
   * Called with the decoded head of a response to this request that was not
   * changed in transit, whether or not it is signed.
   */
  onResponseInfo(info: ResponseInfo): void;
}

export interface ResponseRelayOptions {
  context: GatewayContext;
  route: RoutePolicy;
  response: ServerResponse;
  decoded: DecodedRequest;
  startedMs: number;
  /** Undefined if the memory held for callers is not limited. */
  holding?: Holding;
}

/**
 * Forwards responses to the caller: a stream event by event, any other response
 * only once it is complete, so that a caller never receives a truncated body.
 */
export class ResponseRelay {
  /** Whether the head of a stream was sent to the caller. */
  hasStarted = false;
  firstByteMs: number | undefined;
  lastEventId: string | undefined;
  /** The longest time between two events that were forwarded to the caller. */
  longestPauseMs: number | undefined;
  private lastEventAtMs: number | undefined;
  /** Bytes of the current attempt that the writer doesn't have yet. */
  private readUnsentBytes = () => 0;
  private inFlight: {attempt: Attempt; abandon: () => void} | undefined;
  /**
   * An attempt that may have run has ended without an answer. Known here before
   * the result is recorded, because memory may have to be freed in between.
   */
  private mayHaveRun = false;
  private readonly writer: ResponseWriter;

  constructor(private readonly options: ResponseRelayOptions) {
    this.writer = new ResponseWriter(options);
    const {holding} = options;
    if (!holding) return;
    holding.gatheredBytes = () =>
      this.readUnsentBytes() + this.writer.unsentBytes;
  }

  /** Whether a runner has the request or a part of a response was forwarded. */
  get isSent(): boolean {
    const isInFlight = this.inFlight?.attempt.mayHaveRun ?? false;
    return this.hasStarted || this.mayHaveRun || isInFlight;
  }

  /** Sends one attempt; resolves when its response ends or fails. */
  relay(
    connection: RunnerConnection,
    attemptRequest: AttemptRequest,
    hooks: AttemptHooks,
  ): Promise<AttemptResult> {
    return new Promise(resolve => {
      const settle = (result: AttemptResult) => {
        this.inFlight = undefined;
        const {kind} = result;
        if (kind === 'broken' || kind === 'failed') this.mayHaveRun = true;
        if (kind === 'broken') connection.destroy();
        // The body of a failure is kept, as it may be sent to the caller.
        if (kind !== 'failed') this.readUnsentBytes = () => 0;
        this.options.holding?.recount();
        resolve(result);
      };
      const observer = this.createObserver(connection, settle, hooks);
      const attempt = new Attempt(connection, observer);
      const abandon = () => settle(brokenResult('attempt cancelled'));
      this.inFlight = {attempt, abandon};
      attempt.send(attemptRequest);
    });
  }

  /**
   * Cancels the attempt in flight, which stops the runner's work on it.
   *
   * @returns whether the request may have reached the runner.
   */
  cancel(): boolean {
    const {inFlight} = this;
    if (!inFlight) return this.mayHaveRun;
    inFlight.attempt.cancel();
    inFlight.abandon();
    return inFlight.attempt.mayHaveRun;
  }

  /** Forwards a runner's error response to the caller unchanged. */
  deliverFailure(result: {
    status: number;
    headers: ResponseHeaders;
    chunks: Buffer[];
  }): void {
    this.deliverComplete(result.status, result.headers, result.chunks);
  }

  private deliverComplete(
    status: number,
    headers: ResponseHeaders,
    chunks: Buffer[],
  ): void {
    // From here on the writer counts them.
    this.readUnsentBytes = () => 0;
    this.writer.sendComplete(status, headers, chunks);
  }

  private createObserver(
    connection: RunnerConnection,
    settle: (result: AttemptResult) => void,
    hooks: AttemptHooks,
  ): AttemptObserver {
    const splitter = new EventSplitter();
    const {runnerId} = hooks;
    const {context, route, decoded, holding} = this.options;
    const {isReused} = connection;
    const runsOnce = !isRepeatable(route);
    const sentMs = context.clock.nowMs();
    let incoming: IncomingResponse | undefined;
    this.readUnsentBytes = () =>
      (incoming?.bufferedBytes ?? 0) + splitter.pendingBytes;
    const limits = new ResponseLimits(context.clock, context.options);
    const end = (result: AttemptResult) => {
      this.inFlight?.attempt.cancel();
      settle(result);
    };
    const fail = (error: string) => end(brokenResult(error));
    const checkLimit = (limit: ResponseLimit | undefined) => {
      if (limit) end(limitExceededResult(limit));
      return limit === undefined;
    };
    return {
      onRead: bytes => void checkLimit(limits.noteRead(bytes)),
      onInterimHead: () => void checkLimit(limits.noteInterimHead()),
      onHead: head => {
        limits.noteHead();
        incoming = decodeHead(head, {...this.options, sentMs, runnerId});
        hooks.onResponse(incoming);
        if (!incoming.info.notExecuted) hooks.onFirstByte();
        const integrityError = integrityErrorOf(incoming, decoded);
        if (integrityError !== undefined) return fail(integrityError);
        hooks.onResponseInfo(incoming.info);
        if (isUnattributed(incoming.info, {isReused, runsOnce})) {
          return fail('response names no request');
        }
        // Only after the checks: the head can't be replaced when another runner
        // resumes the stream, so it must belong to this request.
        if (incoming.isStreamed) this.startResponse(head);
      },
      onData: chunk => {
        if (!incoming) return true;
        if (incoming.isStreamed) {
          const events = splitter.push(chunk);
          const {pendingBytes} = splitter;
          const {length} = chunk;
          const limit = limits.noteStream(length, pendingBytes, events);
          return checkLimit(limit) ? this.forwardEvents(events, hooks) : true;
        }
        incoming.bufferedBytes += chunk.length;
        incoming.chunks.push(chunk);
        holding?.noteReceived();
        checkLimit(limits.noteBody(chunk.length));
        return true;
      },
      onEnd: () => {
        if (!incoming) return fail('connection ended without a response');
        if (incoming.framing !== 'until-close') {
          settle(this.complete(incoming, splitter));
          return;
        }
        const endedResponse = incoming;
        const settleEnded = async () => {
          const isComplete = await connection.endedCleanly();
          if (!this.inFlight) return;
          if (isComplete) settle(this.complete(endedResponse, splitter));
          else settle(closedByRunnerResult('response truncated by a reset'));
        };
        settleEnded().catch((thrown: unknown) => fail(summarizeError(thrown)));
      },
      onError: error => {
        if (error instanceof UnwantedConnectionError) {
          settle({kind: 'withdrawn'});
        } else if ('code' in error && error.code === HEAD_OVERFLOW_CODE) {
          settle(limitExceededResult('head-bytes'));
        } else if (connection.established) {
          settle(closedByRunnerResult(error.message));
        } else {
          settle({
            kind: 'unreached',
            error: error.message,
            isRefused: 'code' in error && error.code === 'ECONNREFUSED',
          });
        }
      },
    };
  }

  /** Sends the head once; it stays when another runner resumes the stream. */
  private startResponse(head: ResponseHead): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    const {context, startedMs} = this.options;
    this.firstByteMs = Math.round(context.clock.nowMs() - startedMs);
    this.writer.startStream(head);
  }

  private forwardEvents(
    events: CompleteEvents | undefined,
    hooks: AttemptHooks,
  ): boolean {
    this.options.holding?.noteReceived();
    if (!events) return true;
    hooks.beforeEvents();
    if (events.lastEventId !== undefined) this.lastEventId = events.lastEventId;
    this.recordPause();
    const {inFlight} = this;
    return this.writer.writeEvents(events.bytes, () =>
      inFlight?.attempt.resume(),
    );
  }

  private recordPause(): void {
    const nowMs = this.options.context.clock.nowMs();
    const pauseMs = Math.round(nowMs - (this.lastEventAtMs ?? nowMs));
    this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs);
    this.lastEventAtMs = nowMs;
  }

  private complete(
    incoming: IncomingResponse,
    splitter: EventSplitter,
  ): AttemptResult {
    const {head, info, chunks, isStreamed, firstByteMs} = incoming;
    const {status, headers} = head;
    const canReuse = isReusable(incoming);
    const isEndedByClose = incoming.framing === 'until-close';
    if (isStreamed) {
      if (splitter.pendingBytes > 0) {
        return closedByRunnerResult('stream ended inside an event');
      }
      this.writer.endStream();
      return {
        kind: 'delivered',
        status,
        isSuccess: true,
        firstByteMs,
        canReuse,
        isEndedByClose,
      };
    }
    if (status < 300) {
      if (!info.signed) return brokenResult('response is unsigned');
      this.firstByteMs = Math.round(firstByteMs);
      this.deliverComplete(status, headers, chunks);
      return {
        kind: 'delivered',
        status,
        isSuccess: true,
        firstByteMs,
        canReuse,
        isEndedByClose,
      };
    }
    if (info.notExecuted) {
      const {fromOtherRunner} = info;
      return {kind: 'rejected', status, canReuse, fromOtherRunner};
    }
    if (!info.signed) {
      return brokenResult(`unsigned response with status ${status}`);
    }
    // The runner may have run it, and the caller would take it for a promise.
    if (promisesNotRun(status)) {
      return brokenResult(`failure with status ${status}`);
    }
    return {kind: 'failed', status, headers, chunks};
  }
}
