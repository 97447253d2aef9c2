import {BanyanfoldError, type Clock} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import type {z} from 'zod';
import {
  cacheEventsSchema,
  cancelAnswerSchema,
  engineReportSchema,
  orderAcceptedSchema,
  orderRefusedSchema,
  type CacheEvents,
  type CancelState,
  type EngineOrder,
  type EngineReport,
  type OrderAnswer,
} from './engineSchemas.js';
import type {ReportTiming} from '../memory/allocation.js';

const ENGINE_NOW_HEADER = 'x-engine-now-ms';
const NOT_FOUND = 404;
const CONFLICT = 409;

/** Faults of a connection that never came to be: nothing was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** How the engine is reached. */
export interface EngineClientOptions {
  url: string;
  clock: Clock;
  requestTimeoutMs: number;
  streamIdleTimeoutMs: number;
  wholeAnswerTimeoutMs: number;
}

/** A request of a caller, as the engine gets it. */
export interface EngineRequest {
  /** For example `v1/chat/completions`. */
  path: string;
  engineRequestId: string;
  priority: number;
  body: string;
  stream: boolean;
  signal: AbortSignal;
  /** Whether it gets a connection of its own; see `dispatcherFor`. */
  mayNotRepeat: boolean;
}

export type EngineResponse = Dispatcher.ResponseData;

/** Whether an error proves that nothing was sent. */
export function isNotSent(error: unknown): boolean {
  const {code} = error as {code?: string};
  return code !== undefined && NOT_SENT_CODES.has(code);
}

/**
 * The connection to one engine. Errors have the codes `not-sent` (nothing left
 * this process) and `answer-lost` (it may have had an effect, or may yet).
 *
 * @example
 * const engine = new EngineClient({url, clock, ...DEFAULTS});
 * const report = await engine.report();
 */
export class EngineClient {
  readonly peer: string;
  private readonly base: string;
  private readonly control: Agent;
  private readonly data: Agent;
  private readonly fresh: Agent;

  constructor(private readonly options: EngineClientOptions) {
    this.base = options.url.replace(/\/$/, '');
    this.peer = `engine ${new URL(this.base).host}`;
    this.control = new Agent({
      headersTimeout: options.requestTimeoutMs,
      bodyTimeout: options.requestTimeoutMs,
    });
    this.data = new Agent({pipelining: 1, connections: null});
    this.fresh = new Agent({pipelining: 0, connections: null});
  }

  /**
   * On a kept-alive connection that the engine closes at that moment, nobody
   * can tell whether the request arrived. The entry then sends it elsewhere,
   * unless it may not be repeated: its caller would hear "outcome unknown" for
   * nothing. Such a request has a connection to itself, where a failed connect
   * proves that nothing was sent.
   */
  private dispatcherFor({mayNotRepeat}: EngineRequest): Agent {
    return mayNotRepeat ? this.fresh : this.data;
  }

  /** The report with the times that make it evidence. */
  async report(): Promise<
    Result<{report: EngineReport; timing: ReportTiming}, BanyanfoldError>
  > {
    const sentAtMs = this.options.clock.nowMs();
    const answer = await this.getJson('/report', engineReportSchema);
    return answer.andThen(({value, engineNowMs}) => {
      if (Number.isFinite(engineNowMs)) {
        return ok({report: value, timing: {sentAtMs, engineNowMs}});
      }
      const cause = `no ${ENGINE_NOW_HEADER}: the report proves nothing`;
      return err(this.fault('bad-answer', 'read-report', cause));
    });
  }

  async cacheEvents(
    fromSeq: number,
  ): Promise<Result<CacheEvents, BanyanfoldError>> {
    const path = `/cache-events?from=${fromSeq}`;
    const answer = await this.getJson(path, cacheEventsSchema);
    return answer.map(({value}) => value);
  }

  /** Sends an order once. It never throws and never repeats. */
  async order(order: EngineOrder): Promise<OrderAnswer> {
    try {
      const response = await request(`${this.base}/orders`, {
        method: 'POST',
        dispatcher: this.control,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(order),
      });
      const body: unknown = await response.body.json();
      return readOrderAnswer(response, body);
    } catch (error) {
      return {kind: isNotSent(error) ? 'not-sent' : 'answer-lost'};
    }
  }

  /** Sends a caller's request, once. */
  async send(
    call: EngineRequest,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    const {streamIdleTimeoutMs, wholeAnswerTimeoutMs} = this.options;
    const timeoutMs = call.stream ? streamIdleTimeoutMs : wholeAnswerTimeoutMs;
    return this.attempt('send-request', `/${call.path}`, {
      method: 'POST',
      dispatcher: this.dispatcherFor(call),
      signal: call.signal,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      headers: {
        'content-type': 'application/json',
        'x-request-id': call.engineRequestId,
        'x-priority': String(call.priority),
      },
      body: call.body,
    });
  }

  /** Asks for a stream again, after event `afterSeq`. */
  async resume(
    engineRequestId: string,
    afterSeq: number,
    signal: AbortSignal,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    const {streamIdleTimeoutMs} = this.options;
    return this.attempt('resume-stream', this.streamPath(engineRequestId), {
      method: 'GET',
      dispatcher: this.data,
      signal,
      headersTimeout: streamIdleTimeoutMs,
      bodyTimeout: streamIdleTimeoutMs,
      headers: {'last-event-id': String(afterSeq)},
    });
  }

  async cancel(
    engineRequestId: string,
  ): Promise<Result<CancelState, BanyanfoldError>> {
    const path = this.streamPath(engineRequestId);
    const answer = await this.attempt('cancel-stream', path, {
      method: 'DELETE',
      dispatcher: this.control,
    });
    if (answer.isErr()) return err(answer.error);
    if (answer.value.statusCode === NOT_FOUND) {
      await answer.value.body.dump().catch(() => {});
      return ok('unknown');
    }
    const read = await this.readJson('cancel-stream', answer.value);
    return read.andThen(body => {
      const checked = cancelAnswerSchema.safeParse(body);
      if (checked.success) return ok(checked.data.state);
      return err(this.fault('bad-answer', 'cancel-stream', checked.error));
    });
  }

  async close(): Promise<void> {
    const agents = [this.control, this.data, this.fresh];
    await Promise.all(agents.map(agent => agent.destroy()));
  }

  private streamPath(engineRequestId: string): string {
    return `/v1/streams/${encodeURIComponent(engineRequestId)}`;
  }

  private async attempt(
    step: string,
    path: string,
    options: Omit<NonNullable<Parameters<typeof request>[1]>, 'opaque'>,
  ): Promise<Result<EngineResponse, BanyanfoldError>> {
    try {
      return ok(await request<null>(`${this.base}${path}`, options));
    } catch (error) {
      const code = isNotSent(error) ? 'not-sent' : 'answer-lost';
      return err(this.fault(code, step, error));
    }
  }

  private async getJson<S extends z.ZodType>(
    path: string,
    schema: S,
  ): Promise<
    Result<{value: z.output<S>; engineNowMs: number}, BanyanfoldError>
  > {
    const step = `read-${path.split('?')[0]!.slice(1)}`;
    const answer = await this.attempt(step, path, {
      method: 'GET',
      dispatcher: this.control,
    });
    if (answer.isErr()) return err(answer.error);
    const engineNowMs = engineNow(answer.value);
    const body = await this.readJson(step, answer.value);
    return body.andThen(read => {
      const checked = schema.safeParse(read);
      if (checked.success) return ok({value: checked.data, engineNowMs});
      return err(this.fault('bad-answer', step, checked.error));
    });
  }

  private async readJson(
    step: string,
    response: EngineResponse,
  ): Promise<Result<unknown, BanyanfoldError>> {
    try {
      return ok(await response.body.json());
    } catch (error) {
      return err(this.fault('answer-lost', step, error));
    }
  }

  private fault(code: string, step: string, cause: unknown): BanyanfoldError {
    const message = cause instanceof Error ? cause.message : String(cause);
    const place = {step, peer: this.peer};
    return new BanyanfoldError(code, message, place, {cause});
  }
}

function engineNow(response: EngineResponse): number {
  return Number(response.headers[ENGINE_NOW_HEADER] ?? Number.NaN);
}

/**
 * An engine may stall between receiving an order and carrying it out, and a
 * report from within the stall lacks a copy that is about to be loaded. Its
 * answer leaves only after that.
 */
function visibleAfter(receivedAtMs: number, engineNowMs: number): number {
  if (!Number.isFinite(engineNowMs)) return receivedAtMs;
  return Math.max(receivedAtMs, engineNowMs);
}

function readOrderAnswer(response: EngineResponse, body: unknown): OrderAnswer {
  const engineNowMs = engineNow(response);
  const accepted = orderAcceptedSchema.safeParse(body);
  if (response.statusCode < 300 && accepted.success) {
    const {receivedAtMs} = accepted.data;
    return {
      kind: 'accepted',
      visibleAfterMs: visibleAfter(receivedAtMs, engineNowMs),
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
