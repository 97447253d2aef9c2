import {
  BanyanfoldError,
  readJsonBody,
  timeoutSignal,
  type Clock,
} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import type {z} from 'zod';
import {
  cacheEventsSchema,
  cancelResponseSchema,
  engineReportSchema,
  orderAcceptedSchema,
  orderRefusedSchema,
  type CacheEvents,
  type CancelState,
  type EngineOrder,
  type EngineReport,
  type OrderResult,
} from './engineSchemas.js';
import type {ReportTiming} from '../memory/allocation.js';

const ENGINE_NOW_HEADER = 'x-engine-now-ms';
const REQUEST_ID_HEADER = 'x-request-id';
const FIRST_ERROR_STATUS = 400;
/**
 * A report has a row for each copy and order; a list of cache events has at most
 * some thousand.
 */
const MAX_CONTROL_BYTES = 8_388_608;
const NOT_FOUND = 404;
const CONFLICT = 409;

/** Errors while connecting, which prove that nothing was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Address and timeouts of the engine. */
export interface EngineClientOptions {
  url: string;
  clock: Clock;
  requestTimeoutMs: number;
  streamIdleTimeoutMs: number;
  wholeAnswerTimeoutMs: number;
}

/** A caller's request in the form in which it is sent to the engine. */
export interface EngineRequest {
  /** For example `v1/chat/completions`. */
  path: string;
  engineRequestId: string;
  priority: number;
  body: string;
  stream: boolean;
  signal: AbortSignal;
  /** Whether the request gets its own connection; see `dispatcherFor`. */
  mustNotRepeat: boolean;
}

export type EngineResponse = Dispatcher.ResponseData;

/** Whether an error proves that nothing was sent. */
export function isNotSent(error: unknown): boolean {
  const {code} = error as {code?: string};
  return code !== undefined && CONNECT_ERROR_CODES.has(code);
}

/**
 * HTTP client of one engine. Errors have the codes `not-sent` (nothing was
 * sent), `answer-lost` (the request may have taken effect, or still may) and
 * `bad-answer` (the response is invalid).
 *
 * @example
 * const engine = new EngineClient({url, clock, ...DEFAULTS});
 * const report = await engine.report();
 */
export class EngineClient {
  readonly peer: string;
  private readonly base: string;
  private readonly controlAgent: Agent;
  private pooled = createPooledAgent();
  /** Agents whose last responses are still being read. */
  private readonly closing = new Set<Agent>();
  private readonly unpooled: Agent;

  constructor(private readonly options: EngineClientOptions) {
    this.base = options.url.replace(/\/$/, '');
    this.peer = `engine ${new URL(this.base).host}`;
    this.controlAgent = new Agent({
      headersTimeout: options.requestTimeoutMs,
      bodyTimeout: options.requestTimeoutMs,
    });
    this.unpooled = new Agent({pipelining: 0, connections: null});
  }

  /**
   * If the engine closes a kept-alive connection while a request is sent on it,
   * it is unknown whether the request arrived. The entry then retries
   * elsewhere, unless the request must not be repeated: its caller would
   * receive "outcome unknown" without need. Such a request gets its own
   * connection, where a failed connect proves that nothing was sent.
   */
  private dispatcherFor({mustNotRepeat}: EngineRequest): Agent {
    return mustNotRepeat ? this.unpooled : this.pooled;
  }

  /** Reads the report, with the times that show which events it can reflect. */
  async report(): Promise<
    Result<{report: EngineReport; timing: ReportTiming}, BanyanfoldError>
  > {
    const sentAtMs = this.options.clock.nowMs();
    const result = await this.getJson('/report', engineReportSchema);
    return result.andThen(({value, engineNowMs}) => {
      if (Number.isFinite(engineNowMs)) {
        return ok({report: value, timing: {sentAtMs, engineNowMs}});
      }
      const cause = `no ${ENGINE_NOW_HEADER}: the report's age is unknown`;
      return err(this.toError('bad-answer', 'read-report', cause));
    });
  }

  async cacheEvents(
    fromSeq: number,
  ): Promise<Result<CacheEvents, BanyanfoldError>> {
    const path = `/cache-events?from=${fromSeq}`;
    const result = await this.getJson(path, cacheEventsSchema);
    return result.map(({value}) => value);
  }

  /**
   * Sends an order once, without retries; never throws. Answers to orders and
   * cancels name no request, so each has a connection of its own.
   */
  async order(order: EngineOrder): Promise<OrderResult> {
    try {
      const response = await request(`${this.base}/orders`, {
        method: 'POST',
        dispatcher: this.unpooled,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(order),
        signal: this.controlSignal(),
      });
      const body = await readJsonBody(response.body, this.controlLimits);
      return parseOrderResult(response, body);
    } catch (error) {
      return {kind: isNotSent(error) ? 'not-sent' : 'answer-lost'};
    }
  }

  /** Sends a caller's request once, without retries. */
  async send(
    call: EngineRequest,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    const {streamIdleTimeoutMs, wholeAnswerTimeoutMs} = this.options;
    const timeoutMs = call.stream ? streamIdleTimeoutMs : wholeAnswerTimeoutMs;
    const dispatcher = this.dispatcherFor(call);
    const sent = await this.untilHead(call.signal, timeoutMs, signal =>
      this.tryRequest('send-request', `/${call.path}`, {
        method: 'POST',
        dispatcher,
        signal,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        headers: {
          'content-type': 'application/json',
          [REQUEST_ID_HEADER]: call.engineRequestId,
          'x-priority': String(call.priority),
        },
        body: call.body,
      }),
    );
    return sent.andThen(response =>
      this.attributeRejection(response, call.engineRequestId, dispatcher),
    );
  }

  /**
   * An engine may send a response again when its connection carries the next
   * request. A rejection of another request would end one that runs, and one
   * without an id can't be told from its copies, so the connections that may
   * have carried it are not used again.
   */
  private attributeRejection(
    response: EngineResponse,
    engineRequestId: string,
    dispatcher: Agent,
  ): Result<EngineResponse, BanyanfoldError> {
    if (response.statusCode < FIRST_ERROR_STATUS) return ok(response);
    const namedId = response.headers[REQUEST_ID_HEADER];
    if (namedId !== undefined && namedId !== engineRequestId) {
      response.body.on('error', () => {}).destroy();
      const cause = 'the response belongs to another request';
      return err(this.toError('answer-lost', 'send-request', cause));
    }
    if (namedId === undefined && dispatcher === this.pooled) {
      this.renewConnections();
    }
    return ok(response);
  }

  /** Closes idle connections; responses that are being read are not cut. */
  private renewConnections(): void {
    const {pooled} = this;
    this.pooled = createPooledAgent();
    this.closing.add(pooled);
    const forget = () => this.closing.delete(pooled);
    // It fails only for an agent that is closed already.
    pooled.close().then(forget, forget);
  }

  /** Resumes a stream after event `afterSeq`. */
  async resume(
    engineRequestId: string,
    afterSeq: number,
    signal: AbortSignal,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    const {streamIdleTimeoutMs} = this.options;
    return this.untilHead(signal, streamIdleTimeoutMs, until =>
      this.tryRequest('resume-stream', this.streamPath(engineRequestId), {
        method: 'GET',
        dispatcher: this.pooled,
        signal: until,
        headersTimeout: streamIdleTimeoutMs,
        bodyTimeout: streamIdleTimeoutMs,
        headers: {'last-event-id': String(afterSeq)},
      }),
    );
  }

  async cancel(
    engineRequestId: string,
  ): Promise<Result<CancelState, BanyanfoldError>> {
    const path = this.streamPath(engineRequestId);
    const result = await this.tryRequest('cancel-stream', path, {
      method: 'DELETE',
      dispatcher: this.unpooled,
      signal: this.controlSignal(),
    });
    if (result.isErr()) return err(result.error);
    if (result.value.statusCode === NOT_FOUND) {
      await result.value.body.dump().catch(() => {});
      return ok('unknown');
    }
    const read = await this.readJson('cancel-stream', result.value);
    return read.andThen(body => {
      const parsed = cancelResponseSchema.safeParse(body);
      if (parsed.success) return ok(parsed.data.state);
      return err(this.toError('bad-answer', 'cancel-stream', parsed.error));
    });
  }

  async close(): Promise<void> {
    const {controlAgent, pooled, unpooled, closing} = this;
    const agents = [controlAgent, pooled, unpooled, ...closing];
    await Promise.all(agents.map(agent => agent.destroy()));
  }

  /** Limits a whole call; interim heads would extend the client's timeouts. */
  private controlSignal(): AbortSignal {
    return timeoutSignal(this.options.requestTimeoutMs * 2);
  }

  private get controlLimits() {
    const {clock, requestTimeoutMs: timeoutMs} = this.options;
    return {clock, maxBytes: MAX_CONTROL_BYTES, timeoutMs};
  }

  /** Aborts a request whose response has no head by then. */
  private async untilHead<T>(
    signal: AbortSignal,
    timeoutMs: number,
    send: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const abort = new AbortController();
    const timer = this.options.clock.setTimer(timeoutMs, () => abort.abort());
    try {
      return await send(AbortSignal.any([signal, abort.signal]));
    } finally {
      timer.cancel();
    }
  }

  private streamPath(engineRequestId: string): string {
    return `/v1/streams/${encodeURIComponent(engineRequestId)}`;
  }

  private async tryRequest(
    step: string,
    path: string,
    options: Omit<NonNullable<Parameters<typeof request>[1]>, 'opaque'>,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    try {
      return ok(await request<null>(`${this.base}${path}`, options));
    } catch (error) {
      const code = isNotSent(error) ? 'not-sent' : 'answer-lost';
      return err(this.toError(code, step, error));
    }
  }

  private async getJson<S extends z.ZodType>(
    path: string,
    schema: S,
  ): Promise<
    Result<{value: z.output<S>; engineNowMs: number}, BanyanfoldError>
  > {
    const step = `read-${path.split('?')[0]!.slice(1)}`;
    const result = await this.tryRequest(step, path, {
      method: 'GET',
      dispatcher: this.controlAgent,
      signal: this.controlSignal(),
    });
    if (result.isErr()) return err(result.error);
    const engineNowMs = readEngineNowMs(result.value);
    const body = await this.readJson(step, result.value);
    return body.andThen(read => {
      const parsed = schema.safeParse(read);
      if (parsed.success) return ok({value: parsed.data, engineNowMs});
      return err(this.toError('bad-answer', step, parsed.error));
    });
  }

  private async readJson(
    step: string,
    response: EngineResponse,
  ): Promise<Result<unknown, BanyanfoldError>> {
    try {
      return ok(await readJsonBody(response.body, this.controlLimits));
    } catch (error) {
      return err(this.toError('answer-lost', step, error));
    }
  }

  private toError(code: string, step: string, cause: unknown): BanyanfoldError {
    const message = cause instanceof Error ? cause.message : String(cause);
    const place = {step, peer: this.peer};
    return new BanyanfoldError(code, message, place, {cause});
  }
}

function createPooledAgent(): Agent {
  return new Agent({pipelining: 1, connections: null});
}

function readEngineNowMs(response: EngineResponse): number {
  return Number(response.headers[ENGINE_NOW_HEADER] ?? Number.NaN);
}

/**
 * Returns the engine time after which reports reflect an order. An engine may
 * stall between receiving an order and executing it, and a report from this
 * interval lacks a copy that is about to be loaded. The engine responds only
 * after executing the order.
 */
function toVisibleAfterMs(receivedAtMs: number, engineNowMs: number): number {
  if (!Number.isFinite(engineNowMs)) return receivedAtMs;
  return Math.max(receivedAtMs, engineNowMs);
}

function parseOrderResult(
  response: EngineResponse,
  body: unknown,
): OrderResult {
  const engineNowMs = readEngineNowMs(response);
  const accepted = orderAcceptedSchema.safeParse(body);
  if (response.statusCode < 300 && accepted.success) {
    const {receivedAtMs} = accepted.data;
    return {
      kind: 'accepted',
      visibleAfterMs: toVisibleAfterMs(receivedAtMs, engineNowMs),
    };
  }
  const {code, highestFencing = 0} = orderRefusedSchema
    .catch({code: 'bad-answer'})
    .parse(body);
  if (response.statusCode === CONFLICT && code === 'stale-fencing') {
    return {kind: 'stale-fencing', highestFencing, engineNowMs};
  }
  return {kind: 'refused', code, engineNowMs};
}
